#!/usr/bin/env bash
# Checks the Promela models with Spin: each property must hold, and each planted fault must give a counterexample.
# A run that exceeds its minute counts as incomplete. Prints the number of states of each run and ends with 1 if a result is not the expected one.
set -euo pipefail
cd "$(dirname "$0")/.."
models=$PWD/models
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
failed=0

# check <model> <holds|fails> <macro>...
check() {
  local model=$1 expected=$2 macros=() errors states result
  shift 2
  for macro in "$@"; do macros+=("-D$macro"); done
  rm -f pan* ./*.trail
  spin -a "${macros[@]}" "$models/$model.pml" > spin.log || { cat spin.log >&2; exit 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
  # -E: processes that wait for ever stand for crashed ones.
  timeout 240 ./pan -E -m200000 > pan.log || true
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | head -1)
  result=holds
  [ "${errors:-0}" = 0 ] || result=fails
  if [ -z "$errors" ] || grep -q -e 'Search not completed' -e 'max search depth' pan.log && [ "$result" = holds ]; then
    result=incomplete
  fi
  printf '%-14s %-58s %-10s %12s states\n' "$model" "$*" "$result" "$states"
  [ "$result" = "$expected" ] || { echo "expected: $expected" >&2; failed=1; }
}

check promotion holds ONE_PRIMARY
check promotion holds CONFIRMED_SURVIVES
check promotion holds CONFIRMED_SURVIVES MAX_TERM=4 MAX_LENGTH=3
check promotion fails CONFIRMED_SURVIVES NO_SEAL
check promotion fails CONFIRMED_SURVIVES PRIMARY_ALONE
check promotion fails CONFIRMED_SURVIVES POSITION_ONLY
check promotion fails CONFIRMED_SURVIVES OLD_TERM_ENTRIES MAX_TERM=4 MAX_LENGTH=3
check use_lease holds ALL_FAULTS_OFF
check use_lease fails NO_WAIT
check use_lease fails STEADY_CLOCK
check use_lease fails COUNT_FROM_ANSWER
check use_lease fails AGREE_FIRST
check use_lease fails LEASE_FIRST
check restored_store holds ALL_FAULTS_OFF
check restored_store fails NO_RESTORE_WAIT
check restored_store fails TRUST_OLD_RECORD
check restored_store fails COPY_WINS
check restored_store fails RENEW_OLD_LEASE
check candidate holds ALL_FAULTS_OFF
check candidate fails ANY_LEADER
check candidate fails CALL_FIRST
check candidate fails CHOOSE_AGAIN
check candidate fails LATE_CALL
check late_promotion holds ALL_FAULTS_OFF
check late_promotion fails NO_LIST
check late_promotion fails CHECK_FIRST
check late_promotion fails SETTLE_ANY
check late_promotion fails DROP_LIST
check late_promotion fails FORGET_NAMED
check successor holds ALL_FAULTS_OFF
check successor fails REGISTERED_ONLY
check successor fails FORGET_AT_RESTART
check successor fails NO_JOIN
check successor fails DROP_UNCHECKED
check successor fails NEVER_DROP
check successor fails IGNORE_PRIMARY
check successor fails NO_LEAD_BACK
check successor fails SAME_ID_ONLY
check successor fails LEAD_BACK_BLIND
check settle holds AT_MOST_ONCE
check settle holds TRUE_REFUSAL
check settle holds TRUE_OUTCOME
check settle fails TRUE_REFUSAL SETTLE_WITHOUT_RECORD
check settle fails TRUE_REFUSAL ANSWER_BEFORE_CONFIRMATION
check settle fails AT_MOST_ONCE NO_RECORD_CHECK
exit $failed
