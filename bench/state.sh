#!/usr/bin/env bash
# What keeping state costs and withstands. Usage: bench/state.sh BUILD_FOLDER
#   a thousand kills in the middle of writes; bytes written an hour by fleet size; p99 of requests with the writer
#   on a disk that hangs, against no writer, side by side in one run.
set -euo pipefail
build=${1:?the build folder}
ELMBAY_KILLS=${KILLS:-1000} "$build/tests/state/elmbay_state_tests" --gtest_filter='KilledWriter.*' | grep -E 'kills:|PASSED|FAILED'
"$build/state_cost"
