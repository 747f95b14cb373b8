#!/bin/bash
# Checks that no code compares a bare revision of the store or calculates with
# it, because revisions are ordered only within their era. Allowed is the file
# that compares positions. Prints each place that does; exits 1 when there are
# any.
set -u
cd "$(dirname "$0")/.."
# The file that compares positions, each an era and a revision.
allowed='router/store_position.c'
bare='([.>]revision) *(<|>|==|!=|\+|-)[^>]|(MAX|MIN)\([^)]*[.>]revision'
found=0
for file in account/*.[ch] router/*.[ch] io/*.[ch] platform/*.[ch]; do
  [[ " $allowed " == *" $file "* ]] && continue
  if grep -nE "$bare" "$file" | sed "s|^|$file:|" | grep .; then
    found=1
  fi
done
exit $found
