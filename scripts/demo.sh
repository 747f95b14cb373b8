#!/bin/bash
# A demonstration with stand-ins on loopback: the example funkbuch-ost with nine
# entry instances and twelve engines, a few requests, and where each of them
# ran.
set -u
cd "$(dirname "$0")/.."
. scripts/stack.sh
trap stack_down EXIT

send_request() { # heading, account's key, class, curl arguments...
  local what=$1 key=$2 class=$3
  shift 3
  printf '\n== %s\n' "$what"
  curl -s -m 20 -H "Authorization: Bearer $key" \
    -H "X-Request-Class: $class" "$@"
}

print_heading() { printf '\n== %s\n' "$*"; }

stack_up funkbuch-ost 9 7000 wien-a wien-b linz-c
export MADDERPIER_PLATFORM=$STACK_PLATFORM
M="$BUILD/madderpier"

print_heading "Apply the sample configuration"
for _ in 1 2 3 4 5; do
  "$M" --by demo apply examples/funkbuch-ost/config && break
  sleep 0.2
done
for i in 0 1 2 3 4 5 6 7 8; do stack_ready 127.0.0.1:720$i || exit 1; done
sleep 1.5
"$M" status

print_heading "Where may a lookup run? And one of the merged rival's members?"
"$M" explain -c lookup
"$M" explain -c lookup -a merged

llm=http://127.0.0.1:7100/v1/completions
send_request "A member's lookup, streamed" funkbuch-members-sample lookup "$llm" \
  -d '{"model":"logbuch-7b","prompt":"Who is OE1ABC?","max_tokens":6,
       "stream":true}'
send_request "The merged rival's lookup stays in linz-c (engines 7302, 7305, 7308, \
7311)" funkbuch-merged-sample lookup "$llm" \
  -d '{"model":"logbuch-7b","prompt":"Who is DL9XYZ?","max_tokens":6}'
send_request "An award check, not to be repeated" funkbuch-clubs-sample award-check \
  "$llm" -H 'Idempotency-Key: award-2026-17' \
  -d '{"model":"logbuch-7b","prompt":"Check the award.","max_tokens":4}'
send_request "The same award check sent again, to another instance" \
  funkbuch-clubs-sample award-check http://127.0.0.1:7104/v1/completions \
  -H 'Idempotency-Key: award-2026-17' \
  -d '{"model":"logbuch-7b","prompt":"Check the award.","max_tokens":4}'
send_request "A card export, to a plain service" funkbuch-members-sample card-export \
  http://127.0.0.1:7101/app/cards?format=pdf -d 'cards'

print_heading "Follow the first request by its ID through the logs"
id=$(grep -ho 'request=[0-9a-f]*-[0-9a-f]*-00000001' "$STACK_DIR"/entry-0.log |
  head -1 | cut -d= -f2)
echo "request $id"
curl -s http://127.0.0.1:7300/ledger http://127.0.0.1:7301/ledger \
  http://127.0.0.1:7302/ledger http://127.0.0.1:7303/ledger \
  http://127.0.0.1:7304/ledger http://127.0.0.1:7305/ledger \
  http://127.0.0.1:7306/ledger http://127.0.0.1:7307/ledger \
  http://127.0.0.1:7308/ledger http://127.0.0.1:7309/ledger \
  http://127.0.0.1:7310/ledger http://127.0.0.1:7311/ledger |
  grep "$id"

print_heading "Drain wien-b, and what the audit trail says"
"$M" --by demo drain wien-b
"$M" audit

print_heading "Done; everything is stopped"
