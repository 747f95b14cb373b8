#!/bin/bash
# The table of fields (platform/fields.h) against what the code reads: a field
# that is read stands there as READ, in its place, and no other does.
#   scripts/fields.sh [PAGES...]
# With the platform's pages, names of fields on them that the table lacks are
# listed too. Prints what is wrong; exits 1 then.
set -u
cd "$(dirname "$0")/.."
wrong=0
get='json_object_get|text_of|number_of|duration_of|count_of|nonempty_text_of|address_of'
get+='|json_span_member|read_member|http_head_get|http_head_count'
get+='|g_ascii_strcasecmp'

# names that these files read
read_by() {
  cat "$@" | tr '\n' ' ' |
    grep -oE "\b($get)\([^\"()]*(\([^()]*\))?[^\"()]*, *\"[A-Za-z-]+\"" |
    sed -E 's/.*"([^"]+)"$/\1/' | sort -u
}

# names of the table with one of these places and uses
listed() { # places, uses
  sed -nE 's/^  X\("([^"]+)", ('"$1"'), ('"$2"'),.*/\1/p' platform/fields.h |
    sort -u
}

compare() { # places, files...
  local places=$1
  shift
  local code table
  code=$(read_by "$@")
  table=$(listed "$places" READ)
  local name
  for name in $(comm -23 <(echo "$code") <(echo "$table")); do
    echo "$* read '$name': add it to platform/fields.h as READ"
    wrong=1
  done
  for name in $(comm -13 <(echo "$code") <(echo "$table")); do
    echo "platform/fields.h has '$name' as READ, and $* do not read it"
    wrong=1
  done
}

compare 'ANSWER|BODY' platform/endpoints.c
compare CALLER platform/callers.c
compare 'STORE|OPERATOR' platform/records.c platform/store.c \
  platform/broken_list.c

# names on the pages, and what a field of theirs looks like
on_pages() {
  grep -ohE '`[A-Z][A-Za-z]*(-[A-Za-z]+)*`' "$@" | tr -d '`' | sort -u
}
# what the pages name beside fields: calls' own words, settings, statuses
others='GET|FenceRequired|Op|Holder|Fence|ExpectRev|Last|ToVersion|Wait-Ms|WaitMs|Hold'
others+='|Front|Ready|Platform|HistoryS|HeartbeatMs|DrainMs|GraceS|ReuseAfterS'
for page in "$@"; do
  [ -f "$page" ] || {
    echo "no page $page: not compared"
    continue
  }
  for name in $(comm -23 <(on_pages "$page" | grep -vxE "$others") \
    <(listed '[A-Z]+' '[A-Z]+')); do
    echo "$page names '$name', and platform/fields.h does not"
    wrong=1
  done
done
[ $# -gt 0 ] || echo "without the platform's pages: the table is held against the code alone"
exit $wrong
