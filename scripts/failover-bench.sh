#!/usr/bin/env bash
# Failover of real processes on loopback, measured under load; prints tables.
#   scripts/failover-bench.sh [--rounds N] [--profile default|short]
#       [--only PART[,PART]] [--outage_s N] [--keep FOLDER]
# Parts: kill freeze stop rolling config idle outage. All by default; about 20
# minutes with five rounds of the default settings. Ends only what it started.
set -uo pipefail
cd "$(dirname "$0")/.."

ROUNDS=5 PROFILE=default ONLY=kill,freeze,stop,rolling,config,idle,outage
OUTAGE_S=30 KEEP=""
while [ $# -gt 0 ]; do
  case $1 in
  --rounds) ROUNDS=$2 ;;
  --profile) PROFILE=$2 ;;
  --only) ONLY=$2 ;;
  --outage_s) OUTAGE_S=$2 ;;
  --keep) KEEP=$2 ;;
  *) sed -n 2,6p "$0" >&2; exit 2 ;;
  esac
  shift 2
done
if [ "$PROFILE" = default ]; then
  LEASE_MS=10000 RENEW_MS=3000 SCAN_MS=1000 MARGIN_MS=1000
  CONFIG_POLL_MS=1000 DIRECTORY_TTL_MS=5000
else
  LEASE_MS=3000 RENEW_MS=500 SCAN_MS=200 MARGIN_MS=500
  CONFIG_POLL_MS=200 DIRECTORY_TTL_MS=1000
fi

BASE=${KEEP:-$(mktemp -d)}
RUN=$BASE/start
mkdir -p "$RUN"
source scripts/cluster.sh
# A frozen node can't hear that it has to stop.
thaw_all() { kill -CONT "${PID[@]}" 2>/dev/null; }
trap 'thaw_all; stop_all' EXIT

CELL=assistant/0
RATE=50
DEADLINE_MS=20000
EVENT_BOUND_S=90
NODE_EXIT_BOUND_S=90
CONFIG_CHANGES=20
IDLE_S=20
DOMAINS=(hall-a hall-b hall-c)
LOADED=oath-ar@1,oath-fr@1,seats@1,witness@1
COLD=cold-1@1,cold-2@1,cold-3@1,cold-4@1
NODES=()
NODE_NUMBER=0

now_us() { echo $(($(date +%s%N) / 1000)); }
sleep_ms() { sleep "$(awk -v n="$1" 'BEGIN { print n / 1000 }')"; }
control() { curl -s --max-time 5 "http://127.0.0.1:${PORT[platform]}/control?$1" >/dev/null; }

# --- the system

write_nodes() {
  local node
  for node in "$@"; do echo "127.0.0.1:${PORT[$node]}"; done >"$RUN/nodes.new"
  mv "$RUN/nodes.new" "$RUN/nodes"
}

add_node() {
  local name=entry-$((++NODE_NUMBER))
  start_node "$name" "${DOMAINS[$((NODE_NUMBER % 3))]}"
  NODES+=("$name")
}

forget_node() {
  local node left=()
  for node in "${NODES[@]}"; do [ "$node" = "$1" ] || left+=("$node"); done
  NODES=("${left[@]}")
  unset "PID[$1]"
}

# others NODE : sets OTHERS to all nodes but this one.
others() {
  local node
  OTHERS=()
  for node in "${NODES[@]}"; do [ "$node" = "$1" ] || OTHERS+=("$node"); done
}

# declare_current VERSION FILE
declare_current() {
  local name
  {
    echo "services:"
    echo "  - {name: assistant, kind: engine, base_model: base-7b}"
    echo "replicas:"
    for name in assistant-1 assistant-2; do
      echo "  - {name: $name, service: assistant, slots: 8," \
        "address: \"127.0.0.1:${PORT[$name]}\"," \
        "failure_domain: hall-a, checks_fencing: true}"
    done
    echo "classes:"
    echo "  - {name: default, priority: 1, deadline_ms: 20000}"
    echo "adapters:"
    for name in oath-ar oath-fr seats witness cold-1 cold-2 cold-3 cold-4; do
      echo "  - {name: $name, service: assistant, versions: [1, 2]," \
        "current: $1}"
    done
  } >"$2"
}

serves() {
  curl -sf --max-time 5 "http://$1/v1/completions" \
    -d "{\"model\":\"$2\",\"prompt\":\"x\",\"max_tokens\":1}"
}

# begin_system PART NODES : a fresh system with the adapters loaded.
begin_system() {
  RUN=$BASE/$PROFILE-$1
  mkdir -p "$RUN"
  NODES=() NODE_NUMBER=0
  start platform StandInPlatform --loads_per_second 20
  start_engine assistant-1
  start_engine assistant-2
  for _ in $(seq "$2"); do add_node; done
  write_nodes "${NODES[@]}"
  declare_current 1 "$RUN/one.yaml"
  declare_current 2 "$RUN/two.yaml"
  "$BIN/hemlockctl" --node "127.0.0.1:${PORT[entry-1]}" apply \
    "$RUN/one.yaml" --wait_s 30 >"$RUN/apply.log" 2>&1
  load_adapters
}

load_adapters() {
  local model
  for model in ${LOADED//,/ }; do
    wait_for 60 serves "127.0.0.1:${PORT[${NODES[0]}]}" "$model" || exit 1
  done
  wait_for 60 owned || exit 1
  wait_for 90 recovered_by "$OWNER" || exit 1
}

end_system() {
  stop_all
  PID=() PORT=() PEER=()
}

# owned : sets OWNER to the node that owns the cell.
owned() {
  OWNER=$("$BIN/hemlockctl" --node "127.0.0.1:${PORT[${NODES[0]}]}" \
    --output json show cells | tr '{' '\n' |
    sed -n "s#.*\"cell\":\"$CELL\".*\"owner\":\"\(entry-[0-9]*\)\".*#\1#p")
  [ -n "$OWNER" ]
}

recovered_by() { grep -q "recovered cell=$CELL " "$RUN/$1.log"; }

# logged TEXT AFTER_US FILE... : wall time of the first such line, in us.
logged() {
  local text=$1 after=$2 line at
  shift 2
  grep -hF -- "$text" "$@" 2>/dev/null | cut -d' ' -f1 | sort |
    while read -r line; do
      at=$(($(date -d "$line" +%s%N) / 1000))
      [ "$at" -ge "$((after - 1000))" ] && { echo "$at"; break; }
    done
}

# --- load

# start_load NAME ARGS... : requests to the nodes of the file, until stopped.
start_load() {
  local name=$1
  shift
  "$BIN/failover_bench" --nodes_file "$RUN/nodes" --log "$RUN/$name.requests" \
    --deadline_ms "$DEADLINE_MS" "$@" >"$RUN/$name.count" 2>&1 &
  PID[$name]=$!
}

stop_load() {
  kill -TERM "${PID[$1]}"
  wait "${PID[$1]}"
  unset "PID[$1]"
}

# wait_exit NODE : sets EXIT to what it ends with, 124 if it has to be killed.
wait_exit() {
  for _ in $(seq $((NODE_EXIT_BOUND_S * 10))); do
    kill -0 "${PID[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "${PID[$1]}" 2>/dev/null; then
    kill -KILL "${PID[$1]}"
    EXIT=124
  else
    wait "${PID[$1]}"
    EXIT=$?
  fi
}

# after_event FILE EVENT_US : seconds from the event to the answer that ends
# the longest time without any, that time, and the slowest request; then the
# requests, and those that were not complete by kind.
after_event() {
  sort -n -k2,2 "$1" | awk -v e="$2" '
    $2 < e && $3 == "complete" { last = e }
    $2 >= e && $3 == "complete" {
      if (last && $2 - last > gap) { gap = $2 - last; back = $2 - e }
      last = $2
    }
    $1 >= e { n++ }
    $2 >= e && $2 - $1 > slow { slow = $2 - $1 }
    $2 >= e && $3 != "complete" { bad[$3]++ }
    END {
      printf "%.2f %.2f %.2f %d %d %d %d\n", back / 1e6, gap / 1e6,
        slow / 1e6, n, bad["not-run"], bad["unknown"], bad["cut"] + bad["none"]
    }'
}

# seconds_since EVENT_US AT_US
seconds_since() {
  [ -n "$2" ] && awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", (b - a) / 1e6 }' ||
    echo never
}

# spread FILE COLUMN : min / mean / max of the numbers there.
spread() {
  awk -v c="$2" '
    $c == "never" { never++; next }
    { n++; sum += $c; if (n == 1 || $c < min) min = $c; if ($c > max) max = $c }
    END {
      if (n) printf "%.2f / %.2f / %.2f", min, sum / n, max
      if (never) printf " (never: %d)", never
    }' "$1"
}
total() { awk -v c="$2" '{ n += $c } END { print n + 0 }' "$1"; }

# reasons FILE... : what ended otherwise than complete, with its reason.
reasons() {
  awk '$3 != "complete" { n[$3 " " $5]++ }
    END { for (it in n) printf "%s: %d; ", it, n[it] }' "$@"
}

# --- parts

# event_rounds kill|freeze|stop : rounds on one system of four nodes.
event_rounds() {
  local kind=$1 round event node own recovered logs
  begin_system "$kind" 4
  : >"$RUN/rounds"
  for round in $(seq "$ROUNDS"); do
    owned || { echo "no owner" >&2; break; }
    node=$OWNER
    others "$node"
    write_nodes "${OTHERS[@]}"
    logs=("${OTHERS[@]/#/$RUN/}")
    logs=("${logs[@]/%/.log}")
    start_load "load-$round" --rate "$RATE" --models "$LOADED"
    sleep 2
    event=$(now_us)
    case $kind in
    kill) kill -KILL "${PID[$node]}"; wait "${PID[$node]}" 2>/dev/null ;;
    freeze) kill -STOP "${PID[$node]}" ;;
    stop) kill -TERM "${PID[$node]}" ;;
    esac
    for _ in $(seq $((EVENT_BOUND_S * 5))); do
      recovered=$(logged "recovered cell=$CELL " "$event" "${logs[@]}")
      [ -n "$recovered" ] && break
      sleep 0.2
    done
    own=$(logged "own cell=$CELL " "$event" "${logs[@]}")
    EXIT=0
    case $kind in
    freeze)
      kill -CONT "${PID[$node]}"
      sleep 5
      ;;
    stop) wait_exit "$node" ;;
    esac
    sleep 1
    stop_load "load-$round"
    echo "$(after_event "$RUN/load-$round.requests" "$event")" \
      "$(seconds_since "$event" "$own")" \
      "$(seconds_since "$event" "$recovered")" $((EXIT != 0)) >>"$RUN/rounds"
    echo "$kind $round ($node): $(tail -1 "$RUN/rounds")" \
      "$(reasons "$RUN/load-$round.requests")" >&2
    if [ "$kind" != freeze ]; then
      forget_node "$node"
      add_node
    fi
    load_adapters
    sleep_ms $((2 * RENEW_MS))
  done
  end_system
  echo "| $kind | $PROFILE |" \
    "$(spread "$RUN/rounds" 8) | $(spread "$RUN/rounds" 2) |" \
    "$(spread "$RUN/rounds" 9) | $(spread "$RUN/rounds" 3) |" \
    "$(total "$RUN/rounds" 4) | $(total "$RUN/rounds" 5) |" \
    "$(total "$RUN/rounds" 6) | $(total "$RUN/rounds" 7) |" \
    "$(total "$RUN/rounds" 10) |" >"$BASE/row-$PROFILE-$kind"
}

part_kill() { event_rounds kill; }
part_freeze() { event_rounds freeze; }
part_stop() { event_rounds stop; }

part_rolling() {
  local round node all began failed=0
  begin_system rolling 4
  : >"$RUN/rounds"
  for round in $(seq "$ROUNDS"); do
    start_load "load-$round" --rate "$RATE" --models "$LOADED" \
      --directory_callers 8
    sleep 2
    began=$(now_us)
    all=("${NODES[@]}")
    for node in "${all[@]}"; do
      kill -TERM "${PID[$node]}"
      add_node
      others "$node"
      write_nodes "${OTHERS[@]}"
      wait_exit "$node"
      [ "$EXIT" = 0 ] || failed=$((failed + 1))
      forget_node "$node"
    done
    echo "$(seconds_since "$began" "$(now_us)")" >"$RUN/took"
    sleep 2
    stop_load "load-$round"
    echo "$(after_event "$RUN/load-$round.requests" "$began")" \
      "$(cat "$RUN/took")" "$failed" >>"$RUN/rounds"
    echo "rolling $round: $(tail -1 "$RUN/rounds")" \
      "$(reasons "$RUN/load-$round.requests")" >&2
    failed=0
  done
  end_system
  echo "| $PROFILE | 4 | $(spread "$RUN/rounds" 8) | $(total "$RUN/rounds" 4) |" \
    "$(total "$RUN/rounds" 5) | $(total "$RUN/rounds" 6) |" \
    "$(total "$RUN/rounds" 7) | $(spread "$RUN/rounds" 2) |" \
    "$(spread "$RUN/rounds" 3) | $(total "$RUN/rounds" 9) |" \
    >"$BASE/row-$PROFILE-rolling"
}

# apply_timed FILE : sets CALLED, ACCEPTED (us) and REVISION.
apply_timed() {
  CALLED=$(now_us)
  REVISION=$("$BIN/hemlockctl" --node "127.0.0.1:${PORT[entry-1]}" apply "$1" |
    sed -n 's/^committed as revision //p')
  ACCEPTED=$(now_us)
}

# force_times : a line for each node, seconds from accepted to in force.
force_times() {
  local node at
  for node in "${NODES[@]}"; do
    for _ in $(seq 150); do
      at=$(logged "config revision=$REVISION in-force" "$CALLED" "$RUN/$node.log")
      [ -n "$at" ] && break
      sleep 0.1
    done
    # The node that commits has it before its answer is here.
    [ -n "$at" ] && [ "$at" -lt "$ACCEPTED" ] && at=$ACCEPTED
    seconds_since "$ACCEPTED" "$at"
    echo
  done
}

# p50_max FILE
p50_max() {
  sort -n "$1" | awk '$1 == "never" { never++; next } { a[++n] = $1 }
    END {
      if (n) printf "%.2f / %.2f", a[int((n + 1) / 2)], a[n]
      if (never) printf " (never within 15 s: %d)", never
    }'
}

part_config() {
  local change file=two.yaml late began
  begin_system config 7
  sleep 3
  : >"$RUN/up" ; : >"$RUN/down"
  for change in $(seq "$CONFIG_CHANGES"); do
    apply_timed "$RUN/$file"
    force_times | grep . >>"$RUN/up"
    [ $file = two.yaml ] && file=one.yaml || file=two.yaml
  done
  for change in $(seq "$ROUNDS"); do
    apply_timed "$RUN/$file"
    control "op=all&mode=down"
    force_times | grep . >>"$RUN/down"
    control "op=all&mode=up"
    sleep 3
    [ $file = two.yaml ] && file=one.yaml || file=two.yaml
  done
  control "op=all&mode=down"
  began=$(now_us)
  SEEDS="\"127.0.0.1:${PEER[entry-1]}\", \"127.0.0.1:${PEER[entry-2]}\""
  add_node
  SEEDS=""
  sleep 10
  late=$(logged "config revision=$REVISION in-force" "$began" \
    "$RUN/${NODES[-1]}.log")
  echo "started while the store was down: $(seconds_since "$began" "$late")" \
    >"$RUN/late"
  control "op=all&mode=up"
  sleep 5
  late=$(logged "config revision=$REVISION in-force" "$began" \
    "$RUN/${NODES[-1]}.log")
  echo "store up again after 10 s: $(seconds_since "$began" "$late")" \
    >>"$RUN/late"
  end_system
  echo "| $PROFILE | 7 | $CONFIG_CHANGES | $(p50_max "$RUN/up") |" \
    "$(p50_max "$RUN/down") | $(paste -sd';' "$RUN/late") |" \
    >"$BASE/row-$PROFILE-config"
}

# table_counts : reads and writes since the start, over all nodes.
table_counts() {
  local node
  for node in "${NODES[@]}"; do
    curl -s --max-time 5 "http://127.0.0.1:${PORT[$node]}/metrics"
  done | awk '/^hemlockglade_store_latency_seconds_count/ {
      if ($0 ~ /commit/) writes += $NF; else reads += $NF
    }
    END { print reads + 0, writes + 0 }'
}

# socket_bytes PORT... : bytes of both directions on the connections that the
# listeners of these ports have accepted.
socket_bytes() {
  local port
  for port in "$@"; do
    ss -tniHO state established "sport = :$port"
  done | awk '{
      for (it = 1; it <= NF; it++) {
        if ($it ~ /^bytes_(acked|received):/) { sub(/.*:/, "", $it); n += $it }
      }
    }
    END { print n + 0 }'
}

part_idle() {
  local n node ports reads writes peer platform reads2 writes2 peer2 platform2
  : >"$BASE/row-$PROFILE-idle"
  for n in 3 7; do
    begin_system "idle-$n" "$n"
    sleep 15
    ports=()
    for node in "${NODES[@]}"; do ports+=("${PEER[$node]}"); done
    read -r reads writes < <(table_counts)
    peer=$(socket_bytes "${ports[@]}")
    platform=$(socket_bytes "${PORT[platform]}")
    sleep "$IDLE_S"
    read -r reads2 writes2 < <(table_counts)
    peer2=$(socket_bytes "${ports[@]}")
    platform2=$(socket_bytes "${PORT[platform]}")
    awk -v p="$PROFILE" -v n="$n" -v t="$IDLE_S" -v r=$((reads2 - reads)) \
      -v w=$((writes2 - writes)) -v b=$((peer2 - peer)) \
      -v s=$((platform2 - platform)) 'BEGIN {
        printf "| %s | %d | %.2f | %.2f | %.0f | %.0f |\n",
          p, n, r / t / n, w / t / n, b / t / n, s / t / n
      }' >>"$BASE/row-$PROFILE-idle"
    end_system
  done
}

# phase FILE FROM_US TO_US : requests sent then, and how they ended.
phase() {
  awk -v a="$2" -v b="$3" '$1 >= a && $1 < b {
      n++
      if ($3 == "complete") ok++
      else bad[$3 " " $5]++
      if ($2 - $1 > slow) slow = $2 - $1
    }
    END {
      printf "%d | %d | %.2f | ", n, ok, slow / 1e6
      for (it in bad) printf "%s: %d; ", it, bad[it]
    }' "$1"
}

part_outage() {
  local down up end load lost
  begin_system outage 4
  start_load loaded --rate 20 --models "$LOADED" --requests 1000000
  start_load keyed --rate 1 --models "$LOADED" --keyed_every 1
  sleep 5
  down=$(now_us)
  control "table=down"
  control "op=objects&mode=down"
  control "op=hosts&mode=down"
  # Nothing of these is loaded yet; the weight store answers.
  start_load cold --rate 1 --models "$COLD" --deadline_ms 5000
  sleep "$OUTAGE_S"
  up=$(now_us)
  control "op=all&mode=up"
  sleep 25
  end=$(now_us)
  for load in loaded keyed cold; do stop_load $load; done
  : >"$BASE/row-$PROFILE-outage"
  for load in loaded keyed cold; do
    echo "| $load | during $OUTAGE_S s |" \
      "$(phase "$RUN/$load.requests" "$down" "$up") |" \
      >>"$BASE/row-$PROFILE-outage"
    echo "| $load | 25 s after |" \
      "$(phase "$RUN/$load.requests" "$up" "$end") |" \
      >>"$BASE/row-$PROFILE-outage"
  done
  lost=$(cat "$RUN"/entry-*.log | grep -c "lose cell=")
  echo "cells lost by a node from start to end: $lost" >"$RUN/lost"
  end_system
}

# --- tables

for part in ${ONLY//,/ }; do
  "part_$part"
done
trap - EXIT
stop_all

rows() { cat "$BASE"/row-"$PROFILE"-"$1" 2>/dev/null; }
echo "Settings: $PROFILE; rounds: $ROUNDS; $RATE requests a second; min / mean / max in seconds"
echo
if [[ $ONLY == *kill* || $ONLY == *freeze* || $ONLY == *stop* ]]; then
  echo "| owner | settings | new owner | longest gap | recovered | slowest request | requests | not-run | unknown | cut or none | exits not 0 |"
  echo "|---|---|---|---|---|---|---|---|---|---|---|"
  rows kill; rows freeze; rows stop
  echo
fi
if [[ $ONLY == *rolling* ]]; then
  echo "| settings | nodes | all replaced in | requests | not-run | unknown | cut or none | longest gap | slowest request | exits not 0 |"
  echo "|---|---|---|---|---|---|---|---|---|---|"
  rows rolling
  echo
fi
if [[ $ONLY == *config* ]]; then
  echo "| settings | nodes | changes | in force, p50 / max | store down after the commit, p50 / max | new node |"
  echo "|---|---|---|---|---|---|"
  rows config
  echo
fi
if [[ $ONLY == *idle* ]]; then
  echo "| settings | nodes | table reads/s a node | writes/s | peer bytes/s a node | platform bytes/s a node |"
  echo "|---|---|---|---|---|---|"
  rows idle
  echo
fi
if [[ $ONLY == *outage* ]]; then
  echo "| load | when | requests | complete | slowest, s | otherwise |"
  echo "|---|---|---|---|---|---|"
  rows outage
  cat "$BASE/$PROFILE-outage/lost"
fi
[ -n "$KEEP" ] || rm -rf "$BASE"
