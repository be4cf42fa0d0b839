#!/usr/bin/env bash
# Builds the fuzz target with clang and runs it. Usage: tools/fuzz.sh [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
dpkg-query -W -f='${Status}' libclang-rt-14-dev 2>/dev/null | grep -q 'ok installed' ||
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq clang-14 libclang-rt-14-dev >/dev/null
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 \
  -DCACTUSWARD_FUZZ=ON -DCACTUSWARD_SANITIZE=ON >/dev/null
ninja -C build-fuzz fuzz_parsers >build-fuzz/build.log 2>&1 || { grep -E 'error' build-fuzz/build.log | head; exit 1; }
mkdir -p build-fuzz/corpus
# Regression inputs of earlier failures run first.
ASAN_OPTIONS=detect_leaks=0 build-fuzz/fuzz/fuzz_parsers fuzz/regressions/* 2>&1 | tail -n 2
ASAN_OPTIONS=detect_leaks=0 build-fuzz/fuzz/fuzz_parsers -seed=1 -max_len=4096 \
  -max_total_time="${1:-30}" -artifact_prefix=build-fuzz/ build-fuzz/corpus 2>&1 | tail -n 5
