#!/usr/bin/env bash
# Runs the script of case $1. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/.."
[ -x "review/bin/case-$1" ] && [ -x target/bin/borageridge-entry ] || exit 2
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 "review/bin/case-$1" "$folder" "review/$1/record.txt"
result=$?
[ "${KEEP_LOGS:-0}" = 1 ] && echo "logs of the daemons: $folder" || rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
