#!/usr/bin/env bash
# Runs a scenario at several multiples of its rate and prints the resource use of each role, for docs/CAPACITY.md.
#   scripts/slopes.sh SCENARIO OUT LOAD...
# It uses the deployment examples/bench/savinja with the catalogue examples/bench/catalogue.jsonc.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 3 ] || { sed -n '2,4p' "$0"; exit 2; }
scenario=$1 out=$2
shift 2
for load in "$@"; do
  echo "== load $load"
  scripts/bench.sh bench/savinja examples/bench/catalogue.jsonc "$scenario" "$out/load-$load" --load "$load" |
    grep -E '^(all|messages|control|process (control|entry|sidecar-[01]):?)' || true
done
