#!/bin/sh
# Simulates fleets of different sizes in virtual time: the same scenario with more servers and more sidecars. The
# traffic of each sidecar and the total server capacity per sidecar stay the same, so the more servers a fleet has, the
# smaller they are.
#
#     bench/fleet_size_simulation.sh [build/tools/simulation/elmbay_simulation] [seeds]
set -eu
simulation=${1:-build/tools/simulation/elmbay_simulation}
seeds=${2:-"1 2"}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Runs the scenario and prints one row of the table.
# Usage: run_scenario SERVERS SIDECARS CORES SEED
run_scenario() {
  cat >"$folder/scenario.toml" <<SCENARIO
about = "$1 servers of $3 cores, $2 sidecars"
length = "25s"
seed = $4

[fleet]
servers = $1
cores = $3
slots = $((4 * $3))
queue = $((20 * $3))
connections = $((200 * $3))

[callers]
rate = $((10 * $2))
skew = 0.3

[sidecars]
count = $2

[[class]]
name = "listen"
effect = "safe"
work = "500ms"
aim = "2500ms"
give_up = "8000ms"

[[fault]]
kind = "die"
at = "8s"
lasts = "5s"
who = "5%"
SCENARIO
  "$simulation" run "$folder/scenario.toml" --json "$folder/report.json" --quiet >/dev/null || true
  python3 - "$folder/report.json" "$1" "$2" "$4" <<'PYTHON'
import json, sys
report, servers, sidecars, seed = json.load(open(sys.argv[1])), *sys.argv[2:]
counts = report["counts"]
print(f"| {servers} | {sidecars} | {seed} | {counts['connections'] / int(sidecars):.1f} "
      f"| {report['answered']:.4f} | {report['goodput']:.4f} | {report['attempts_per_try']:.3f} "
      f"| {'kept' if report['rules_kept'] else 'BROKEN'} |", flush=True)
PYTHON
}

echo "| servers | sidecars | seed | connections per sidecar | answered | goodput | attempts per request | rules |"
echo "|---|---|---|---|---|---|---|---|"
for seed in $seeds; do
  run_scenario 200 300 16 "$seed"
  run_scenario 200 900 48 "$seed"
  run_scenario 800 300 4 "$seed"
  run_scenario 3200 300 1 "$seed"
  run_scenario 3200 900 3 "$seed"
done
