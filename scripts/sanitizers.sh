#!/bin/sh
# Builds and runs the tests under a sanitizer, and one short soak of real gateways.
# Usage: sanitizers.sh address|thread
set -eu
cd "$(dirname "$0")/.."
folder="build-$1"
cmake -B "$folder" -G Ninja -DSALTQUAY_SANITIZER="$1" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C "$folder" --quiet
ctest --test-dir "$folder" --output-on-failure -j 2 --timeout 900
python3 tests/platform/soak.py "$folder/bin/saltquay-gateway" --seconds 12 --seed 20261202
