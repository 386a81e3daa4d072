#!/usr/bin/env bash
# Builds test programs with the address and undefined-behaviour sanitizers in a
# folder of their own and runs them.
#   scripts/sanitize.sh [TEST_PROGRAM...]    default: TransportTests PlatformTests NodeTests
# Takes some minutes; exits 0 if nothing was found.
set -euo pipefail
cd "$(dirname "$0")/.."

FOLDER=${SANITIZE_FOLDER:-build-sanitized}
[ "$#" -gt 0 ] || set -- TransportTests PlatformTests NodeTests
cmake -S . -B "$FOLDER" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS="-fsanitize=address,undefined -O1 -g" >/dev/null
ninja -C "$FOLDER" "$@" | tail -1
status=0
for program in "$@"; do
  echo "$program"
  # RESTinio and Asio free blocks by another function than the one that
  # allocated them; nothing of ours does.
  ASAN_OPTIONS=alloc_dealloc_mismatch=0 RC_PARAMS=seed=20261 \
    "$FOLDER/$program" 2>&1 |
    grep -E "ERROR: |SUMMARY|runtime error|tests passed|test cases" || true
  [ "${PIPESTATUS[0]}" -eq 0 ] || status=1
done
exit "$status"
