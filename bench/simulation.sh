#!/usr/bin/env bash
# Measures the maximum load of the simulation itself. Takes 2 minutes. BUILD is "build" by default.
# Usage: [RATES="1000 5000"] bench/simulation.sh [BUILD]
#   real driver:    how late the emulator runs on two cores with 4 sidecars, at different request rates
#   virtual driver: simulated instance-seconds a second with 1,000 instances
set -euo pipefail
tool=${1:-build}/tools/simulation/elmbay_simulation
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the first value of a field of a JSON report. Usage: report_value FIELD FILE
report_value() { sed -n "s/.*\"$1\": \([0-9.]*\).*/\1/p" "$2" | head -1; }

# Usage: write_scenario RATE SECONDS SIDECARS SERVERS
write_scenario() {
    cat > "$work/scenario.toml" <<TOML
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
    write_scenario "$rate" 10 4 40
    verdict=kept
    taskset -c 0,1 "$tool" run "$work/scenario.toml" --real --quiet --json "$work/report.json" > "$work/report.txt" || verdict=$(head -1 "$work/report.txt" | sed 's/.*): //')
    printf '%6s  %20s  %10s  %7.3f  %s\n' "$rate" "$(report_value p99_ms <(sed -n '/"lateness"/,$p' "$work/report.json"))" \
        "$(report_value late_share "$work/report.json")" "$(report_value goodput <(grep '^ "goodput"' "$work/report.json"))" "$verdict"
done

echo "virtual driver, 1,000 instances:"
for rate in 1000 5000; do
    write_scenario "$rate" 30 1000 200
    start=$(date +%s.%N)
    "$tool" run "$work/scenario.toml" --quiet > "$work/report.txt"
    awk -v a="$start" -v b="$(date +%s.%N)" -v r="$rate" \
        'BEGIN { t = b - a; printf "  %d requests/s for 30 s: %.2f s, %.0f instance-seconds/s, %.0f requests/s\n", r, t, 30000 / t, 30 * r / t }'
done
