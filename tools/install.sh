#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
for package in $(cat packages.txt); do
  dpkg -s "$package" > /dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
