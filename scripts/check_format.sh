#!/bin/sh
# Fails when a source file is not formatted.
set -eu
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v generated | xargs clang-format-14 --dry-run -Werror
