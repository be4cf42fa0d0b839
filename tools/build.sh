#!/usr/bin/env bash
# Installs the dependencies and builds. Usage: tools/build.sh [folder] [CMake options...]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"$folder.cmake.log" 2>&1 || {
  cat "$folder.cmake.log"
  exit 1
}
rm -f "$folder.cmake.log"
if ! ninja -C "$folder" >"$folder/build.log" 2>&1; then
  grep -E 'error|FAILED' "$folder/build.log" | head -40
  exit 1
fi
