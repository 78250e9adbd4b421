#!/bin/sh
# The stand-ins of the cases are Python 3 alone: this only checks that they compile. It needs no network.
cd "$(dirname "$0")" || exit 2
for file in lab.py */*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 2
done
