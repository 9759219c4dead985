#!/usr/bin/env bash
# Tests the program as an operator runs it: check, keys, a run that writes snapshots, a second run that reads them, and
# state show, verify and prune.
# Usage: restart_test.sh ELMBAY EXAMPLES
set -euo pipefail
elmbay=$1 examples=$2
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" || true; rm -rf "$work"' EXIT
directory=$work/kept

# Arguments: the expected exit code, a pattern that the output must match, the command.
expect() {
    local code=0 out
    out=$("${@:3}" 2>&1) || code=$?
    if [ "$code" != "$1" ] || ! grep -qE "$2" <<<"$out"; then
        echo "${*:3}: exit code $code, expected $1 and a match of '$2'; output:"; echo "$out"; exit 1
    fi
}
# Runs elmbay until the directory holds generation $1, then stops it with SIGTERM, as a planned restart does. It must
# exit with code 0.
run_until_generation() {
    RELAY_CONFIG=$examples/minimal/config.json RELAY_LISTEN=127.0.0.1:0 \
        "$elmbay" --operator "$work/good.toml" 2> "$work/log" &
    pid=$!
    local tries=0
    until "$elmbay" state show "$directory" 2>/dev/null | grep -q "generation $1)"; do
        kill -0 $pid && [ $((++tries)) -lt 600 ] || { echo "generation $1 was not written; log:"; cat "$work/log"; exit 1; }
        sleep 0.1
    done
    expect 1 "in use by a running sidecar" "$elmbay" state prune "$directory"
    kill -TERM $pid
    wait $pid
    pid=
}

printf '[state]\nfolder = "%s"\nevery = "100ms"\n' "$directory" > "$work/good.toml"
printf '[state]\nevry = "1s"\n' > "$work/bad.toml"
expect 0 'good.toml: no problems found' "$elmbay" check "$work/good.toml"
expect 2 'bad.toml:2: state.evry.*every' "$elmbay" check "$work/bad.toml"
expect 2 'state.evry' "$elmbay" --operator "$work/bad.toml"
expect 0 folder "$elmbay" keys
expect 1 'No such file' "$elmbay" state show "$directory"
run_until_generation 1
expect 0 'valid; instance' "$elmbay" state verify "$directory"
run_until_generation 2
expect 0 '"instance"' "$elmbay" state show --json "$directory"
echo "not a state" > "$directory/elmbay-00000000000000ff.state"
expect 0 'invalid: the file is not an elmbay snapshot' "$elmbay" state verify "$directory"
run_until_generation 256
grep -q 'not an elmbay snapshot' "$work/log"
expect 0 '' "$elmbay" state prune "$directory"
