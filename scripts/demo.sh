#!/usr/bin/env bash
# Runs both example systems, one after the other, as separate processes: applies the catalogue, submits the sample jobs,
# prints answers, slowdown, wasted messages and the burn report, and stops all processes gracefully.
# Exits with 0 only if every answer was complete and every process completed its planned stop.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build
DATA=$(mktemp -d "${TMPDIR:-/tmp}/flamingohall-demo.XXXXXX")
CLI=$PWD/bin/flamingohall
current=""

cleanup() {
  status=$?
  if [ -n "$current" ]; then scripts/cluster.sh stop "$current" || status=1; fi
  if [ $status -eq 0 ]; then rm -rf "$DATA"; else echo "logs are kept in $DATA" >&2; fi
  exit $status
}
trap cleanup EXIT

run_deployment() { # run_deployment NAME
  echo "== $1: starting the processes"
  current=$DATA/$1
  scripts/cluster.sh start "$1" "$current"
  # shellcheck disable=SC1091
  source "$current/env.sh"
  "$CLI" catalogue apply "examples/$1/catalogue.jsonc"
  "$CLI" catalogue status --wait
  "$CLI" targets
  for job in "examples/$1/jobs/"*.json; do
    echo "-- submitting $job"
    "$CLI" submit "$job"
  done
  echo "-- submitting $job again: the same answer, nothing starts"
  "$CLI" submit "$job"
  "$CLI" report waste
  "$CLI" report burn --html "$current/burn.html"
  echo "== $1: stopping"
  local stopped=$current
  current=""
  scripts/cluster.sh stop "$stopped"
}

run_deployment savinja
run_deployment sialkot
echo "demo: every answer was whole and every process stopped as planned"
