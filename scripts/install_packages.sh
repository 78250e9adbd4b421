#!/bin/sh
# Installs what packages.txt lists and is not there yet.
set -eu
cd "$(dirname "$0")/.."
missing=""
for package in $(cat packages.txt); do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "install ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -q >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing >/dev/null
