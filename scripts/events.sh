#!/bin/bash
# Checks docs/EVENTS.md against the list of events in include/mplog.h: every
# event has a row with its level and text, and every row has an event. Prints
# the differences; exits 1 when there are any.
# With --write, missing rows are added; their advice has to be written by hand.
set -u
cd "$(dirname "$0")/.."
page=docs/EVENTS.md
rows=$(sed -n '/define MP_EVENTS(X)/,/^$/p' include/mplog.h |
  sed -nE 's/.*X\([A-Z_]+, ([0-9]+), MP_([A-Z]+),? *"([^"]+)"\).*/\1|\2|\3/p')
wrong=0
while IFS='|' read -r number level text; do
  row="| E$number | ${level,,} | $text |"
  if ! grep -qF "$row" $page; then
    if [ "${1:-}" = --write ]; then
      echo "$row None. |" >>$page
    else
      echo "$page lacks: $row"
      wrong=1
    fi
  fi
done <<<"$rows"
for number in $(sed -nE 's/^\| E([0-9]+) .*/\1/p' $page); do
  grep -q "^$number|" <<<"$rows" || {
    echo "$page has a row without an event: E$number"
    wrong=1
  }
done
exit $wrong
