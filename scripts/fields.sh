#!/bin/bash
# Checks the table of fields (platform/fields.h) against the code: the table
# marks exactly the fields that the code reads as READ, in their places.
#   scripts/fields.sh [PAGES...]
# With pages of the platform's documentation, it also lists the fields that they
# name and the table lacks. Prints the differences; exits 1 when there are any.
set -u
cd "$(dirname "$0")/.."
wrong=0
get='json_object_get|text_of|number_of|duration_of|count_of|nonempty_text_of|address_of'
get+='|json_span_member|read_member|http_head_get|http_head_count'
get+='|g_ascii_strcasecmp'

# Prints the names that these files read.
names_read_by() {
  cat "$@" | tr '\n' ' ' |
    grep -oE "\b($get)\([^\"()]*(\([^()]*\))?[^\"()]*, *\"[A-Za-z-]+\"" |
    sed -E 's/.*"([^"]+)"$/\1/' | sort -u
}

# Prints the names in the table that have one of these places and uses.
names_in_table() { # places, uses
  sed -nE 's/^  X\("([^"]+)", ('"$1"'), ('"$2"'),.*/\1/p' platform/fields.h |
    sort -u
}

compare_with_table() { # places, files...
  local places=$1
  shift
  local code table
  code=$(names_read_by "$@")
  table=$(names_in_table "$places" READ)
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

compare_with_table 'RESPONSE|BODY' platform/endpoints.c
compare_with_table CALLER platform/callers.c
compare_with_table 'STORE|OPERATOR' platform/records.c platform/store.c \
  platform/broken_list.c platform/stream_records.c

# Prints the names on the pages that look like fields.
names_on_pages() {
  grep -ohE '`[A-Z][A-Za-z]*(-[A-Za-z]+)*`' "$@" | tr -d '`' | sort -u
}
# Names on the pages that are no fields: words of calls, settings, statuses.
others='GET|FenceRequired|Op|Holder|Fence|ExpectRev|Last|ToVersion|Wait-Ms|WaitMs|Hold'
others+='|Front|Ready|Platform|HistoryS|HeartbeatMs|DrainMs|GraceS|ReuseAfterS'
for page in "$@"; do
  [ -f "$page" ] || {
    echo "no page $page: not compared"
    continue
  }
  for name in $(comm -23 <(names_on_pages "$page" | grep -vxE "$others") \
    <(names_in_table '[A-Z]+' '[A-Z]+')); do
    echo "$page names '$name', and platform/fields.h does not"
    wrong=1
  done
done
[ $# -gt 0 ] || echo "no pages of the platform given: the table was compared with the code only"
exit $wrong
