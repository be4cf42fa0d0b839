#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy and expects
# its scenario to fail. Usage: tools/mutate.sh [scenario]
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | tar -cf - --null -T - | tar -xf - -C "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
seen=0
missed=0
number=0
while IFS= read -r line; do
  case "$line" in ''|'#'*) continue ;; esac
  scenario=$(echo "$line" | awk -F' [|] ' '{print $1}')
  [ -n "${1:-}" ] && [ "$scenario" != "$1" ] && continue
  file=$(echo "$line" | awk -F' [|] ' '{print $2}')
  number=$((number + 1))
  cp "$file" "$scratch/$file"
  if ! perl -e '
      my ($line, $file) = @ARGV;
      my (undef, undef, $from, $to) = split / \| /, "$line ", 4;
      s/\\\|/|/g, s/^\s+|\s+$//g for $from, $to;
      local $/; open F, $file; my $text = <F>; close F;
      my $pattern = join q(\s+), map { quotemeta } split /\s+/, $from;
      $text =~ s/$pattern/$to/ or exit 1;
      open F, ">$file"; print F $text;' "$line" "$scratch/$file"; then
    echo "STALE   $line"
    missed=$((missed + 1))
    continue
  fi
  if ! ninja -C "$scratch/build" cactuswardd scenario_runner cactusward_standin platform_standin \
      cactusward_load >"$scratch/log" 2>&1; then
    echo "BROKEN  $line"
    grep error "$scratch/log" | head -3
    missed=$((missed + 1))
  else
    # A scenario with random faults may not exercise the mechanism with every seed.
    caught=""
    for try in 0 1 2; do
      [ -n "$caught" ] && break
      timeout 300 "$scratch/build/scenario_runner" --bin="$scratch/build" \
        --work="$scratch/work" --seed=$((30 + (number + try * 4) % 12)) \
        "tests/scenarios/$scenario.lua" >"$scratch/out" 2>&1 ||
        caught=$(grep -m1 FAILED "$scratch/out" | sed 's/.*FAILED [a-z_]*: //')
      case $scenario in soak | chaos) ;; *) break ;; esac
    done
    if [ -n "$caught" ]; then
      seen=$((seen + 1))
      echo "seen    $scenario: $caught"
    else
      echo "MISSED  $line"
      missed=$((missed + 1))
    fi
  fi
  cp "$file" "$scratch/$file"
done <tests/mutations.txt
echo "$seen passed, $missed failed"
[ "$missed" -eq 0 ]
