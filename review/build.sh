#!/bin/sh
# Builds the stand-in of the scripts, beside what the deploy file's build makes.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
  -o target/review/stand review/stand.c -ljansson
