#!/usr/bin/env bash
# Runs the fault matrix and 10,000 random schedules against the sans-I/O components. Ends with 1 on any violation.
# Arguments are passed on: --schedules N, --first-seed N, --threads N.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake --preset release > /dev/null
cmake --build --preset release --target fault_matrix > /dev/null
exec build/release/bin/fault_matrix "$@"
