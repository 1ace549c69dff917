#!/usr/bin/env bash
# Runs a scenario once with each variant of the entries' settings, one after the other, and prints a line for each class.
#   scripts/rounds.sh DEPLOYMENT CATALOGUE SCENARIO OUT [flags of "flamingohall bench run"]
# The environment variable VARIANTS may list the variants to run, such as "default random".
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 4 ] || { sed -n '2,4p' "$0"; exit 2; }
deployment=$1 catalogue=$2 scenario=$3 out=$4
shift 4

run_variant() { # run_variant NAME ENTRY_SETTINGS FLAGS...
  local name=$1
  case " ${VARIANTS:-$name} " in *" $name "*) ;; *) return 0 ;; esac
  echo "== $name"
  ENTRY_SETTINGS=$2 scripts/bench.sh "$deployment" "$catalogue" "$scenario" "$out/$name" "${@:3}" | grep -v '^process'
}

run_variant default '' "$@"
run_variant own '"policy": "own"' "$@"
run_variant random '"policy": "random"' "$@"
run_variant round-robin '"policy": "round_robin"' "$@"
run_variant hedging '"hedging": "on"' "$@"
run_variant no-ejection '"ejection": "off"' "$@"
run_variant by-arrival '"order": "arrival"' "$@"
