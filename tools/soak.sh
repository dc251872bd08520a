#!/usr/bin/env bash
# Runs the seeded cases of soak/cases.txt, or with --seeds FIRST LAST [OPTION...] all kinds of trouble under these seeds.
# Needs a built release preset. Ends with 1 if a rule was broken, but for cases that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release/bin
work=$(mktemp -d)
jobs=${JOBS:-3}

run_case() {
  local name=$1 folder=$work/$1-$2 result=0
  timeout --kill-after=2 300 "$bin/borageridge-soak" --program "${ENTRY:-$bin/borageridge-entry}" --folder "$folder" \
    --seed "$2" "${@:3}" > "$folder.txt" 2>&1 || result=$?
  if [ $result = 0 ]; then
    echo "soak $name: held; $(tail -1 "$folder.txt")"
    rm -rf "$folder"
  elif grep -q "^soak: $name\b" KNOWN-RED.txt; then
    echo "soak $name: KNOWN RED; $(tail -1 "$folder.txt")"
  else
    echo "soak $name: BROKEN ($result); $(tail -1 "$folder.txt"); logs: $folder"
    return 1
  fi
}
export -f run_case
export work bin ENTRY=${ENTRY:-}

if [ "${1:-}" = --seeds ]; then
  first=$2 last=$3
  shift 3
  seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'run_case "$@"' run_case random {} "$@"
else
  grep -v '^#' soak/cases.txt | xargs -P "$jobs" -L 1 bash -c 'run_case "$@"' run_case
fi
