#!/usr/bin/env bash
# Runs the property tests for MINUTES, with a new seed in each round: scripts/soak.sh SEED MINUTES
# The seed of a round is SEED plus the number of earlier rounds. The first failure stops the run and prints the command that
# repeats it.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$1
end=$((SECONDS + 60 * $2))
CHECKS=${CHECKS:-400}
mapfile -t packages < <(grep -rlE 'rapid\.Check' --include='*_test.go' core node | xargs -n1 dirname | sort -u)
rounds=0
while ((SECONDS < end)); do
  for package in "${packages[@]}"; do
    module=${package%%/*}
    command="cd $module && go test -count=1 ./${package#*/} -args -rapid.seed=$seed -rapid.checks=$CHECKS"
    if ! bash -c "$command" >/tmp/flamingohall-soak.log 2>&1; then
      cat /tmp/flamingohall-soak.log
      echo "soak: failed; repeat with: $command"
      exit 1
    fi
  done
  rounds=$((rounds + 1))
  seed=$((seed + 1))
done
echo "soak: $rounds rounds over ${#packages[@]} packages, $CHECKS histories for each property, no failure"
