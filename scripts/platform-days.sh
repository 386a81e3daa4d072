#!/usr/bin/env bash
# Plays the days of deploy/days on the site files that are named, with the
# users' bench, and says which rules were broken.
#
#   BENCH=PATH scripts/platform-days.sh SITE...
#
# Exits 0 if no day broke a rule or failed.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?name the bench program in BENCH}"

status=0
for site in "$@"; do
  for day in deploy/days/*.toml; do
    out=$("$BENCH" run "$site" "$day" --why "own day $(basename "$day" .toml)") || true
    line=$(grep -A1 '^day ' <<<"$out" | tail -n 1) || true
    echo "$(basename "$site" .toml): $line"
    if [ -z "$line" ] || grep -q 'BROKEN\|FAULT' <<<"$line"; then
      status=1
    fi
  done
done
exit "$status"
