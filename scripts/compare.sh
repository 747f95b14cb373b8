#!/bin/bash
# Compares routing policies under load. All of them run with a seed, one after
# the other, before the next seed.
#   scripts/compare.sh EXAMPLE RATE SECONDS "SEEDS" FAULT ARM...
# FAULT: none, engines (one is killed, one frozen), entry (an instance is
# killed) or platform (fails all calls for half of the run); faults begin after
# a third of the run. ARM: madderpier, a baseline (random, round_robin,
# least_loaded, two_choices) or no:OPTION, which turns one option of the policy
# off, as no:decode_first. Writes build/compare-EXAMPLE-RATE-FAULT.jsonl, .svg
# and .txt.
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
  # ports of a prefill engine and a decode engine of wien-b
  killed_port=7301 frozen_port=7307
  ;;
coldlink-suva)
  base=8000 mix=bench/mixes/coldlink.yaml
  dcs=(walu-hall lami-hall nasese-room)
  killed_port=8301 frozen_port=8310
  ;;
*)
  echo "unknown example $example" >&2
  exit 2
  ;;
esac
# Work of a killed instance is freed only when its leases expire.
settle=3
[ "$fault" = none ] || settle=11
out=build/compare-$example-$rate-$fault
rm -f "$out.jsonl"

# Writes the policy of an arm into a copy of the example's configuration.
set_policy() { # arm, folder
  local f=$2/policy.yaml
  case $1 in
  madderpier) ;;
  no:*) sed -i "s/  ${1#no:}: true/  ${1#no:}: false/" "$f" ;;
  *) sed -i "s/pick: .*/pick: $1/; s/: true/: false/" "$f" ;;
  esac
}

post_fault() { # port, json
  curl -s -m 2 -X POST -d "$2" "http://127.0.0.1:$1/fault" >/dev/null
}

inject_fault() {
  sleep "$(awk "BEGIN { print $seconds / 3 }")"
  case $fault in
  engines)
    post_fault $killed_port '{"kill": 4000}'
    post_fault $frozen_port '{"freeze": 1}'
    sleep 4
    post_fault $frozen_port '{"freeze": 0}'
    ;;
  entry) kill -9 "$(cat "$STACK_DIR/entry-4.pid")" ;;
  platform)
    post_fault $((base + 399)) '{"mode": "down"}'
    sleep "$(awk "BEGIN { print $seconds / 2 }")"
    post_fault $((base + 399)) '{"mode": "ok"}'
    ;;
  esac
}

run_once() { # arm, seed
  local conf i
  stack_up $example 9 $base "${dcs[@]}"
  export MADDERPIER_PLATFORM=$STACK_PLATFORM
  conf=$STACK_DIR/conf
  cp -r "examples/$example/config" "$conf"
  set_policy "$1" "$conf"
  sleep 0.3
  "$BUILD/madderpier" --by compare apply "$conf" >/dev/null || exit 1
  for ((i = 0; i < 9; i++)); do
    stack_ready 127.0.0.1:$((base + 200 + i)) || exit 1
  done
  sleep 1.2
  inject_fault &
  "$BUILD/load" --mix "$mix" --list "examples/$example/instances.json" \
    --settle $settle --rate "$rate" --seconds "$seconds" --seed "$2" --label "$1" \
    --json "$out.jsonl" >>"$out.txt"
  stack_down 2>/dev/null
}

: >"$out.txt"
for seed in $seeds; do
  for arm in "${arms[@]}"; do
    run_once "$arm" "$seed"
  done
done
echo "# $example, $rate requests/s, $seconds s, seeds $seeds, fault $fault"
"$BUILD/compare" "$out.jsonl" "$out.svg"
