#!/bin/sh
# Installs the Debian packages that scripts/packages.txt lists. Does nothing
# when all of them are installed already.
set -eu
here=$(dirname "$0")
missing=
while read -r p; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q ' installed' ||
    missing="$missing $p"
done <"$here/packages.txt"
[ -n "$missing" ] || exit 0
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
  --no-install-recommends $missing
