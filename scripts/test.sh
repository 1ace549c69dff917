#!/usr/bin/env bash
# Runs the tests of all modules but those that KNOWN-RED.txt lists, and prints that list.
#   scripts/test.sh MODULES [go test flags]
# An entry of KNOWN-RED.txt is a line "TestName | command and seed | what was seen | issue"; lines with # are comments.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$1
shift
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
  if [ -n "$names" ]; then
    echo "known red, not run:"
    grep -vE '^\s*(#|$)' KNOWN-RED.txt | sed 's/^/  /'
    skip=(-skip "^($names)\$")
  fi
fi
for module in $modules; do
  (cd "$module" && go test -count=1 "${skip[@]}" "$@" ./...)
done
