#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from and prints them
# as one Markdown table: those of the libraries (capacity_bench), then those of
# real processes on loopback, and last the table of path-bench.sh. Takes about
# eight minutes; at most 24 nodes or 48 engines at a time. Makes a
# build if there is none.
#   scripts/capacity.sh [libraries|idle|configuration|reports|path]...
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=$(mktemp -d)
source scripts/cluster.sh
trap 'stop_all || true; rm -rf "$RUN"' EXIT

SETTLE_S=5
SAMPLE_S=10
TICKS=$(getconf CLK_TCK)

row() { "$BIN/capacity_bench" --fit "$1"; }
# join LIST... : the points as one word.
join() { local IFS=,; echo "$*"; }
calc() { awk "BEGIN { printf \"%.6g\", $1 }"; }

# start_default_node NAME : a node with the settings that are the defaults.
start_default_node() {
  cat >"$RUN/$1.yaml" <<YAML
name: $1
failure_domain: hall-a
region: tunis-north
platform_url: http://127.0.0.1:${PORT[platform]}
YAML
  start "$1" hemlockgladed --config "$RUN/$1.yaml"
}

# ticks PID... : processor time of the processes together, in clock ticks.
ticks() {
  local pid sum=0 stat
  for pid; do
    stat=$(sed 's/.*) //' "/proc/$pid/stat")
    set -- $stat
    sum=$((sum + ${12} + ${13}))
  done
  echo "$sum"
}
# memory PID KEY : bytes, as /proc says them.
memory() { awk -v key="$2:" '$1 == key { print $2 * 1024 }' "/proc/$1/status"; }

# operations NODE... : table operations of the nodes since they started.
operations() {
  local node
  for node; do
    curl -s --max-time 5 "http://127.0.0.1:${PORT[$node]}/metrics"
  done | awk '/^hemlockglade_store_latency_seconds_count/ { n += $NF }
              END { print n + 0 }'
}

restart_platform() {
  stop_all || true
  PID=()
  start platform StandInPlatform
}

# declare_system CELLS REPLICAS ADAPTERS [ADDRESS...] : writes declarations.
declare_system() {
  local cells=$1 replicas=$2 adapters=$3 it address
  shift 3
  echo "services:"
  echo "  - {name: assistant, kind: engine, base_model: b, cells: $cells}"
  echo "replicas:"
  for ((it = 1; it <= replicas; ++it)); do
    address=${!it}
    echo "  - {name: engine-$it, service: assistant," \
      "address: \"$address\", failure_domain: hall-a, batch: 4000}"
  done
  echo "classes:"
  echo "  - {name: default, priority: 1, deadline_ms: 10000}"
  echo "adapters:"
  seq -f '  - {name: adapter-%.0f, service: assistant, versions: [1]}' \
    "$adapters"
}

apply_to() {
  "$BIN/hemlockctl" --node "127.0.0.1:${PORT[$1]}" apply "$2" >/dev/null
}

# measure_idle : idle nodes, a cell for each.
measure_idle() {
  local n it before after tick_before tick_after micros=() operations=()
  for n in 6 12 24; do
    restart_platform
    local nodes=() pids=()
    for it in $(seq "$n"); do
      start_default_node "entry-$it"
      nodes+=("entry-$it")
      pids+=("${PID[entry-$it]}")
    done
    declare_system "$n" 1 1 127.0.0.1:9 >"$RUN/d.yaml"
    apply_to entry-1 "$RUN/d.yaml"
    sleep "$SETTLE_S"
    before=$(operations "${nodes[@]}")
    tick_before=$(ticks "${pids[@]}")
    sleep "$SAMPLE_S"
    after=$(operations "${nodes[@]}")
    tick_after=$(ticks "${pids[@]}")
    operations+=("$n:$(calc "($after - $before) / $SAMPLE_S / $n")")
    micros+=("$n:$(calc \
      "($tick_after - $tick_before) * 1e6 / $TICKS / $SAMPLE_S / $n")")
  done
  row "idle node, table operations of leases|operations/s a node|nodes|580|$(
    join "${operations[@]}")"
  row "idle node, processor|us/s a node|nodes|580|$(join "${micros[@]}")"
}

# measure_configuration : memory of a node by adapters. Each size has a system
# of its own; the node that reads the declarations is not the measured one.
measure_configuration() {
  local n bytes=()
  for n in 1000 10000 49000; do
    restart_platform
    start_default_node entry-1
    start_default_node entry-2
    declare_system 2 1 "$n" 127.0.0.1:9 >"$RUN/d.yaml"
    apply_to entry-1 "$RUN/d.yaml"
    sleep 4
    bytes+=("$n:$(memory "${PID[entry-2]}" VmRSS)")
  done
  row "node, resident memory|bytes|adapters|49000|$(join "${bytes[@]}")"
}

# measure_reports : one node that owns the cell of all engines, nothing runs.
measure_reports() {
  local n it before after micros=()
  for n in 8 24 48; do
    restart_platform
    local addresses=()
    for it in $(seq "$n"); do
      start "engine-$it" path_bench --engine
      addresses+=("127.0.0.1:${PORT[engine-$it]}")
    done
    start_default_node entry-1
    declare_system 1 "$n" 8 "${addresses[@]}" >"$RUN/d.yaml"
    apply_to entry-1 "$RUN/d.yaml"
    sleep "$SETTLE_S"
    before=$(ticks "${PID[entry-1]}")
    sleep "$SAMPLE_S"
    after=$(ticks "${PID[entry-1]}")
    micros+=("$n:$(calc "($after - $before) * 1e6 / $TICKS / $SAMPLE_S")")
  done
  row "owner, idle replicas asked twice a second|us/s|replicas|21|$(
    join "${micros[@]}")"
}

# measure_path : what requests and their events cost at three rates.
measure_path() {
  stop_all || true
  PID=()
  scripts/path-bench.sh --latency_rates "" --rates 20,50,80 \
    --window_ms 3000
}

[ $# -gt 0 ] || set -- libraries idle configuration reports path
echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
echo
for part; do
  case $part in
  libraries) "$BIN/capacity_bench" ;;
  *) "measure_$part" ;;
  esac
done
echo
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
