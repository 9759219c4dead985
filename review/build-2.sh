#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into build/review-2. Needs a C++20 compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/lib-2/*.cpp; do
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review-2/$(basename "$source" .cpp)" &
    pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
