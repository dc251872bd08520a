#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)

jobs_begun=()
wait_for_jobs() {
  for job in "${jobs_begun[@]}"; do
    wait "$job"
  done
  jobs_begun=()
}

objects=()
for source in review/standins-2/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs_begun+=($!)
  objects+=("$object")
done
wait_for_jobs
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$name" &
  jobs_begun+=($!)
done
wait_for_jobs
