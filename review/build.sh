#!/usr/bin/env bash
# Builds the programs that the cases start, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target cactuswardd platform_standin -j4
mkdir -p target/review
for folder in review/*/; do
  source="${folder}case.cc"
  [ -f "$source" ] || continue
  name=$(basename "$folder")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -I. "$source" \
    review/support/harness.cc -o "target/review/case_$name"
done
