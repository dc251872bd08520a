#!/usr/bin/env bash
# Generates gen/ from proto/. With --check, fails if the committed code differs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=gen
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
mkdir -p "$out"
protoc -I proto --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
if [ "${1:-}" = --check ]; then
  diff -r gen "$out" > /dev/null || { echo "gen/ does not match proto/; run tools/generate.sh" >&2; exit 1; }
  echo "generated code matches proto/"
fi
