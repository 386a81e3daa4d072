#!/usr/bin/env bash
# Real processes under load while things fail, then a verdict from the history.
#   scripts/chaos.sh --seed N --rounds N [--requests N] [--only FAULT[,FAULT]]
#                    [--keep FOLDER]
# What is done in which order follows from the seed; when, not quite. Requests
# are counted for each round. Exits 0 if every promise held.
set -uo pipefail
cd "$(dirname "$0")/.."

SEED=1 ROUNDS=3 REQUESTS=600 ONLY="" KEEP=""
while [ $# -gt 0 ]; do
  case $1 in
  --seed) SEED=$2 ;;
  --rounds) ROUNDS=$2 ;;
  --requests) REQUESTS=$2 ;;
  --only) ONLY=$2 ;;
  --keep) KEEP=$2 ;;
  *) sed -n 2,6p "$0" >&2; exit 2 ;;
  esac
  shift 2
done

RUN=${KEEP:-$(mktemp -d)}
mkdir -p "$RUN"
source scripts/cluster.sh
trap 'stop_all' EXIT
LEASE_S=3
CALLERS=3
CALLERS_BOUND_S=240
NODE_EXIT_BOUND_S=90
FAULTS=(kill pause cut refuse platform restart engine leaving rolling race)
[ -n "$ONLY" ] && IFS=, read -ra FAULTS <<<"$ONLY"

# below N : sets PICK to a number from 0 to N-1, drawn from the seed.
RANDOM=$SEED
below() { PICK=$((RANDOM % $1)); }
# one_of WORD... : sets PICK to one of the words.
one_of() { local all=("$@"); below $#; PICK=${all[$PICK]}; }

note() { "$BIN/HistoryNote" "$RUN/history-operator.jsonl" operator "$@"; }
control() {
  curl -s --max-time 5 "http://127.0.0.1:$1/control?$2" >/dev/null
}
say() { echo "$(date +%T) $*"; }

# --- the system

NODES=()
NODE_NUMBER=0
DOMAINS=(hall-a hall-b hall-c)

write_nodes() {
  local node
  for node in "${NODES[@]}"; do
    echo "127.0.0.1:${PORT[$node]}"
  done >"$RUN/nodes.new"
  mv "$RUN/nodes.new" "$RUN/nodes"
}

# add_node [NAME] : a new node, under a new name or one used before.
add_node() {
  local name=${1:-entry-$((++NODE_NUMBER))}
  [ -f "$RUN/$name.log" ] && mv "$RUN/$name.log" "$RUN/$name.$(date +%s%N).log"
  start_node "$name" "${DOMAINS[$((NODE_NUMBER % 3))]}"
  note node_started "node=$name" "to=127.0.0.1:${PORT[$name]}"
  NODES+=("$name")
  write_nodes
}

remove_node() {
  local node left=()
  for node in "${NODES[@]}"; do
    [ "$node" = "$1" ] || left+=("$node")
  done
  NODES=("${left[@]}")
  write_nodes
}

# start_endpoint NAME PROGRAM ARGS... : an endpoint behind a relay.
start_endpoint() {
  local name=$1 program=$2
  shift 2
  start "$name" "$program" --name "$name" \
    --history "$RUN/history-$name.jsonl" "$@"
  start "relay-$name" StandInRelay --name "relay-$name" --endpoint "$name" \
    --history "$RUN/history-relay-$name.jsonl" --to "127.0.0.1:${PORT[$name]}"
}

start_chaos_engine() {
  start_endpoint "$1" StandInEngine --slots 3 --token_us 5000 \
    --linger_ms 1500 --report_lag_ms 300 \
    --weights "http://127.0.0.1:${PORT[platform]}" "${@:2}"
}

ADAPTERS=(oath-ar oath-fr seats witness hall-map guidance promo price-list
  margins catalogue labels-ro depot)
VERSIONS=3
ENGINES=(assistant-1 assistant-2 assistant-3 assistant-4)
SERVICES=(booking-1 booking-2)

# declare_versions FILE : writes declarations with drawn current versions, and
# sets CURRENT to them as JSON.
declare_versions() {
  local name json=""
  {
    echo "services:"
    echo "  - {name: assistant, kind: engine, base_model: base-7b}"
    echo "  - {name: booking, kind: plain}"
    echo "replicas:"
    for name in "${ENGINES[@]}"; do
      local checks=true
      [ "$name" = assistant-4 ] && checks=false
      echo "  - {name: $name, service: assistant," \
        "address: \"127.0.0.1:${PORT[relay-$name]}\"," \
        "failure_domain: hall-a, slots: 3, checks_fencing: $checks}"
    done
    for name in "${SERVICES[@]}"; do
      echo "  - {name: $name, service: booking," \
        "address: \"127.0.0.1:${PORT[relay-$name]}\", failure_domain: hall-b}"
    done
    echo "classes:"
    echo "  - {name: default, priority: 1, deadline_ms: 20000}"
    echo "adapters:"
    for name in "${ADAPTERS[@]}"; do
      below "$VERSIONS"
      echo "  - {name: $name, service: assistant, versions: [1, 2, 3]," \
        "current: $((PICK + 1))}"
      json+="${json:+,}\"$name\":$((PICK + 1))"
    done
  } >"$1"
  CURRENT="{$json}"
}

# apply CHANGE FILE NODE : an operator applies a change and notes the answer.
apply() {
  local answer revision code
  answer=$("$BIN/hemlockctl" --node "127.0.0.1:${PORT[$3]}" apply "$2" 2>&1)
  code=$?
  revision=$(grep -o 'revision[^0-9]*[0-9]*' <<<"$answer" |
    grep -o '[0-9]*$' | head -1)
  # 4 says: committed, but not yet in force everywhere.
  if [ "$code" = 0 ] || [ "$code" = 4 ]; then
    note accepted "change=$1" "revision=$revision"
  else
    note unaccepted "change=$1" "code=$code" "said=$(tr '\n"' '  ' <<<"$answer")"
  fi
}

# a_node : sets PICK to a node; in half of the cases to the one that took over
# the engines' cell last, if it is still there.
a_node() {
  local any owner
  one_of "${NODES[@]}"
  any=$PICK
  below 2
  [ "$PICK" = 0 ] && { PICK=$any; return; }
  owner=$(cd "$RUN" && grep -H ' own cell=assistant/0 ' "${NODES[@]/%/.log}" |
    sed 's/^\([^:]*\)\.log:\([^ ]*\) .*/\2 \1/' | sort | tail -1)
  PICK=${owner#* }
  PICK=${PICK:-$any}
}

# --- faults; each ends what it began

fault_kill() {
  a_node
  local node=$PICK
  say "kill $node"
  note killed "node=$node" "to=127.0.0.1:${PORT[$node]}"
  kill -KILL "${PID[$node]}"
  wait "${PID[$node]}" 2>/dev/null
  unset "PID[$node]"
  remove_node "$node"
  below 2
  # A host that comes back soon has its old name and a new incarnation.
  if [ "$PICK" = 0 ]; then add_node "$node"; else sleep 1; add_node; fi
}

fault_pause() {
  a_node
  local node=$PICK
  below 3
  local span=$((LEASE_S + 1 + PICK))
  say "pause $node for $span s"
  note paused "node=$node" "to=127.0.0.1:${PORT[$node]}"
  kill -STOP "${PID[$node]}"
  sleep "$span"
  kill -CONT "${PID[$node]}"
  note woken "node=$node" "to=127.0.0.1:${PORT[$node]}"
}

fault_cut() {
  one_of "${ENGINES[@]}" "${SERVICES[@]}"
  local name=$PICK relay=${PEER[relay-$PICK]}
  below 3
  case $PICK in
  0) say "cut all of $name"; control "$relay" cut=1 ;;
  1)
    below 3000
    say "cut $name after $((PICK + 1)) bytes"
    control "$relay" "cut_after=$((PICK + 1))"
    sleep 2
    ;;
  2)
    say "delay $name, then cut"
    control "$relay" delay_ms=300
    sleep 2
    control "$relay" cut=1
    ;;
  esac
  control "$relay" heal=1
}

fault_refuse() {
  one_of "${ENGINES[@]}" "${SERVICES[@]}"
  say "refuse connections to $PICK"
  control "${PEER[relay-$PICK]}" refuse=1
  sleep 2
  control "${PEER[relay-$PICK]}" heal=1
}

fault_platform() {
  local operation mode
  one_of all commit row scan weights hosts
  operation=$PICK
  one_of down lose hang swallow slow
  mode=$PICK
  below 5
  say "platform: $operation $mode for $((PICK + 1)) s"
  control "${PORT[platform]}" "op=$operation&mode=$mode&slow_ms=700"
  sleep $((PICK + 1))
  control "${PORT[platform]}" "op=all&mode=up"
  # Changes that are accepted as the platform answers again have to be in force
  # in time, whatever became of the calls that were open.
  [ "$mode" != swallow ] || fault_race
}

fault_restart() {
  one_of "${ENGINES[@]}"
  say "restart $PICK"
  control "${PORT[$PICK]}" restart=1
}

fault_engine() {
  one_of "${ENGINES[@]}"
  local name=$PICK
  one_of refuse=4 fail_loads=3 late_ms=400 "cut=3&cut_after=2" truncate=2
  say "$name: $PICK"
  control "${PORT[$name]}" "$PICK"
  one_of "cut_after=2" "cut_before=2" "refuse=2" "work_ms=150"
  control "${PORT[booking-1]}" "$PICK"
  sleep 2
  control "${PORT[$name]}" "refuse=0&fail_loads=0&late_ms=0&cut=0&truncate=0"
  control "${PORT[booking-1]}" "cut_after=0&cut_before=0&refuse=0&work_ms=5"
}

fault_leaving() {
  one_of "${ENGINES[@]}" "${SERVICES[@]}"
  say "leaving: $PICK"
  control "${PORT[platform]}" "leaving=$PICK"
  sleep 5
  control "${PORT[platform]}" "back=$PICK"
}

fault_rolling() {
  a_node
  local node=$PICK
  say "replace $node"
  add_node
  note terminated "node=$node" "to=127.0.0.1:${PORT[$node]}"
  kill -TERM "${PID[$node]}"
  remove_node "$node"
  wait_exit "$node"
}

# wait_exit NODE : waits for a node that was told to stop.
wait_exit() {
  local code=124
  for _ in $(seq $((NODE_EXIT_BOUND_S * 10))); do
    kill -0 "${PID[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -0 "${PID[$1]}" 2>/dev/null && kill -KILL "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null
  code=$?
  note exited "node=$1" "to=127.0.0.1:${PORT[$1]}" "code=$code"
  unset "PID[$1]"
}

CHANGES=0
fault_race() {
  local first=change-$((++CHANGES)) second=change-$((++CHANGES))
  say "race $first $second"
  declare_versions "$RUN/$first.yaml"
  note applying "change=$first" "current=$CURRENT"
  declare_versions "$RUN/$second.yaml"
  note applying "change=$second" "current=$CURRENT"
  one_of "${NODES[@]}"
  apply "$first" "$RUN/$first.yaml" "$PICK" &
  local one=$!
  one_of "${NODES[@]}"
  apply "$second" "$RUN/$second.yaml" "$PICK" &
  wait "$one" $!
}

# --- the run

start platform StandInPlatform --history "$RUN/history-platform.jsonl" \
  --loads_per_second 20 --host_lag_ms 300
for name in "${ENGINES[@]}"; do
  if [ "$name" = assistant-4 ]; then
    start_chaos_engine "$name" --nochecks_fencing
  else
    start_chaos_engine "$name"
  fi
done
for name in "${SERVICES[@]}"; do
  start_endpoint "$name" StandInService
done
for _ in 1 2 3 4; do add_node; done
declare_versions "$RUN/declarations.yaml"
note applying change=change-0 "current=$CURRENT"
apply change-0 "$RUN/declarations.yaml" entry-1
probe() {
  curl -sf --max-time 5 "http://127.0.0.1:${PORT[entry-2]}/v1/completions" \
    -d '{"model":"oath-ar@1","prompt":"x","max_tokens":1}' &&
    curl -sf --max-time 5 "http://127.0.0.1:${PORT[entry-3]}/services/booking/x"
}
wait_for 30 probe || { echo "the system never came up; see $RUN" >&2; exit 1; }

"$BIN/StandInCaller" --name observer --observe_ms 200 \
  --nodes_file "$RUN/nodes" --history "$RUN/history-observer.jsonl" \
  >"$RUN/observer.log" 2>&1 &
PID[observer]=$!

MODELS=oath-ar,oath-fr@2,seats,oath-ar@1,witness,hall-map@3,guidance,promo@1
MODELS+=,price-list,margins@2,catalogue,labels-ro@3,depot,oath-fr,seats@1,promo
STUCK=0

start_callers() {
  local it
  for it in $(seq "$CALLERS"); do
    "$BIN/StandInCaller" --name "caller-$1-$it" --seed "$SEED$1$it" \
      --requests $((REQUESTS / CALLERS)) --workers 8 --pause_ms 150 \
      --models "$MODELS" --services booking --nodes_file "$RUN/nodes" \
      --history "$RUN/history-caller-$1-$it.jsonl" \
      >"$RUN/caller-$1-$it.log" 2>&1 &
    PID[caller-$it]=$!
  done
}

wait_callers() {
  local it until=$((SECONDS + CALLERS_BOUND_S))
  for it in $(seq "$CALLERS"); do
    while kill -0 "${PID[caller-$it]}" 2>/dev/null; do
      if [ "$SECONDS" -gt "$until" ]; then
        echo "caller-$1-$it doesn't end" >&2
        STUCK=1
        kill -KILL "${PID[caller-$it]}"
      fi
      sleep 0.2
    done
    wait "${PID[caller-$it]}" 2>/dev/null || STUCK=1
    unset "PID[caller-$it]"
    cat "$RUN/caller-$1-$it.log"
  done
}

for round in $(seq "$ROUNDS"); do
  start_callers "$round"
  sleep 1
  below 2
  for _ in $(seq $((PICK + 1))); do
    one_of "${FAULTS[@]}"
    "fault_$PICK"
  done
  wait_callers "$round"
done

for node in "${NODES[@]}"; do
  note terminated "node=$node" "to=127.0.0.1:${PORT[$node]}"
  kill -TERM "${PID[$node]}"
done
for node in "${NODES[@]}"; do wait_exit "$node"; done
stop_all
trap - EXIT
echo "seed $SEED, rounds $ROUNDS, requests a round $REQUESTS"
"$BIN/history_check" "$RUN"/history-*.jsonl
code=$?
[ "$STUCK" = 0 ] || code=1
if [ "$code" = 0 ] && [ -z "$KEEP" ]; then
  rm -rf "$RUN"
else
  echo "histories and logs are in $RUN"
fi
exit "$code"
