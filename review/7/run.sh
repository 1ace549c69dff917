#!/usr/bin/env bash
# Runs case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/flamingohalld ] && [ -x target/review-2/standins2 ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
timeout -k 5 110 target/review-2/standins2 late-order review/7/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
