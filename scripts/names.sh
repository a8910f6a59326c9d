#!/bin/sh
# Fails when a name of the gateway platform's interface is used outside of the
# adapter in platform/, deploy/, and the adapter's tests and stand-ins.
set -eu
names='X-Server-Stamp|X-Server-Load|X-Not-Executed|X-Expect-Instance'
names="$names|X-Deadline-Ms|X-Instance-Id|kv-(key|range|watch)|op/config"
names="$names|op/evacuate"
names="$names|trafficSplit|coldRemaining|storeRevision|staleOk|morePages"
names="$names|targetLatency|maxAttempts|healthPath"
names="$names|X-Cold-Remaining|coldPerS|coldStart|coldOverage|coldSlack"
if git grep -nE "$names" -- src cli bench fuzz standin tests scripts \
    ':!tests/test_gateway.cc' ':!scripts/gateway_path.sh' \
    ':!fuzz/fuzz_gateway.c' ':!fuzz/seeds/fuzz_gateway' ':!standin/gateway*' ':!scripts/names.sh'
then
    echo "names: the lines above belong in platform/" >&2
    exit 1
fi
echo "names: clean"
