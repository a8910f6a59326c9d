#!/bin/sh
# Runs this case; the exit status is 1 when the rule was broken, 0 when it
# held, 2 when the case could not run. TROUBLE=0 leaves the disruption out.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
RIG_TMP=$(mktemp -d) || exit 2
export RIG_TMP
"review/bin/case-$case" "review/$case/record.txt"
status=$?
[ "$status" -le 1 ] && rm -rf "$RIG_TMP"
[ "$status" -le 2 ] || status=2
exit "$status"
