#!/usr/bin/env bash
# Prints the decision core's figures as a Markdown table, policy by scenario,
# the mean over seeds 1 to 3. Arguments go to the program, for example
# --scenarios jasmin,tarabel --policies lru,ours --seeds 5.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh hemlockglade_bench >/dev/null
exec build/hemlockglade_bench --table "$@"
