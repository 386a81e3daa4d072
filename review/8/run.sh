#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/build/review-2/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/hemlockgladed" ] || exit 2
cd "$root" && exec "$program" "$root" "$here"
