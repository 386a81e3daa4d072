#!/usr/bin/env bash
# Checks that what deploy/system.toml says the build needs is among what
# scripts/packages.txt installs, and that nothing that the product's build needs
# is missing there.
set -euo pipefail
cd "$(dirname "$0")/.."

# What only tools, tests and checks need.
readonly ASIDE="clang-format clang-tidy curl libreadline-dev catch2 \
libtrompeloeil-cpp-dev librapidcheck-dev"

deployed=$(sed -n '/^packages = \[/,/^\]/p' deploy/system.toml |
  grep -o '"[^"]*"' | tr -d '"' | sort)
needed=$(grep -v -x -F -f <(tr ' ' '\n' <<<"$ASIDE") scripts/packages.txt | sort)
if ! diff <(echo "$deployed") <(echo "$needed"); then
  echo "packages: deploy/system.toml (<) and scripts/packages.txt (>) disagree" >&2
  exit 1
fi
echo "packages: the two lists agree"
