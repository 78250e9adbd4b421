#!/bin/sh
# Runs every test. Those that KNOWN-RED.txt lists run apart: what comes of them is printed and decides nothing.
# Usage: run_tests.sh BUILD_FOLDER
# KNOWN-RED.txt: a line each, "TEST: cause (command, seed, what was seen), issue N"; TEST is ctest's name. Three at most.
set -eu
cd "$(dirname "$0")/.."
build="$1"
known=""
if [ -f KNOWN-RED.txt ]; then
  [ "$(grep -c . KNOWN-RED.txt)" -le 3 ] || { echo "KNOWN-RED.txt lists more than three tests"; exit 1; }
  known=$(grep . KNOWN-RED.txt | cut -d: -f1 | paste -sd'|' -)
fi
if [ -n "$known" ]; then
  echo "known red, they decide nothing:"
  cat KNOWN-RED.txt
  ctest --test-dir "$build" --output-on-failure -R "^($known)\$" || true
fi
ctest --test-dir "$build" --output-on-failure -j 4 -E "^(${known:-none})\$"
