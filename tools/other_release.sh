#!/usr/bin/env bash
# Builds the daemon of another release, for tests beside the current one.
# Usage: tools/other_release.sh COMMIT; prints the path, relative to build/.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short=10 "${1:?usage: other_release.sh COMMIT}^{commit}")
folder=build-release-$commit
if [ ! -x "$folder/cactuswardd" ]; then
  rm -rf "$folder"
  mkdir -p "$folder/source"
  git archive "$commit" | tar -x -C "$folder/source"
  cmake -S "$folder/source" -B "$folder" -G Ninja >"$folder/build.log" 2>&1
  ninja -C "$folder" cactuswardd >>"$folder/build.log" 2>&1
fi
echo "../$folder/cactuswardd"
