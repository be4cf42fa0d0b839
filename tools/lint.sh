#!/usr/bin/env bash
# Checks formatting and lint of all C++ files.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run --Werror
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
# easylogging.cc only compiles the third-party logging library.
git ls-files 'src/*.cc' 'platform/*.cc' 'tools/*.cc' 'examples/*.cc' |
  grep -v '^src/kernel/easylogging.cc$' |
  xargs -P "$(nproc)" -I{} clang-tidy -p build-lint --quiet {} 2>/dev/null
echo "format and lint are clean"
