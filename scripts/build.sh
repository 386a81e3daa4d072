#!/usr/bin/env bash
# Installs what the build needs and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < scripts/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
cmake -S . -B build -G Ninja >/dev/null
ninja -C build "$@"
