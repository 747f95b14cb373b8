#!/bin/bash
# Revisions of the store mean something within their era alone: outside of the
# files that write and read them, no code compares a bare one or adds to it.
# Prints each place that does; exits 1 then.
set -u
cd "$(dirname "$0")/.."
# what compares positions
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
