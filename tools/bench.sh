#!/usr/bin/env bash
# Runs bench/NAME.sh, which prints JSON lines. Ends with 0 if the bench ran, whatever the figures are.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
if [ -z "$name" ] || [ ! -f "bench/$name.sh" ]; then
  echo "usage: tools/bench.sh NAME [OPTIONS]; benches:" >&2
  for file in bench/*.sh; do
    echo "  $(basename "$file" .sh)" >&2
  done
  exit 2
fi
shift
exec "bench/$name.sh" "$@"
