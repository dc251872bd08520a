#!/usr/bin/env bash
# Runs three proxies in front of three databases on loopback, changes the table and kills a primary while sessions roam,
# and prints whether every promise held. Ends with 0 only if it did.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  cat << 'USAGE'
usage: tools/demo.sh [--length-ms N] [--kill-after-s N] [--open-delay-ms N] [--receive-lag-ms N] [--policy NAME]
                     [--scenario FILE] [--no-build] [--keep DIRECTORY]
  --length-ms N        length of the traffic (12000)
  --kill-after-s N     time from the start of the traffic to the kill of a primary (5)
  --open-delay-ms N    delay of opening an endpoint connection (10)
  --receive-lag-ms N   replication delay of every replica (0)
  --policy NAME        failover policy: two_level or one_level (two_level)
  --scenario FILE      scenario of the load tool (scenarios/cooperative.toml)
  --no-build           use the programs that are there
  --keep DIRECTORY     copy results and logs there
USAGE
}

length_ms=12000
kill_after_s=5
receive_lag_ms=0
scenario=scenarios/cooperative.toml
build=yes
keep=
while [ $# -gt 0 ]; do
  case $1 in
    --length-ms) length_ms=$2; shift 2 ;;
    --kill-after-s) kill_after_s=$2; shift 2 ;;
    --open-delay-ms) FLEET_OPEN_DELAY_MS=$2; shift 2 ;;
    --receive-lag-ms) receive_lag_ms=$2; shift 2 ;;
    --policy) FLEET_POLICY=$2; shift 2 ;;
    --scenario) scenario=$2; shift 2 ;;
    --keep) keep=$2; shift 2 ;;
    --no-build) build=no; shift ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

if [ "$build" = yes ]; then
  tools/install.sh
  cmake --preset release > /dev/null
  cmake --build --preset release --target borageridged borageridgectl borageridge-load standin-database \
    standin-store standin-instances standin-control > /dev/null
fi
# shellcheck source=tools/lib/fleet.sh
. tools/lib/fleet.sh
fleet_init
trap fleet_cleanup EXIT
start_fleet bench/table.toml
for ((d = 1; d <= FLEET_DATABASES; d++)); do
  for ((m = 2; m <= FLEET_MEMBERS; m++)); do
    "$FLEET_BIN/standin-control" "$(member_control "$d" "$m")" "{\"receive_lag_ms\":$receive_lag_ms}" > /dev/null
  done
done

start_load load --scenario "$scenario" --length-ms "$length_ms"
sed 's/priority = 4/priority = 5/' bench/table.toml > "$FLEET_DIR/table-2.toml"
control table apply "$FLEET_DIR/table-2.toml" --base 1 --author demo
# Design bound for a table change with the store up.
table_held=yes
wait_table_version 2 5 || table_held=no
# The traffic before the kill is part of the demonstration; there is no condition to wait for.
sleep "$kill_after_s"
victim=$(member_name 1 1)
kill_process "$victim"
load_code=0
wait_load load || load_code=$?

csv=$FLEET_DIR/load.csv
if [ -n "$keep" ]; then
  mkdir -p "$keep"
  cp "$FLEET_DIR"/*.csv "$FLEET_DIR"/*.json "$FLEET_DIR"/*.err "$FLEET_DIR"/*.out "$FLEET_DIR"/load.history "$keep"/
fi
[ -f "$csv" ] || { tail -n 3 "$FLEET_DIR/load.err" >&2; exit 2; }
row() { printf '%-34s %s\n' "$1" "$2"; }
row "requests" "$(metric "$csv" total requests)"
row "accepted / refused / unsettled writes" "$(metric "$csv" total accepted_writes) / $(metric "$csv" total refused_writes) / $(metric "$csv" total unsettled_writes)"
row "violations" "$(metric "$csv" total violations)"
row "replica share of reads" "$(metric "$csv" total replica_share)"
row "killed primary" "$victim"
row "failover gap (ms)" "$(metric "$csv" "database:$(database_name 1)" longest_write_gap_ms)"
row "latency p50 / p99 (ms)" "$(metric "$csv" total latency_p50_ms) / $(metric "$csv" total latency_p99_ms)"
versions=$(table_versions)
while read -r proxy version; do
  row "table version on $proxy" "$version"
  [ "$version" = 2 ] || table_held=no
done <<< "$versions"
changes=$(metric "$csv" "database:$(database_name 1)" term_changes)
if [ "$load_code" -eq 0 ] && [ "$table_held" = yes ] && [ "${changes:-0}" -ge 1 ]; then
  echo "every promise held"
else
  echo "a promise was broken: load tool $load_code, table in force in time: $table_held, term changes: ${changes:-0}"
  exit 1
fi
