#!/bin/sh
# Fuzzes every decoder of foreign bytes with libFuzzer (clang 14; address and undefined-behaviour sanitizers), one after
# another, from the corpora in tests/fuzz/corpus. New inputs stay in build-fuzz/corpus.
# Usage: fuzz.sh [SECONDS_EACH [TARGET...]]
set -eu
cd "$(dirname "$0")/.."
seconds="${1:-30}"
[ $# -eq 0 ] || shift
cmake -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DSALTQUAY_FUZZ=ON -DSALTQUAY_WERROR=OFF >/dev/null
targets="${*:-$(sed -n 's/^set(FUZZ_TARGETS \(.*\))$/\1/p' tests/CMakeLists.txt)}"
for target in $targets; do
  ninja -C build-fuzz --quiet "fuzz_$target"
  mkdir -p "build-fuzz/corpus/$target"
  "build-fuzz/tests/fuzz_$target" -max_total_time="$seconds" -print_final_stats=0 "build-fuzz/corpus/$target" \
    "tests/fuzz/corpus/$target"
done
