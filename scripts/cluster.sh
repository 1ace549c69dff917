#!/usr/bin/env bash
# Starts and stops a complete system of separate processes on this machine, on loopback ports starting at BASE_PORT.
#   scripts/cluster.sh start DEPLOYMENT FOLDER     DEPLOYMENT is a folder under examples, FOLDER is for data and logs
#   scripts/cluster.sh stop FOLDER                 planned stop of all processes, entries first
#   scripts/cluster.sh env FOLDER                  prints the addresses as shell code to source
# Environment: WORKERS_PER_PLACE, RUN_MS, BASE_PORT, and ENTRY_SETTINGS for additional fields of the entries' settings
# section, such as '"policy": "random"'.
set -euo pipefail
cd "$(dirname "$0")/.."
DAEMON=${DAEMON:-bin/flamingohalld}
BASE_PORT=${BASE_PORT:-7500}
WORKERS_PER_PLACE=${WORKERS_PER_PLACE:-1}
RUN_MS=${RUN_MS:-50}
START_TRIES=200

join_quoted() { # join_quoted A B ... -> "A", "B"
  local out=""
  for word in "$@"; do out+="${out:+, }\"$word\""; done
  echo "$out"
}

write_node() { # write_node FILE ID DATA_CENTRE PORT SECTIONS
  cat >"$1" <<JSON
{
  "node": {"id": "$2", "data_centre": "$3", "listen": "127.0.0.1:$4", "balancer_grace_ms": 300},
  "control_addresses": [$(join_quoted "${CONTROL[@]}")],
  $5
}
JSON
}

launch() { # launch FOLDER ID: starts the process in the background and writes its process id to FOLDER/ID.pid
  "$DAEMON" run "$1/$2.jsonc" >"$1/$2.out" 2>"$1/$2.log" &
  echo "$!" >"$1/$2.pid"
}

await_ready() { # await_ready ADDRESS NAME
  for ((i = 0; i < START_TRIES; i++)); do
    if curl -fsS -o /dev/null "http://$1/readyz" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "$2 at $1 did not become ready: $(curl -sS "http://$1/readyz" 2>&1)" >&2
  return 1
}

start_control() {
  local i members=""
  for i in "${!CONTROL_IN[@]}"; do
    CONTROL+=("127.0.0.1:$((BASE_PORT + i))")
    members+="${members:+, }{\"id\": \"control-$i\", \"address\": \"127.0.0.1:$((BASE_PORT + i))\", \"data_centre\": \"${CONTROL_IN[$i]}\"}"
  done
  for i in "${!CONTROL_IN[@]}"; do
    write_node "$FOLDER/control-$i.jsonc" "control-$i" "${CONTROL_IN[$i]}" $((BASE_PORT + i)) \
      "\"control\": {\"data_folder\": \"$FOLDER/control-$i.data\", \"initial_members\": [$members]}"
    launch "$FOLDER" "control-$i"
  done
  for i in "${!CONTROL_IN[@]}"; do await_ready "${CONTROL[$i]}" "control-$i"; done
}

start_workers() {
  local n=0 place copy port
  for place in "${WORKER_IN[@]}"; do
    for ((copy = 0; copy < WORKERS_PER_PLACE; copy++)); do
      port=$((BASE_PORT + 100 + 3 * n))
      cat >"$FOLDER/target-$n.jsonc" <<JSON
{
  "node": {"id": "target-$n", "data_centre": "$place", "listen": "127.0.0.1:$port"},
  "stand_in": {"listen": "127.0.0.1:$((port + 1))", "slots": $WORKER_SLOTS, "run_ms": $RUN_MS, "ledger": "$FOLDER/ledger-$n.jsonl"}
}
JSON
      launch "$FOLDER" "target-$n"
      await_ready "127.0.0.1:$port" "target-$n"
      write_node "$FOLDER/sidecar-$n.jsonc" "worker-$n" "$place" $((port + 2)) \
        "\"sidecar\": {\"target_url\": \"http://127.0.0.1:$((port + 1))\", \"pool\": \"$POOL\", \"rack\": \"rack-$((n / 3))\", \"slots\": $WORKER_SLOTS, \"cores\": $WORKER_CORES, \"memory_mb\": $WORKER_MEMORY_MB}"
      launch "$FOLDER" "sidecar-$n"
      SIDECARS+=("127.0.0.1:$((port + 2))")
      TARGETS+=("127.0.0.1:$((port + 1))")
      n=$((n + 1))
    done
  done
  for n in "${!SIDECARS[@]}"; do await_ready "${SIDECARS[$n]}" "sidecar-$n"; done
}

start_entries() {
  local i port
  for i in "${!ENTRY_IN[@]}"; do
    port=$((BASE_PORT + 20 + 2 * i))
    write_node "$FOLDER/entry-$i.jsonc" "entry-$i" "${ENTRY_IN[$i]}" "$port" \
      "\"entry\": {\"callers_listen\": \"127.0.0.1:$((port + 1))\"${ENTRY_SETTINGS:+, $ENTRY_SETTINGS}}"
    launch "$FOLDER" "entry-$i"
    ENTRY_NODES+=("127.0.0.1:$port")
    ENTRIES+=("http://127.0.0.1:$((port + 1))")
  done
  for i in "${!ENTRY_NODES[@]}"; do await_ready "${ENTRY_NODES[$i]}" "entry-$i"; done
}

comma() { local IFS=,; echo "$*"; }

start() {
  # shellcheck disable=SC1090
  source "examples/$1/deployment.sh"
  FOLDER=$(mkdir -p "$2" && cd "$2" && pwd)
  CONTROL=() SIDECARS=() TARGETS=() ENTRIES=() ENTRY_NODES=()
  start_control
  start_workers
  start_entries
  cat >"$FOLDER/env.sh" <<ENV
export FLAMINGOHALL_CONTROL=$(comma "${CONTROL[@]}")
export FLAMINGOHALL_ENTRIES=$(comma "${ENTRIES[@]}")
export FLAMINGOHALL_TARGETS=$(comma "${TARGETS[@]}")
export FLAMINGOHALL_NODES=$(comma "${CONTROL[@]}" "${ENTRY_NODES[@]}" "${SIDECARS[@]}")
ENV
}

stop() { # stop FOLDER: SIGTERM to entries first and control last; every process must log its planned stop and exit by itself
  local folder=$1 failed=0 kind file pid
  for kind in entry sidecar target control; do
    for file in "$folder/$kind"-*.pid; do
      [ -e "$file" ] || continue
      kill -TERM "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$folder/$kind"-*.pid; do
      [ -e "$file" ] || continue
      pid=$(cat "$file")
      for ((i = 0; i < 400; i++)); do kill -0 "$pid" 2>/dev/null || break; sleep 0.05; done
      if kill -0 "$pid" 2>/dev/null; then echo "$file: still runs after SIGTERM" >&2; kill -KILL "$pid"; failed=1; fi
      grep -q '"event":1004' "${file%.pid}.log" || { echo "${file%.pid}.log: no planned stop" >&2; failed=1; }
      rm "$file"
    done
  done
  return $failed
}

case ${1:-} in
start) start "$2" "$3" ;;
stop) stop "$2" ;;
env) cat "$2/env.sh" ;;
*) sed -n '2,7p' "$0"; exit 2 ;;
esac
