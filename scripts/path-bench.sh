#!/usr/bin/env bash
# Measures what the path through hemlockglade costs and prints it as Markdown:
# a platform, three nodes, four cheap engines and the load program, all on
# loopback. Arguments go to the load program. Makes a
# build if there is none.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=$(mktemp -d)
source scripts/cluster.sh
trap 'stop_all || true; rm -rf "$RUN"' EXIT

start platform StandInPlatform
for node in 1 2 3; do
  start_node "entry-$node" hall-a
done
engines=(engine-1 engine-2 engine-3 engine-4)
replicas=""
adapters=""
models=""
for engine in "${engines[@]}"; do
  start "$engine" path_bench --engine
  replicas+="  - {name: $engine, service: assistant, slots: 8, batch: 4000,"
  replicas+=" address: \"127.0.0.1:${PORT[$engine]}\", failure_domain: hall-a}"
  replicas+=$'\n'
done
for it in $(seq 8); do
  adapters+="  - {name: adapter-$it, service: assistant, versions: [1]}"$'\n'
  models+="adapter-$it@1,"
done
start narrow-1 path_bench --engine
cat >"$RUN/declarations.yaml" <<YAML
services:
  - {name: narrow, kind: engine, base_model: base-7b}
  - {name: assistant, kind: engine, base_model: base-7b}
replicas:
  - {name: narrow-1, service: narrow, slots: 1, batch: 1, address: "127.0.0.1:${PORT[narrow-1]}", failure_domain: hall-a}
$replicas
classes:
  - {name: default, priority: 1, deadline_ms: 60000, queue_limit: 4000}
adapters:
  - {name: narrow, service: narrow, versions: [1]}
$adapters
YAML

any=127.0.0.1:${PORT[entry-1]}
"$BIN/hemlockctl" --node "$any" apply "$RUN/declarations.yaml" >/dev/null
cells() { "$BIN/hemlockctl" --node "$any" --output json show cells; }
owned() { cells | grep -q '"owner":"entry'; }
wait_for 20 owned
sleep 1
owner=$(cells | tr '{' '\n' |
  sed -n 's/.*"cell":"assistant\/0".*"owner":"\([^"]*\)".*/\1/p')
for other in entry-1 entry-2 entry-3; do
  [ "$other" != "$owner" ] && entry=$other
done

"$BIN/path_bench" --owner "127.0.0.1:${PORT[$owner]}" \
  --entry "127.0.0.1:${PORT[$entry]}" \
  --direct "127.0.0.1:${PORT[engine-1]}" \
  --pids "${PID[$owner]},${PID[$entry]}" --models "${models%,}" \
  --waiting_model narrow@1 "$@"
