#!/usr/bin/env bash
# Installs, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir build --output-on-failure
