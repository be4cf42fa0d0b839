#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/review/case_1 ] || exit 2
exec target/review/case_1 target review/1
