#!/usr/bin/env bash
# Starts a deployment, runs a bench scenario on it, stops it and writes the result and its HTML page to the folder OUT.
#   scripts/bench.sh DEPLOYMENT CATALOGUE SCENARIO OUT [flags of "flamingohall bench run"]
# The environment variables ENTRY_SETTINGS and BASE_PORT are passed on to scripts/cluster.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 4 ] || { sed -n '2,4p' "$0"; exit 2; }
deployment=$1 catalogue=$2 scenario=$3 out=$4
shift 4
mkdir -p "$out"
data=$(mktemp -d "${TMPDIR:-/tmp}/flamingohall-bench.XXXXXX")
CLI=$PWD/bin/flamingohall

cleanup() {
  status=$?
  scripts/cluster.sh stop "$data" || status=1
  if [ $status -eq 0 ]; then rm -rf "$data"; else echo "logs are kept in $data" >&2; fi
  exit $status
}
trap cleanup EXIT

scripts/cluster.sh start "$deployment" "$data"
# shellcheck disable=SC1091
source "$data/env.sh"
"$CLI" catalogue apply "$catalogue" >/dev/null
"$CLI" catalogue status --wait >/dev/null
ledgers=("$data"/ledger-*.jsonl)
"$CLI" bench run "$scenario" --pids "$data" --ledgers "$(IFS=,; echo "${ledgers[*]}")" --out "$out/result.json" "$@"
"$CLI" bench page "$out/result.json" --html "$out/result.html"
