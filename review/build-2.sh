#!/bin/sh
# Builds what the scripts of the second review start, beside target/madderpierd
# from the build line of deploy/system.toml, into build/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[4-8]/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -pthread \
    -o "build/review-2/case-$number" "$source"
done
