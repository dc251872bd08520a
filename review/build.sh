#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/Case.cpp; do
  [ -e "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -pthread -o "bin/case-$(dirname "$source")" "$source" standins/*.cpp
done
