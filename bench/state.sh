#!/usr/bin/env bash
# Measures the cost and the crash safety of snapshots. Usage: bench/state.sh BUILD_FOLDER
# It kills the writer a thousand times during writes, measures the bytes written an hour for different fleet sizes, and
# compares the p99 of requests with a writer on a slow disk and without a writer, alternating in one run.
set -euo pipefail
build=${1:?usage: bench/state.sh BUILD_FOLDER}
ELMBAY_KILLS=${KILLS:-1000} "$build/tests/state/elmbay_state_tests" --gtest_filter='KilledWriter.*' | grep -E 'kills:|PASSED|FAILED'
"$build/state_cost"
