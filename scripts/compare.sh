#!/bin/bash
# Compares policies under load: all arms in one run, interleaved over seeds.
#   scripts/compare.sh EXAMPLE RATE SECONDS "SEEDS" FAULT ARM...
# FAULT: none, engines (one killed, one frozen), entry (one killed),
# platform (out for half the run). ARM: madderpier, a baseline (random,
# round_robin, least_loaded, two_choices) or a switch to turn off, as
# no:decode_first. Writes build/compare-EXAMPLE-RATE-FAULT.jsonl and .svg.
set -u
cd "$(dirname "$0")/.."
. scripts/stack.sh
trap stack_down EXIT

example=$1 rate=$2 seconds=$3 seeds=$4 fault=$5
shift 5
arms=("$@")
case $example in
funkbuch-ost)
  base=7000 mix=bench/mixes/funkbuch.yaml dcs=(wien-a wien-b linz-c)
  # a prefill engine and a decode engine of wien-b
  victim=7301 sleeper=7307
  ;;
coldlink-suva)
  base=8000 mix=bench/mixes/coldlink.yaml
  dcs=(walu-hall lami-hall nasese-room)
  victim=8301 sleeper=8310
  ;;
*)
  echo "unknown example $example" >&2
  exit 2
  ;;
esac
# orphans of a killed instance are freed when its leases are over
settle=3
[ "$fault" = none ] || settle=11
out=build/compare-$example-$rate-$fault
rm -f "$out.jsonl"

# the sample's configuration with the policy of an arm
policy() { # arm, folder
  local f=$2/policy.yaml
  case $1 in
  madderpier) ;;
  no:*) sed -i "s/  ${1#no:}: true/  ${1#no:}: false/" "$f" ;;
  *) sed -i "s/pick: .*/pick: $1/; s/: true/: false/" "$f" ;;
  esac
}

post() { # port, json
  curl -s -m 2 -X POST -d "$2" "http://127.0.0.1:$1/fault" >/dev/null
}

strike() {
  sleep "$(awk "BEGIN { print $seconds / 3 }")"
  case $fault in
  engines)
    post $victim '{"kill": 4000}'
    post $sleeper '{"freeze": 1}'
    sleep 4
    post $sleeper '{"freeze": 0}'
    ;;
  entry) kill -9 "$(cat "$STACK_DIR/entry-4.pid")" ;;
  platform)
    post $((base + 399)) '{"mode": "down"}'
    sleep "$(awk "BEGIN { print $seconds / 2 }")"
    post $((base + 399)) '{"mode": "ok"}'
    ;;
  esac
}

once() { # arm, seed
  local conf i
  stack_up $example 9 $base "${dcs[@]}"
  export MADDERPIER_PLATFORM=$STACK_PLATFORM
  conf=$STACK_DIR/conf
  cp -r "examples/$example/config" "$conf"
  policy "$1" "$conf"
  sleep 0.3
  "$BUILD/madderpier" --by compare apply "$conf" >/dev/null || exit 1
  for ((i = 0; i < 9; i++)); do
    stack_ready 127.0.0.1:$((base + 200 + i)) || exit 1
  done
  sleep 1.2
  strike &
  "$BUILD/load" --mix "$mix" --list "examples/$example/instances.json" \
    --settle $settle --rate "$rate" --seconds "$seconds" --seed "$2" --label "$1" \
    --json "$out.jsonl" >>"$out.txt"
  stack_down 2>/dev/null
}

: >"$out.txt"
for seed in $seeds; do
  for arm in "${arms[@]}"; do
    once "$arm" "$seed"
  done
done
echo "# $example, $rate requests/s, $seconds s, seeds $seeds, fault $fault"
"$BUILD/compare" "$out.jsonl" "$out.svg"
