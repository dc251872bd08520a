#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -pthread)
objects=()
for source in standins/*.cpp; do
  object=bin/$(basename "$source" .cpp).o
  "${CXX:-c++}" "${flags[@]}" -c -o "$object" "$source"
  objects+=("$object")
done
for source in [1-5]/Case.cpp; do
  "${CXX:-c++}" "${flags[@]}" -o "bin/case-$(dirname "$source")" "$source" "${objects[@]}"
done
