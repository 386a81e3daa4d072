#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# build/review-2. They need the C++ compiler and nlohmann-json3-dev, which the
# build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "build/review-2/case-$(basename "$(dirname "$source")")"
done
