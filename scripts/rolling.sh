#!/bin/bash
# A rolling restart between two builds, in both orders and beside each other:
# does the one read what the other stores, sends and was told to use?
#   scripts/rolling.sh OLD-BUILD NEW-BUILD   folders with both programs; the
#                                            new one has the stand-ins too
set -u
cd "$(dirname "$0")/.."
old=$(realpath "$1")
new=$(realpath "$2")
passed=0
failed=0
play() { # label, scenario, environment...
  local label=$1 scenario=$2 log
  shift 2
  log=$(mktemp)
  if env OLD_BUILD="$old" "$@" "$new/scenario" "$new" "$scenario" \
    >"$log" 2>&1; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $label"
    tail -40 "$log"
  fi
  rm -f "$log"
}
play "one data centre" test/release/rolling.lua ONE_ZONE=1
play "two data centres" test/release/rolling.lua
play "own interface" test/release/rolling_own.lua
echo "$passed passed, $failed failed"
[ $failed = 0 ]
