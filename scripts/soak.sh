#!/bin/bash
# The fault soak: runs real processes under random faults, one run per seed.
#   scripts/soak.sh FIRST LAST [SECONDS [INSTANCES [JOBS]]]
#   scripts/soak.sh regress        the seeds that have failed before
# The seed selects the kind of run; from each of these numbers on it has
#   1000   orders to engines
#   4000   all instances in one data centre, where a few of them follow the
#          store for the others (needs six instances or more)
#   5000   a store that is restored from copies some seconds old
#   6000   client accounts whose keys are revoked and whose limits change
#   7000   workers that crash and restart, requests that crash them, and invalid
#          entries in the store; from 7500 to 7999 also an odd entry that
#          changes ten times a second (test/scenario/lib/odd_entries.lua)
#   8000   workers that advertise a rate limit
#   9000   workers that announce that they leave, or ask for a pause
#   10000  some 1,400 routes, one more every 0.5 s, and a store that refuses
#          single instances (needs six instances or more)
#   11000  the restored copies again
#   13000  instances that are cut off from workers, alone or with others
#   14000  workers that restart at other software versions, callers that take
#          streams up
#   15000  most new connections go to one instance for some seconds, which has
#          little processor time
#   16000  planned stops of all instances in turn, which overlap, callers that
#          read large answers late or never, and slow links to callers (has all
#          of 15000 too; six instances or more)
#   17000  planned stops as in 16000, but no other faults: beside them the
#          configuration changes (routes, timeouts, limits), SIGHUPs come in
#          series, and callers send their next request before they have read
#          the answer; each lost answer must have a reason in the log that
#          docs/design/planned-stops.md allows
#   18000  the same beside sound endpoints that fall silent for 1 to 1.5 s, and
#          instances with 3 to 12 ms of each 100 ms for some seconds
#   19000  instances that stand still for 0.4 to 2.4 s beside planned stops and
#          releases, and callers with deadlines from 0.3 s on: no run begins
#          after them
#   20000  all instances or most are killed at once, round after round, and some
#          stay away (test/soak/returns.lua)
# Ends with "N passed, N failed". For a failed seed it prints the end
# of the log, which names the folder where the logs of its processes stay.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seconds=${3:-8}
instances=${4:-3}
jobs=${5:-3}
passed=0
failed=0

# The programs of a run. When they cannot be built, nothing was tested, and the
# exit code is 2 instead of a failed seed.
make -s -j8 BUILD="$build" processes || exit 2

run_seed() { # seed
  local script=test/soak/soak.lua
  [ "$1" -lt 20000 ] || script=test/soak/returns.lua
  SOAK_SEED=$1 SOAK_SECONDS=$seconds SOAK_INSTANCES=$instances \
    "$build/scenario" "$build" "$script" >"$out/$1.log" 2>&1
  echo $? >"$out/$1.code"
}

if [ "${1:-}" = regress ]; then
  seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' test/soak/seeds.txt)
else
  seeds=$(seq "$1" "$2")
fi
out=$(mktemp -d)
for seed in $seeds; do
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
  run_seed "$seed" &
done
wait
for seed in $seeds; do
  if [ "$(cat "$out/$seed.code")" = 0 ]; then
    passed=$((passed + 1))
    grep -h '^seed' "$out/$seed.log"
  else
    failed=$((failed + 1))
    echo "seed $seed FAILED:"
    tail -5 "$out/$seed.log"
  fi
done
rm -rf "$out"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
