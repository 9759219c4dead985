#!/usr/bin/env bash
# The program as an operator runs it: check, keys, a life that writes, a second that reads, state show, verify, prune.
# Usage: restart_test.sh ELMBAY EXAMPLES
set -euo pipefail
elmbay=$1 examples=$2
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" || true; rm -rf "$work"' EXIT
folder=$work/kept

expect() {  # exit code, a pattern in what is printed, the command
    local code=0 out
    out=$("${@:3}" 2>&1) || code=$?
    if [ "$code" != "$1" ] || ! grep -qE "$2" <<<"$out"; then
        echo "${*:3}: exit $code, wanted $1 and '$2'; printed:"; echo "$out"; exit 1
    fi
}
# Runs until the folder holds the generation, then ends it as a planned restart does; it must end as told.
life() {  # generation
    RELAY_CONFIG=$examples/minimal/config.json RELAY_LISTEN=127.0.0.1:0 \
        "$elmbay" --operator "$work/good.toml" 2> "$work/log" &
    pid=$!
    local tries=0
    until "$elmbay" state show "$folder" 2>/dev/null | grep -q "generation $1)"; do
        kill -0 $pid && [ $((++tries)) -lt 600 ] || { echo "no generation $1:"; cat "$work/log"; exit 1; }
        sleep 0.1
    done
    expect 1 "a sidecar is using it" "$elmbay" state prune "$folder"
    kill -TERM $pid
    wait $pid
    pid=
}

printf '[state]\nfolder = "%s"\nevery = "100ms"\n' "$folder" > "$work/good.toml"
printf '[state]\nevry = "1s"\n' > "$work/bad.toml"
expect 0 sound "$elmbay" check "$work/good.toml"
expect 2 'bad.toml:2: state.evry.*every' "$elmbay" check "$work/bad.toml"
expect 2 'state.evry' "$elmbay" --operator "$work/bad.toml"
expect 0 folder "$elmbay" keys
expect 1 'No such file' "$elmbay" state show "$folder"
life 1
expect 0 'whole; of' "$elmbay" state verify "$folder"
life 2
expect 0 '"instance"' "$elmbay" state show --json "$folder"
echo "not a state" > "$folder/elmbay-00000000000000ff.state"
expect 0 'broken: it is no state' "$elmbay" state verify "$folder"
life 256
grep -q 'no state of an elmbay' "$work/log"
expect 0 '' "$elmbay" state prune "$folder"
