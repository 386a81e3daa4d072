#!/usr/bin/env bash
# Real gateways on loopback against stand-ins for the platform, while things
# fail that a seed draws; then a verdict from what callers and replicas saw.
#   scripts/soak.sh [--seed N] [--minutes M] [FLAG OF platform_soak]...
#   scripts/soak.sh --cases     the seeds that ever failed
# Exits 0 if every promise held. docs/SOAK.md says what fails and what is
# checked.
set -euo pipefail
cd "$(dirname "$0")/.."

SEED=$((RANDOM * 32768 + RANDOM)) MINUTES=1 MORE=()
while [ $# -gt 0 ]; do
  case $1 in
  --seed) SEED=$2 && shift 2 ;;
  --minutes) MINUTES=$2 && shift 2 ;;
  --cases) MINUTES=cases && shift ;;
  *) MORE+=("$1") && shift ;;
  esac
done
[ -x build/platform_soak ] || scripts/build.sh >/dev/null
if [ "$MINUTES" = cases ]; then
  status=0
  while read -r seed seconds every cause; do
    case $seed in '' | '#'*) continue ;; esac
    echo "seed $seed: $cause"
    build/platform_soak --seed "$seed" --seconds "$seconds" \
      --fault_every "$every" | grep -E '^(held|BROKEN|  )' || true
    [ "${PIPESTATUS[0]}" -eq 0 ] || status=1
  done <UnitTests/Platform/Soak/seeds.txt
  exit "$status"
fi
SECONDS_LONG=$(awk "BEGIN { print 60 * $MINUTES }")
exec build/platform_soak --seed "$SEED" --seconds "$SECONDS_LONG" "${MORE[@]}"
