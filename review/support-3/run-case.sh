#!/usr/bin/env bash
# Plays one case of the third review: run-case.sh CASE FOLDER. Starts the stand-ins and the daemons, sends the signals that
# the case asks for, and ends all processes that it started. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
case_name=$1 folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
world=target/review-3/world
program=target/bin/borageridge-entry
[ -x "$world" ] && [ -x "$program" ] || exit 2
work=$(mktemp -d)
declare -A daemon=()
world_pid=

finish() {
  for pid in "${daemon[@]}" $world_pid; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
    wait "$pid" 2> /dev/null
  done
  cp "$work/record.txt" "$folder/record.txt" 2> /dev/null
  [ -z "${KEEP:-}" ] || cp -r "$work" "$KEEP"
  rm -rf "$work"
}
trap finish EXIT

start_daemon() {
  BORAGERIDGE_BOOT="$work/daemon-$1.toml" "$program" --metrics-port 9464 >> "$work/daemon-$1.log" 2>&1 &
  daemon[$1]=$!
}

"$world" "$case_name" "$work" "${TROUBLE:-1}" &
world_pid=$!
for _ in $(seq 100); do
  [ -e "$work/settings-written" ] && break
  sleep 0.05
done
[ -e "$work/settings-written" ] || exit 2
count=$(cat "$work/settings-written")
for number in $(seq "$count"); do
  start_daemon "$number"
done
end=$((SECONDS + 110))
while kill -0 "$world_pid" 2> /dev/null; do
  for request in "$work"/signal-*[0-9]; do
    [ -e "$request" ] || continue
    read -r name number < "$request"
    if [ "$name" = START ]; then
      start_daemon "$number"
    else
      kill -"$name" "${daemon[$number]}" 2> /dev/null
      [ "$name" != KILL ] || wait "${daemon[$number]}" 2> /dev/null
    fi
    rm -f "$request"
  done
  [ "$SECONDS" -lt "$end" ] || exit 2
  sleep 0.02
done
wait "$world_pid"
result=$?
world_pid=
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit "$result"
