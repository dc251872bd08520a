# Starts and stops a fleet of stand-ins and proxies on loopback for scripts. To be sourced.
#
# Settings of the caller, all optional: FLEET_DATABASES and FLEET_PROXIES (counts), FLEET_POLICY (failover policy),
# FLEET_OPEN_DELAY_MS, FLEET_CONNECTIONS, FLEET_SLOTS, FLEET_LOG_LEVEL, FLEET_DATABASE_PREFIX (names of databases),
# FLEET_BIN (directory of the programs).
#
# After fleet_init, FLEET_DIR holds all files of the fleet. Every started process is recorded there with its id;
# stop_all ends exactly these.

FLEET_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
FLEET_BIN=${FLEET_BIN:-$FLEET_ROOT/build/release/bin}
FLEET_DATABASES=${FLEET_DATABASES:-3}
FLEET_PROXIES=${FLEET_PROXIES:-3}
FLEET_POLICY=${FLEET_POLICY:-two_level}
FLEET_OPEN_DELAY_MS=${FLEET_OPEN_DELAY_MS:-10}
FLEET_CONNECTIONS=${FLEET_CONNECTIONS:-20}
FLEET_SLOTS=${FLEET_SLOTS:-3}
FLEET_LOG_LEVEL=${FLEET_LOG_LEVEL:-info}
FLEET_DATABASE_PREFIX=${FLEET_DATABASE_PREFIX:-jobs-}
FLEET_SECRET=loopback-secret-of-the-load-tool
FLEET_MEMBERS=3
# Upper bound of the time in which a process must report that it listens.
FLEET_START_TIMEOUT_S=15

fleet_fail() {
  echo "fleet: $*" >&2
  return 1
}

# Ports are spread by process id so that two fleets seldom collide; below 32768, where ephemeral ports start.
fleet_choose_ports() {
  FLEET_PORT=$((12000 + ($$ % 100) * 200))
}

# fleet_init: creates the directory and all files of the fleet.
fleet_init() {
  FLEET_DIR=$(mktemp -d "${TMPDIR:-/tmp}/borageridge.XXXXXX")
  FLEET_PIDS=$FLEET_DIR/pids
  : > "$FLEET_PIDS"
  fleet_choose_ports
  head -c 32 /dev/urandom > "$FLEET_DIR/token.key"
  printf '%s\n' "$FLEET_SECRET" > "$FLEET_DIR/secret"
  printf '[[caller]]\nname = "load"\nsecret = "%s"\n' "$FLEET_SECRET" > "$FLEET_DIR/callers.toml"
}

store_address() { echo "127.0.0.1:$FLEET_PORT"; }
store_control() { echo "127.0.0.1:$((FLEET_PORT + 1))"; }
instances_address() { echo "127.0.0.1:$((FLEET_PORT + 2))"; }
instances_control() { echo "127.0.0.1:$((FLEET_PORT + 3))"; }
# Databases, members and proxies are counted from 1.
database_name() { echo "$FLEET_DATABASE_PREFIX$1"; }
member_name() { echo "$(database_name "$1")-$2"; }
member_port() { echo $((FLEET_PORT + 50 + (($1 - 1) * FLEET_MEMBERS + $2 - 1) * 2)); }
member_address() { echo "127.0.0.1:$(member_port "$1" "$2")"; }
member_control() { echo "127.0.0.1:$(($(member_port "$1" "$2") + 1))"; }
proxy_port() { echo $((FLEET_PORT + 4 + ($1 - 1) * 4)); }
caller_address() { echo "127.0.0.1:$(proxy_port "$1")"; }
peer_address() { echo "127.0.0.1:$(($(proxy_port "$1") + 1))"; }
admin_address() { echo "127.0.0.1:$(($(proxy_port "$1") + 2))"; }
metrics_address() { echo "127.0.0.1:$(($(proxy_port "$1") + 3))"; }

# join_by_comma FUNCTION COUNT: results of FUNCTION for 1 to COUNT.
join_by_comma() {
  local i list=
  for ((i = 1; i <= $2; i++)); do
    list+=${list:+,}$($1 "$i")
  done
  echo "$list"
}
all_callers() { join_by_comma caller_address "$FLEET_PROXIES"; }
all_databases() { join_by_comma database_name "$FLEET_DATABASES"; }

# start_process NAME COMMAND...: starts a process and records its id.
start_process() {
  local name=$1
  shift
  "$@" > "$FLEET_DIR/$name.out" 2> "$FLEET_DIR/$name.err" &
  echo "$name $!" >> "$FLEET_PIDS"
}

pid_of() { awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$FLEET_PIDS"; }

# wait_for_line NAME FILE PATTERN TIMEOUT_S: waits until the process has written a line, and fails if it ends before.
wait_for_line() {
  local name=$1 file=$2 pattern=$3 end=$((SECONDS + $4))
  until grep -q -- "$pattern" "$file" 2> /dev/null; do
    if ! is_running "$(pid_of "$name")"; then
      grep -q -- "$pattern" "$file" 2> /dev/null && return 0
      tail -n 3 "$FLEET_DIR/$name.err" >&2
      fleet_fail "$name ended before it wrote '$pattern'" || return
    fi
    [ $SECONDS -lt $end ] || fleet_fail "$name did not write '$pattern' in $4 s" || return
    sleep 0.02
  done
}

# wait_ready NAME: waits until a stand-in reports that it listens.
wait_ready() { wait_for_line "$1" "$FLEET_DIR/$1.out" '\(ready\|listening\)' "$FLEET_START_TIMEOUT_S"; }

start_store() {
  start_process store "$FLEET_BIN/standin-store" --listen "$(store_address)" --control "$(store_control)" "$@"
  wait_ready store
}

# write_instance_list: all members and proxies of the fleet as live.
write_instance_list() {
  local d m p
  for ((d = 1; d <= FLEET_DATABASES; d++)); do
    for ((m = 1; m <= FLEET_MEMBERS; m++)); do
      printf '[[instance]]\nname = "%s"\naddress = "%s"\navailability_zone = "az-%d"\nkind = "endpoint"\n' \
        "$(member_name "$d" "$m")" "$(member_address "$d" "$m")" "$m"
      printf 'state = "live"\ndatabase = "%s"\n' "$(database_name "$d")"
    done
  done
  for ((p = 1; p <= FLEET_PROXIES; p++)); do
    printf '[[instance]]\nname = "proxy-%d"\naddress = "%s"\navailability_zone = "az-%d"\nkind = "proxy"\n' \
      "$p" "$(peer_address "$p")" "$p"
    printf 'state = "live"\n'
  done
}

start_instances() {
  write_instance_list > "$FLEET_DIR/instances.toml"
  start_process instances "$FLEET_BIN/standin-instances" --listen "$(instances_address)" \
    --control "$(instances_control)" --instances "$FLEET_DIR/instances.toml"
  wait_ready instances
}

# start_member DATABASE MEMBER: starts one member without waiting.
start_member() {
  local name
  name=$(member_name "$1" "$2")
  start_process "$name" "$FLEET_BIN/standin-database" --name "$name" --listen "$(member_address "$1" "$2")" \
    --control "$(member_control "$1" "$2")" --data-directory "$FLEET_DIR/$name" \
    --connection-limit "$FLEET_CONNECTIONS" --open-delay-ms "$FLEET_OPEN_DELAY_MS" --slots "$FLEET_SLOTS"
}

# start_database DATABASE: starts all members of a database and writes its first record with member 1 as primary.
start_database() {
  local m members=()
  for ((m = 1; m <= FLEET_MEMBERS; m++)); do
    start_member "$1" "$m"
    members+=(--member "$(member_name "$1" "$m")=$(member_address "$1" "$m")@az-$m")
  done
  for ((m = 1; m <= FLEET_MEMBERS; m++)); do
    wait_ready "$(member_name "$1" "$m")" || return
  done
  control group init "$(database_name "$1")" "${members[@]}" --primary "$(member_name "$1" 1)"
}

# control ARGUMENTS...: runs borageridgectl against the store of the fleet.
control() {
  "$FLEET_BIN/borageridgectl" --store "$(store_address)" --prefix /borageridge/ "$@" \
    > "$FLEET_DIR/control.out" 2>&1 || { cat "$FLEET_DIR/control.out" >&2; return 1; }
}

write_settings() {
  local p seeds=
  for ((p = 1; p <= FLEET_PROXIES; p++)); do
    [ "$p" -eq "$1" ] || seeds+=${seeds:+, }"\"$(peer_address "$p")\""
  done
  cat << SETTINGS
[instance]
name = "proxy-$1"
availability_zone = "az-$1"
caller_address = "$(caller_address "$1")"
peer_address = "$(peer_address "$1")"
admin_address = "$(admin_address "$1")"
metrics_address = "$(metrics_address "$1")"

[store]
addresses = ["$(store_address)"]
prefix = "/borageridge/"

[instance_list]
address = "$(instances_address)"

[peers]
seeds = [$seeds]

[security]
transport = "plaintext"
token_key_file = "token.key"
callers_file = "callers.toml"

[failover]
policy = "$FLEET_POLICY"

[log]
level = "$FLEET_LOG_LEVEL"
SETTINGS
}

# start_proxy NUMBER [PREFIX...]: writes the settings of a proxy and starts it without waiting, for example under taskset.
start_proxy() {
  local number=$1
  shift
  write_settings "$number" > "$FLEET_DIR/proxy-$number.toml"
  start_process "proxy-$number" "$@" "$FLEET_BIN/borageridged" --settings "$FLEET_DIR/proxy-$number.toml"
}

# load_tool ARGUMENTS...: runs borageridge-load with the caller's identity of the fleet.
load_tool() { "$FLEET_BIN/borageridge-load" --caller load --secret-file "$FLEET_DIR/secret" "$@"; }

# table_version PROXY: the version in force on a proxy; empty if it does not answer.
table_version() {
  load_tool --admin "$(admin_address "$1")" 2> /dev/null | awk '$1 == "table_version" { print $2 }'
}

# wait_table_version VERSION TIMEOUT_S: waits until every proxy has at least this version in force.
wait_table_version() {
  local p version end=$((SECONDS + $2))
  for ((p = 1; p <= FLEET_PROXIES; p++)); do
    until version=$(table_version "$p") && [ "${version:-0}" -ge "$1" ]; do
      [ $SECONDS -lt $end ] || fleet_fail "proxy-$p did not take table version $1 in $2 s" || return
      is_running "$(pid_of "proxy-$p")" || {
        tail -n 3 "$FLEET_DIR/proxy-$p.err" >&2
        fleet_fail "proxy-$p ended" || return
      }
      sleep 0.05
    done
  done
}

# start_fleet TABLE: store, instance list, databases and proxies, with a table as version 1 in force on all proxies.
start_fleet() {
  local i
  start_store
  start_instances
  for ((i = 1; i <= FLEET_DATABASES; i++)); do
    start_database "$i"
  done
  control table apply "$1" --base 0 --author demo
  for ((i = 1; i <= FLEET_PROXIES; i++)); do
    start_proxy "$i"
  done
  wait_table_version 1 "$FLEET_START_TIMEOUT_S"
}

# start_load NAME ARGUMENTS...: starts the load tool and waits until its traffic runs. Results go to NAME.csv, NAME.json
# and NAME.history in the directory of the fleet.
start_load() {
  local name=$1
  shift
  start_process "$name" "$FLEET_BIN/borageridge-load" --caller load --secret-file "$FLEET_DIR/secret" \
    --proxies "$(all_callers)" --databases "$(all_databases)" --csv "$FLEET_DIR/$name.csv" \
    --json "$FLEET_DIR/$name.json" --history "$FLEET_DIR/$name.history" "$@"
  wait_for_line "$name" "$FLEET_DIR/$name.err" traffic_started 60
}

# wait_load NAME: waits for the end of the load tool and returns its exit code.
wait_load() { wait "$(pid_of "$1")"; }

# table_versions: the version in force on each proxy, one "proxy-N VERSION" a line.
table_versions() {
  local p
  for ((p = 1; p <= FLEET_PROXIES; p++)); do
    echo "proxy-$p $(table_version "$p")"
  done
}

# kill_process NAME: ends one process of the fleet at once, as a crash does.
kill_process() {
  kill -KILL "$(pid_of "$1")" 2> /dev/null
  wait "$(pid_of "$1")" 2> /dev/null || true
}

signal_process() { kill "-$1" "$(pid_of "$2")"; }

# is_running PID: whether it is a child of this shell that has not ended. An id of an ended process may belong to another
# process by now, so ids are never signalled without this check.
is_running() { jobs -pr | grep -qx -- "$1"; }

# stop_all: ends every recorded process that still runs; after 5 s by SIGKILL.
stop_all() {
  local name pid end=$((SECONDS + 5))
  [ -f "${FLEET_PIDS:-}" ] || return 0
  while read -r name pid; do
    # A process stopped by SIGSTOP would not take SIGTERM.
    if is_running "$pid"; then
      kill -CONT "$pid"
      kill -TERM "$pid"
    fi
  done < "$FLEET_PIDS" 2> /dev/null
  while read -r name pid; do
    while is_running "$pid" && [ $SECONDS -lt $end ]; do
      sleep 0.05
    done
    if is_running "$pid"; then
      kill -KILL "$pid"
    fi
    wait "$pid" || true
  done < "$FLEET_PIDS" 2> /dev/null
  : > "$FLEET_PIDS"
}

# fleet_cleanup: for traps. Keeps the files if the script failed, for analysis.
fleet_cleanup() {
  local code=$?
  trap - EXIT
  stop_all
  if [ "$code" -eq 0 ]; then
    rm -rf "${FLEET_DIR:?}"
  else
    echo "files of the failed run: $FLEET_DIR" >&2
  fi
  exit "$code"
}

# metric CSV SCOPE NAME: one figure of the load tool.
metric() { awk -F, -v scope="$2" -v name="$3" '$1 == scope && $2 == name { print $3 }' "$1"; }
