#!/bin/sh
# Runs clang-tidy over every source file; warnings are errors.
# Usage: check_lint.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard 'src/*.cc' 'tests/*.cc' 'bench/*.cc' 'platform/*.cc' |
  xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 clang-tidy-14 -p "$1" --quiet --warnings-as-errors='*' --extra-arg=-Wno-unknown-warning-option 2>/dev/null
