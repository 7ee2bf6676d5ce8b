#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# The program reads TROUBLE: with 0 it leaves out the disruption and does all else.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/resume_before_first_event
[ -x "$program" ] && [ -x target/release/arbutusd ] || exit 2
exec "$program" review/5/record.txt
