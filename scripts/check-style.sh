#!/usr/bin/env bash
# Checks the formatting of all sources and lints them. Needs a configured
# build folder, build/. Exits 0 if there is nothing to say.
#
#   scripts/check-style.sh [FILE...]   # only these files
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -f build/compile_commands.json ]; then
  echo "style: no build/compile_commands.json; run cmake first" >&2
  exit 2
fi

readonly JOBS=${STYLE_JOBS:-10}
readonly FOLDERS=(Hemlockglade Programs platform StandIns Bench UnitTests)

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  folders=()
  for folder in "${FOLDERS[@]}"; do
    [ ! -d "$folder" ] || folders+=("$folder")
  done
  mapfile -t files < <(find "${folders[@]}" -name '*.h' -o -name '*.cpp' | sort)
fi

status=0
printf '%s\0' "${files[@]}" |
  xargs -0 clang-format --dry-run -Werror || status=1

# Headers are linted through the files that include them.
sources=()
for file in "${files[@]}"; do
  [[ $file != *.cpp ]] || sources+=("$file")
done
if [ "${#sources[@]}" -gt 0 ]; then
  printf '%s\0' "${sources[@]}" |
    xargs -0 -n 1 -P "$JOBS" clang-tidy -p build --quiet 2>&1 |
    sed -E '/^[0-9]+ warnings? (generated|treated)/d' || status=1
fi

[ "$status" -eq 0 ] && echo "style: clean, ${#files[@]} files"
exit "$status"
