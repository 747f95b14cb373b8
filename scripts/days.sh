#!/bin/bash
# Runs a day of test/days on the users' bench with many seeds and counts the
# runs that broke a rule. Started by hand, since it needs the users' bench and
# their site files.
#   KIT=FOLDER BENCH=PROGRAM scripts/days.sh DAY SITE SEEDS [JOBS]
# DAY is the name of a file in test/days, SITE a path below KIT; both without
# .toml. Seeds are 1 to SEEDS; JOBS runs (6) go at the same time.
# Ends with "N days, N broken, mean worth N"; exits 1 when a rule broke.
set -u
cd "$(dirname "$0")/.."
: "${KIT:?the folder with the site files}" "${BENCH:?the program fleetbench}"
day=$1 site=$2 seeds=$3 jobs=${4:-6}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
seq 1 "$seeds" | xargs -P "$jobs" -I{} sh -c "'$BENCH' run '$KIT/$site.toml' \
  'test/days/$day.toml' --seed {} --jobs 1 \
  --why 'scripts/days.sh: $day, seed {}' >'$out/{}' 2>&1"
for i in $(seq 1 "$seeds"); do
  rule=$(grep -a -m1 -oE '^[A-Z]{3,8} at [0-9.]+ s: .{0,90}' "$out/$i")
  echo "$i $(grep -a -m1 -oE '^worth -?[0-9.]+' "$out/$i") $rule"
done | awk '$4 != "" {broken++; print} {worth += $3}
  END {printf "%d days, %d broken, mean worth %.3f\n", NR, broken, worth / NR
       exit broken > 0}'
