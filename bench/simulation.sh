#!/usr/bin/env bash
# What the simulation itself can carry. Usage: [RATES="1000 5000"] bench/simulation.sh [BUILD]   (default: build; 2 minutes)
#   real:    requests a second through all of it (emulator and 4 sidecars) on two cores before it runs late
#   virtual: simulated instance-seconds a second with 1,000 instances
set -euo pipefail
tool=${1:-build}/tools/simulation/elmbay_simulation
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

figure() { sed -n "s/.*\"$1\": \([0-9.]*\).*/\1/p" "$2" | head -1; }

incident() {  # rate, seconds, sidecars, servers
    cat > "$work/load.toml" <<TOML
length = "$2s"
[fleet]
servers = $4
slots = 32
cores = 16
[callers]
rate = $1
skew = 0
[sidecars]
count = $3
[[class]]
name = "listen"
work = "20ms"
law = "fixed"
TOML
}

echo "real driver and 4 sidecars on cores 0 and 1, 10 s each:"
echo "rate/s  emulator late p99 ms  over 10 ms  goodput  verdict"
for rate in ${RATES:-1000 5000 8000 12000 16000 20000}; do
    incident "$rate" 10 4 40
    verdict=kept
    taskset -c 0,1 "$tool" run "$work/load.toml" --real --quiet --json "$work/r.json" > "$work/r.txt" || verdict=$(head -1 "$work/r.txt" | sed 's/.*): //')
    printf '%6s  %20s  %10s  %7.3f  %s\n' "$rate" "$(figure p99_ms <(sed -n '/"lateness"/,$p' "$work/r.json"))" \
        "$(figure late_share "$work/r.json")" "$(figure goodput <(grep '^ "goodput"' "$work/r.json"))" "$verdict"
done

echo "virtual driver, 1,000 instances:"
for rate in 1000 5000; do
    incident "$rate" 30 1000 200
    start=$(date +%s.%N)
    "$tool" run "$work/load.toml" --quiet > "$work/r.txt"
    awk -v a="$start" -v b="$(date +%s.%N)" -v r="$rate" \
        'BEGIN { t = b - a; printf "  %d requests/s for 30 s: %.2f s, %.0f instance-seconds/s, %.0f requests/s\n", r, t, 30000 / t, 30 * r / t }'
done
