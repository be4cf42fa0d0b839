#!/usr/bin/env bash
# Runs the Svaz example deployment locally for a few seconds: stand-ins for the
# platform, 24 runners and 3 services, 8 instances and the Svaz workload mix.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
launch() { "$@" >>"$work/log" 2>&1 & pids+=($!); }

launch build/cactusward_standin --role=platform --port=7100
zone_port=7200
groups=""
for zone in brno olomouc zlin; do
  launch build/cactusward_standin --role=runner --port=$zone_port --count=8 --time_scale=0.2
  targets=""
  for i in 0 1 2 3 4 5 6 7; do targets="$targets\"127.0.0.1:$((zone_port + i))\","; done
  groups="$groups{\"targets\":[${targets%,}],\"labels\":{\"service\":\"poradna\",\"availability_zone\":\"$zone\"}},"
  zone_port=$((zone_port + 10))
done
launch build/cactusward_standin --role=service --port=7240 --count=3
groups="$groups{\"targets\":[\"127.0.0.1:7240\",\"127.0.0.1:7241\",\"127.0.0.1:7242\"],\"labels\":{\"service\":\"objednavky\",\"availability_zone\":\"brno\"}},"
peers=""
targets=""
for i in 1 2 3 4 5 6 7 8; do
  launch build/cactuswardd --settings=examples/svaz/instance-$i.json
  peers="$peers\"127.0.0.1:$((7150 + i))\","
  targets="$targets,127.0.0.1:$((7100 + i))"
done
groups="$groups{\"targets\":[${peers%,}],\"labels\":{\"service\":\"cactusward\"}}"
sleep 0.5
build/cactusward_load --put="127.0.0.1:7100/v1/instances" --body="[$groups]"

sleep 3

export CACTUSWARD_OPERATOR_KEY=change-this-operator-key
ctl() { build/cactuswardctl --instance=127.0.0.1:7101 "$@"; }
# The stand-in runners (time scale 0.2) are five times as fast as real ones.
sed 's/"prefill_tokens_per_second": 15000/"prefill_tokens_per_second": 75000/' \
  examples/svaz/fleet.json >"$work/fleet.json"
echo "== cactuswardctl config apply"
ctl config apply "$work/fleet.json" --base=0 --author=demo --wait_ms=8000
sleep 1
echo "== cactuswardctl config status"
ctl config status
echo "== the Svaz's mix for 8 s (every fifth request is shown)"
build/cactusward_load --targets="${targets#,}" --key=demo-key-svaz --mix=svaz \
  --load=0.6 --capacity=1800000 --seconds=8 --list >"$work/load" || cat "$work/load"
awk '/first +[0-9.]+ ms/ {n++; if (n % 5 == 1 && n < 120) print; next} {print}' "$work/load"
echo "== cactuswardctl queues"
ctl queues
echo "== cactuswardctl burn"
ctl burn
