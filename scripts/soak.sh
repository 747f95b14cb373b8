#!/bin/bash
# The fault soak: real processes under random faults, one run a seed.
#   scripts/soak.sh FIRST LAST [SECONDS [INSTANCES [JOBS]]]
#   scripts/soak.sh regress        the seeds that ever failed
# Seeds from 1000 have orders to engines, from 4000 all instances in one data
# centre, of which a few follow the store for the others (six or more), from
# 5000 a store that comes back from copies some seconds old, from
# 6000 client accounts, whose keys are taken away and whose limits change, from
# 7000 workers that end and come back, requests that end them, spoilt entries,
# from 8000 workers that name the rate they take, from 9000 workers that say
# that they leave, or ask for rest, from 10000 some 1,400 routes, one more each
# 0.5 s, and a store that turns single instances away (six or more), from 11000
# the copies again.
# Ends with "N passed, N failed"; logs of failed seeds stay in their folder.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seconds=${3:-8}
instances=${4:-3}
jobs=${5:-3}
passed=0
failed=0

# what a run needs; without it nothing was tested, and no seed failed
make -s -j8 BUILD="$build" processes || exit 2

one() { # seed
  SOAK_SEED=$1 SOAK_SECONDS=$seconds SOAK_INSTANCES=$instances \
    "$build/scenario" "$build" test/soak/soak.lua >"$out/$1.log" 2>&1
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
  one "$seed" &
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
