#!/usr/bin/env bash
# Plays days of a deployment with each mechanism switched off alone (deploy/ablation), and with all of them, on the users' bench.
#   scripts/ablation.sh FLEETBENCH SITE "DAYS" "SEEDS" [VARIANT...]
# DAYS are names of days or files of days; a seed of 0 is that of the day. JOBS is the number of days played at a time, OPTIONS are further
# options of "fleetbench run" (by default --no-cpu). Prints a line for each run: variant, day, seed, worth. The journal entries are copied here.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 4 ] || { sed -n '2,5p' "$0"; exit 2; }
root=$PWD bench=$1 site=$2 days=$3 seeds=$4
shift 4
variants=("$@")
[ ${#variants[@]} -gt 0 ] || mapfile -t variants < <(echo default; basename -s .jsonc deploy/ablation/*.jsonc)
scratch=$(mktemp -d "${TMPDIR:-/tmp}/flamingohall-ablation.XXXXXX")
trap 'rm -rf "$scratch"' EXIT

play() { # play FOLDER VARIANT DAY SEED
  local seed=() day=$3
  [ "$4" = 0 ] || seed=(--seed "$4")
  [ ! -f "$root/$day" ] || day=$root/$day
  local worth
  # shellcheck disable=SC2086
  worth=$(cd "$1" && "$bench" run "$site" "$day" "${seed[@]}" ${OPTIONS---no-cpu} --why "ablation: $2" 2>&1 | tee "$1/last-$(basename "$3")-$4.txt" | sed -n 's/^worth \([0-9.-]*\) .*/\1/p')
  echo "$2 $(basename "$3" .toml) $4 ${worth:-failed}"
}
export -f play
export root bench site OPTIONS

for variant in "${variants[@]}"; do
  folder=$scratch/$variant
  git clone -q "$root" "$folder"
  if [ "$variant" != default ]; then
    # The processes see none of the files here, so that the policy is an argument, without comments and spaces.
    policy=$(grep -v '^//' "deploy/ablation/$variant.jsonc" | tr -d ' \n')
    sed -i "s|^run = \"target/flamingohalld platform\"|run = 'target/flamingohalld platform --policy $policy'|" "$folder/deploy/system.toml"
  fi
  (cd "$folder" && "$bench" build >/dev/null)
  for day in $days; do for seed in $seeds; do echo "$folder $variant $day $seed"; done; done |
    xargs -P "${JOBS:-2}" -L 1 bash -c 'play "$@"' play
  (cd "$folder" && git ls-files -o -m --exclude-standard journal; cd "$folder" && git diff --cached --name-only journal) | sort -u | while read -r entry; do
    cp -n "$folder/$entry" "$root/$entry"
  done
  rm -rf "$folder"
done
