#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs target/ and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/build/case$(basename "$here")
[ -x "$program" ] && [ -x target/hemlockgladed ] || exit 2
exec "$program" "$here"
