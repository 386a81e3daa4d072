#!/usr/bin/env bash
# Builds, starts a small system on loopback, sends real requests, prints what
# was served and by what, and stops everything gracefully. Exits 0 if every
# request was served as it should be.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "installing packages and building what the demo runs" >&2
scripts/build.sh hemlockgladed hemlockctl StandInPlatform StandInEngine \
  StandInService >&2
RUN=$(mktemp -d)
source scripts/cluster.sh
trap 'stop_all; rm -rf "$RUN"' EXIT

start platform StandInPlatform --history "$RUN/history.jsonl"
start_node entry-1 hall-a
start_node entry-2 hall-b
start_node entry-3 hall-c
start_engine assistant-1 --linger_ms 10000
start_engine assistant-2 --linger_ms 10000
start booking-1 StandInService --name booking-1 --history "$RUN/history.jsonl"

cat >"$RUN/declarations.yaml" <<EOF
services:
  - {name: assistant, kind: engine, base_model: base-7b}
  - {name: booking, kind: plain}
replicas:
  - {name: assistant-1, service: assistant, address: "127.0.0.1:${PORT[assistant-1]}", failure_domain: hall-a, checks_fencing: true}
  - {name: assistant-2, service: assistant, address: "127.0.0.1:${PORT[assistant-2]}", failure_domain: hall-b, checks_fencing: true}
  - {name: booking-1, service: booking, address: "127.0.0.1:${PORT[booking-1]}", failure_domain: hall-a}
classes:
  - {name: default, priority: 1, deadline_ms: 10000}
adapters:
  - {name: oath-ar, service: assistant, versions: [1, 2], current: 2}
  - {name: oath-fr, service: assistant, versions: [7], current: 7}
  - {name: seats, service: assistant, versions: [1], current: 1}
EOF

any=127.0.0.1:${PORT[entry-1]}
"$BIN/hemlockctl" --node "$any" apply "$RUN/declarations.yaml" --wait_s 10

directory() { curl -sf "http://$1/directory?$2"; }
# owner_of CELL : name of the node that owns it.
owner_of() {
  "$BIN/hemlockctl" --node "$any" --output json show cells |
    tr '{' '\n' | sed -n "s#.*\"cell\":\"$1\".*\"owner\":\"\(entry-[0-9]*\)\".*#\1#p"
}
owned() { [ -n "$(owner_of assistant/0)" ] && [ -n "$(owner_of booking/0)" ]; }
wait_for 20 owned

# address QUERY : asks the directory which node to use.
address() {
  local node
  for node in "${NODES[@]}"; do
    directory "127.0.0.1:${PORT[$node]}" "$1" 2>/dev/null |
      sed 's/.*"addresses":\["\([^"]*\)".*/\1/' && return 0
  done
  return 1
}

# complete MODEL : one streamed completion, checked.
complete() {
  local to answer
  to=$(address "model=$1")
  answer=$(curl -sN --max-time 30 "http://$to/v1/completions" -d \
    "{\"model\":\"$1\",\"prompt\":\"which papers do I need\",\"stream\":true,\"max_tokens\":8}")
  local tokens adapter replica
  tokens=$(grep -c '"text"' <<<"$answer")
  adapter=$(sed -n 's/.*"model":"\([^"]*\)".*/\1/p' <<<"$answer" | head -1)
  replica=$(sed -n 's/.*"replica":"\([^"]*\)".*/\1/p' <<<"$answer" | head -1)
  echo "asked $1 at $to: $tokens tokens by $adapter on $replica"
  [ "$tokens" = 8 ] && grep -q '"outcome":"complete"' <<<"$answer" &&
    grep -q "^${1%@*}@" <<<"$adapter"
}

NODES=(entry-1 entry-2 entry-3)
for model in oath-ar@2 oath-fr@7 oath-ar@1 seats oath-fr; do
  complete "$model"
done
curl -sf "http://$(address service=booking)/services/booking/seats/12" -d hold

# Going on with a stream at another node after its entry was killed.
entry=$(for node in "${NODES[@]}"; do
  [ "$node" != "$(owner_of assistant/0)" ] && echo "$node"
done | tail -1)
long='{"model":"oath-fr@7","prompt":"the whole list","stream":true,"max_tokens":400}'
curl -sN -D "$RUN/head" "http://127.0.0.1:${PORT[$entry]}/v1/completions" \
  -d "$long" >"$RUN/first" &
reader=$!
has_tokens() { [ "$(grep -c '^id: ' "$RUN/first")" -ge 20 ]; }
wait_for 10 has_tokens
echo "killing $entry in the middle of a stream"
kill -KILL "${PID[$entry]}"
wait "$reader" || true
unset "PID[$entry]"
NODES=($(printf '%s\n' "${NODES[@]}" | grep -v "$entry"))
any=127.0.0.1:${PORT[${NODES[0]}]}
field() { sed -n "s/^$1: \([^[:space:]]*\).*/\1/p" "$RUN/head"; }
seen=$(sed -n 's/^id: //p' "$RUN/first" | tail -1)
curl -sN --max-time 20 "http://$any/v1/completions" -d "$long" \
  -H "X-Request-Id: $(field X-Request-Id)" \
  -H "X-Replica: $(field X-Replica)" -H "Last-Event-ID: $seen" >"$RUN/second"
from=$(sed -n 's/^id: //p' "$RUN/second" | head -1)
to=$(sed -n 's/^id: //p' "$RUN/second" | tail -1)
echo "went on at ${NODES[0]}: tokens $from to $to after $seen"
if [ "$from" != $((seen + 1)) ] || [ "$to" != 400 ] ||
  ! grep -q '"outcome":"complete"' "$RUN/second"; then
  echo "the stream did not go on as it should"
  exit 1
fi
start_node entry-4 hall-c
NODES+=(entry-4)

echo "killing the owner of the engines' cell"
owner=$(owner_of assistant/0)
kill -KILL "${PID[$owner]}"
unset "PID[$owner]"
NODES=($(printf '%s\n' "${NODES[@]}" | grep -v "$owner"))
any=127.0.0.1:${PORT[${NODES[0]}]}
wait_for 30 complete oath-fr@7
complete oath-fr@7
for node in "${NODES[@]}"; do
  kill -TERM "${PID[$node]}"
  wait "${PID[$node]}" || { echo "$node did not stop cleanly"; exit 1; }
  unset "PID[$node]"
done
echo "demo: all served"
