#!/bin/bash
# Coverage-guided fuzzing of what is read from outside, under the sanitizers
# (libFuzzer of clang). Each target starts from its corpus in test/fuzz/corpus.
#   scripts/fuzz.sh SECONDS [TARGET...]
# Ends with "N passed, N failed"; an input that fails stays in build-fuzz.
set -u
cd "$(dirname "$0")/.."
seconds=${1:-15}
shift
targets=("$@")
[ ${#targets[@]} -gt 0 ] || targets=(store_reply configuration report http
  events datagram news settings)
passed=0
failed=0

make -s -j8 BUILD=build-fuzz fuzz || exit 2

one() { # target
  local corpus
  corpus=$(mktemp -d)
  build-fuzz/fuzz_"$1" -seed=1 -max_total_time="$seconds" -max_len=8192 \
    -rss_limit_mb=1024 -artifact_prefix=build-fuzz/"$1"- \
    "$corpus" test/fuzz/corpus/"$1" >"build-fuzz/$1.log" 2>&1
  echo $? >"build-fuzz/$1.code"
  rm -rf "$corpus"
}

for target in "${targets[@]}"; do
  one "$target" &
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
