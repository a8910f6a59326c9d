#!/bin/sh
# Runs a fleet of processes with the peer exchange alone, encrypted with CURVE,
# on loopback, and prints the cost of each process and the time until records
# are in force. Usage: scripts/peers.sh BUILD_DIR COUNT SECONDS [plain]
# PEERS_IP is the loopback address; concurrent runs need different ones.
set -eu
build=$1
count=$2
seconds=$3
mode=${4:-curve}
first_port=21000
ip=${PEERS_IP:-127.0.0.1}

if [ "$mode" = curve ]; then
    eval "$("$build/rosemarypulley" keygen)"
    export ROSEMARYPULLEY_PEER_PUBLIC_KEY ROSEMARYPULLEY_PEER_SECRET_KEY
fi
peers=
i=0
while [ "$i" -lt "$count" ]; do
    peers="$peers${peers:+,}vm-$i=$ip:$((first_port + i))"
    i=$((i + 1))
done
i=0
while [ "$i" -lt "$count" ]; do
    publish=
    [ "$i" -ne 0 ] || publish=--publish=2000
    "$build/rp-standin" peer --id "vm-$i" \
        --address "$ip:$((first_port + i))" --peers "$peers" \
        --seconds "$seconds" $publish &
    i=$((i + 1))
done
wait
