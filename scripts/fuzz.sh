#!/bin/bash
# Coverage-guided fuzzing of what reads external input, with sanitizers
# (libFuzzer of clang). Each target starts from its corpus in test/fuzz/corpus.
#   scripts/fuzz.sh SECONDS [TARGET...]   so long each; SEED=N sets the seed
#   scripts/fuzz.sh fixed                 a fixed number of inputs, for CI
# Ends with "N passed, N failed"; an input that fails stays in build-fuzz.
set -u
cd "$(dirname "$0")/.."
how=${1:-fixed}
shift
seed=${SEED:-1}
targets=("$@")
[ ${#targets[@]} -gt 0 ] || targets=(store_reply configuration report http
  events datagram news settings carry)
# Inputs of a fixed run: as many as a target reads in 15 s on one of eight cores.
declare -A fixed=([store_reply]=150000 [configuration]=95000 [report]=540000
  [http]=170000 [events]=260000 [datagram]=820000 [news]=170000
  [settings]=220000 [carry]=900000)
passed=0
failed=0

make -s -j8 BUILD=build-fuzz fuzz || exit 2

# Targets that read JSON also get its tokens.
declare -A dictionary=([store_reply]=json [news]=json)

fuzz_target() { # target
  local corpus
  local words=()
  [ -z "${dictionary[$1]:-}" ] ||
    words=(-dict=test/fuzz/"${dictionary[$1]}".dict)
  local bound=-max_total_time=$how
  [ "$how" != fixed ] || bound=-runs=${fixed[$1]}
  corpus=$(mktemp -d)
  build-fuzz/fuzz_"$1" -seed="$seed" "$bound" -max_len=8192 \
    "${words[@]}" -rss_limit_mb=1024 -artifact_prefix=build-fuzz/"$1"- \
    "$corpus" test/fuzz/corpus/"$1" >"build-fuzz/$1.log" 2>&1
  echo $? >"build-fuzz/$1.code"
  rm -rf "$corpus"
}

for target in "${targets[@]}"; do
  fuzz_target "$target" &
done
wait
for target in "${targets[@]}"; do
  if [ "$(cat "build-fuzz/$target.code")" = 0 ]; then
    passed=$((passed + 1))
    echo "$target: $(grep -oE 'cov: [0-9]+ ft: [0-9]+' "build-fuzz/$target.log" |
      tail -1), $(grep -oE 'Done [0-9]+ runs' "build-fuzz/$target.log")"
  else
    failed=$((failed + 1))
    echo "$target FAILED:"
    tail -20 "build-fuzz/$target.log"
  fi
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
