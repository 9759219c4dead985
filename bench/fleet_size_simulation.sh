#!/bin/sh
# Fleets of other sizes in virtual time: the same day with more servers and more sidecars. A sidecar's traffic and
# the capacity of all servers for each sidecar stay the same, so servers get smaller as there are more of them.
#
#     bench/fleet_size_simulation.sh [build/tools/simulation/elmbay_simulation] [seeds]
set -eu
simulation=${1:-build/tools/simulation/elmbay_simulation}
seeds=${2:-"1 2"}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# play SERVERS SIDECARS CORES SEED
play() {
  cat >"$folder/day.toml" <<DAY
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
DAY
  "$simulation" run "$folder/day.toml" --json "$folder/day.json" --quiet >/dev/null || true
  python3 - "$folder/day.json" "$1" "$2" "$4" <<'READ'
import json, sys
report, servers, sidecars, seed = json.load(open(sys.argv[1])), *sys.argv[2:]
counts = report["counts"]
print(f"| {servers} | {sidecars} | {seed} | {counts['connections'] / int(sidecars):.1f} "
      f"| {report['answered']:.4f} | {report['goodput']:.4f} | {report['attempts_per_try']:.3f} "
      f"| {'kept' if report['rules_kept'] else 'BROKEN'} |", flush=True)
READ
}

echo "| servers | sidecars | seed | connections a sidecar | answered | goodput | attempts a try | rules |"
echo "|---|---|---|---|---|---|---|---|"
for seed in $seeds; do
  play 200 300 16 "$seed"
  play 200 900 48 "$seed"
  play 800 300 4 "$seed"
  play 3200 300 1 "$seed"
  play 3200 900 3 "$seed"
done
