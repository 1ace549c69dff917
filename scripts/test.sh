#!/usr/bin/env bash
# Runs the tests of the given modules except those listed in KNOWN-RED.txt, and prints that list.
#   scripts/test.sh MODULES [go test flags]
# Each entry of KNOWN-RED.txt is a line "TestName | command and seed | what was seen | issue"; lines beginning with # are
# comments.
# The tests of crowds of clients (TestCrowd_...) measure the memory of processes. They run last, one at a time and beside no other
# test. The race detector multiplies that memory, so they don't run with it.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$1
shift
crowds='TestCrowd_.*'
if [ -s KNOWN-RED.txt ]; then
  # grep fails if no entry is left.
  known=$({ grep -vE '^\s*(#|$)' KNOWN-RED.txt || true; } | cut -d'|' -f1 | tr -d ' ' | paste -sd'|')
  if [ -n "$known" ]; then
    echo "known red, not run:"
    grep -vE '^\s*(#|$)' KNOWN-RED.txt | sed 's/^/  /'
  fi
fi
for module in $modules; do
  (cd "$module" && go test -count=1 -skip "^(${known:+$known|}$crowds)\$" "$@" ./...)
done
case " $* " in *" -race "*) exit 0 ;; esac
case " $modules " in *" platform "*) ;; *) exit 0 ;; esac
cd platform
go test -count=1 -run '^TestCrowd_' ${known:+-skip "^($known)\$"} "$@" ./processtest
