#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornhollow-entry ] && [ -x target/review/case5 ] || exit 2
exec timeout -k 5 110 target/review/case5 review/5/record.txt
