#!/bin/sh
# Counts the instructions of one decision with callgrind for 10, 25, 50 and
# 200 targets. Fails above 6,000 for 50 targets (2 microseconds at 3 GHz and
# one instruction per cycle), or when the count grows faster than the number of
# targets. Usage: scripts/instructions.sh RP_BENCH
set -eu
bench=$1
decisions=1000
bound=6000
out=$(mktemp)
trap 'rm -f "$out"' EXIT

previous_targets=
previous=
status=0
for targets in 10 25 50 200; do
    valgrind --tool=callgrind --callgrind-out-file="$out" \
        --collect-atstart=no --toggle-collect=rp_balancer_offer \
        "$bench" --decisions "$targets" >/dev/null 2>&1
    total=$(sed -n 's/^totals: *//p' "$out")
    each=$((total / decisions))
    echo "$targets targets: $each instructions a decision"
    if [ "$targets" = 50 ] && [ "$each" -gt "$bound" ]; then
        echo "over the bound of $bound"
        status=1
    fi
    if [ -n "$previous" ] &&
        [ $((each * previous_targets)) -gt $((previous * targets)) ]; then
        echo "grows faster than the number of targets"
        status=1
    fi
    previous=$each
    previous_targets=$targets
done
exit $status
