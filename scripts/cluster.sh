# Starts and stops a small system on loopback; sourced by the other scripts.
# Needs RUN (a folder for logs) to be set. All processes are ended by pid.
# Makes a build if there is none.

BIN=${BIN:-build}
if [ ! -x "$BIN/hemlockgladed" ]; then
  [ "$BIN" = build ] || { echo "no build in $BIN" >&2; exit 2; }
  echo "no build yet: making one" >&2
  scripts/build.sh >&2 || exit 2
fi
declare -A PID PORT PEER

# start NAME PROGRAM ARGS... : starts a process and waits for its port file.
start() {
  local name=$1 program=$2
  shift 2
  rm -f "$RUN/$name.port"
  "$BIN/$program" --port_file "$RUN/$name.port" "$@" \
    >"$RUN/$name.log" 2>&1 &
  PID[$name]=$!
  for _ in $(seq 200); do
    [ -s "$RUN/$name.port" ] && break
    sleep 0.05
  done
  PORT[$name]=$(sed -n 1p "$RUN/$name.port")
  PEER[$name]=$(sed -n 2p "$RUN/$name.port")
}

# start_node NAME DOMAIN : starts a hemlockgladed.
start_node() {
  cat >"$RUN/$1.yaml" <<EOF
name: $1
failure_domain: $2
region: tunis-north
platform_url: http://127.0.0.1:${PORT[platform]}
lease_ms: ${LEASE_MS:-3000}
renew_ms: ${RENEW_MS:-500}
scan_ms: ${SCAN_MS:-200}
lease_margin_ms: ${MARGIN_MS:-500}
config_poll_ms: ${CONFIG_POLL_MS:-200}
directory_ttl_ms: ${DIRECTORY_TTL_MS:-1000}
seeds: [${SEEDS:-}]
EOF
  start "$1" hemlockgladed --config "$RUN/$1.yaml"
}

# start_engine NAME ARGS... : starts a stand-in engine.
start_engine() {
  local name=$1
  shift
  start "$name" StandInEngine --name "$name" --history "$RUN/history.jsonl" \
    --weights "http://127.0.0.1:${PORT[platform]}" "$@"
}

# stop_all : ends what this script started, nodes first and gracefully.
stop_all() {
  local name
  for name in "${!PID[@]}"; do
    case $name in entry-*) kill -TERM "${PID[$name]}" 2>/dev/null ;; esac
  done
  for name in "${!PID[@]}"; do
    case $name in entry-*) wait "${PID[$name]}" 2>/dev/null ;; esac
  done
  for name in "${!PID[@]}"; do
    kill -TERM "${PID[$name]}" 2>/dev/null
    wait "${PID[$name]}" 2>/dev/null
  done
  return 0
}

# wait_for SECONDS COMMAND... : tries a command until it works.
wait_for() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "never came true: $*" >&2
  return 1
}
