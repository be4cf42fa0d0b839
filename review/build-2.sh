#!/usr/bin/env bash
# Builds the programs of the cases review/6 to review/10 into target/review-2.
# Runs after the build of the deploy file and needs its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -O1 -std=c++17 -Wall -Wextra -pthread -I. \
    -o "target/review-2/case-$name" "$source"
done
