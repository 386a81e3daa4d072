#!/usr/bin/env bash
# Plays one day of a site with the users' bench, all processes' logs on, and
# prints what the nodes' own lines say: loads by reason and how many were
# repeated, waits, refusals and tries by reason, windows of 2 s by route.
#
#   BENCH=PATH scripts/day-account.sh SITE DAY [FLAG OF THE BENCH]...
#
# The whole output, with the bench's own tables, stays in a file whose name is
# printed first. Exits with the reader's status.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?name the bench program in BENCH}"
[ $# -ge 2 ] || { sed -n '2,9p' "$0" >&2; exit 2; }
[ -x build/hemlockctl ] || scripts/build.sh hemlockctl >/dev/null

out=$(mktemp "${TMPDIR:-/tmp}/day-account-XXXXXX")
"$BENCH" run "$@" --log all --why "account of $2" >"$out" 2>&1 || true
echo "$out"
build/hemlockctl explain --logs "$out"
