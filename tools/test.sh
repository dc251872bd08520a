#!/usr/bin/env bash
# Builds the preset named by the first argument (release, asan or tsan; release if none) and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
tools/install.sh
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
# The same property inputs in every run; set RC_PARAMS to try others.
export RC_PARAMS=${RC_PARAMS:-seed=1}
ctest --preset "$preset"
