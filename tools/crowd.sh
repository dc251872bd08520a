#!/usr/bin/env bash
# Runs each crowd of clients that do not behave against one daemon, one after the other. Needs a built release preset.
# Ends with 1 if a limit was broken, but for cases that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release/bin
work=$(mktemp -d)
failed=0
for name in unfinished-starts unfinished-statements too-long-lines large-values unread-answers many-connections; do
  result=0
  timeout --kill-after=2 120 "$bin/borageridge-crowd" --program "${ENTRY:-$bin/borageridge-entry}" \
    --folder "$work/$name" --case "$name" || result=$?
  if [ $result != 0 ] && grep -q "^crowd: $name\b" KNOWN-RED.txt; then
    echo "crowd $name: KNOWN RED"
  elif [ $result != 0 ]; then
    echo "crowd $name: BROKEN ($result); logs: $work/$name"
    failed=1
  fi
done
exit $failed
