#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/leadproxy ] && [ -x target/review/standins ] || exit 2
timeout --signal=TERM 119 target/review/standins sick-machine . review/3/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
