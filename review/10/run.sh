#!/usr/bin/env bash
# Plays this case; see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case-10
if [ ! -x "$case" ] || [ ! -x target/hawthornhollow-entry ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
exec "$case" review/10/record.txt
