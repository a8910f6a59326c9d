#!/bin/sh
# Runs a small deployment of both examples, one after the other, as plain
# processes on loopback: the platform's stand-in, all targets of the example,
# three entry processes and a caller. Prints the result of each step and exits
# with 1 when one failed. Usage: scripts/demo.sh BUILD_DIR
set -u
build=$1
work=$(mktemp -d)
# A separate loopback address avoids conflicts with other runs.
ip=127.0.77.1
pids=
failures=0

stop_all() {
    # shellcheck disable=SC2086  # the list is split into words on purpose
    [ -z "$pids" ] || kill -KILL $pids 2>/dev/null
    wait 2>/dev/null
    pids=
}
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM

start() { # COMMAND...
    "$@" >>"$work/log" 2>&1 &
    pids="$pids $!"
}

step() { # TEXT COMMAND...
    text=$1
    shift
    if "$@"; then
        echo "ok      $text"
    else
        echo "FAILED  $text"
        failures=$((failures + 1))
    fi
}

start_targets() { # EXAMPLE
    sed -n 's/.*"role": "target", "address": "\([^"]*\)".*/\1/p' \
        "$work/$1/vms.json" >"$work/targets"
    while read -r address; do
        start "$build/rp-standin" target --address "$address" --work-ms 3 \
            --life-s 120
    done <"$work/targets"
}

start_entries() { # DOMAIN DOMAIN DOMAIN
    number=0
    peers=$ip:19001,$ip:19002,$ip:19003
    for domain in "$@"; do
        number=$((number + 1))
        start "$build/rosemarypulley" serve --id "entry-0$number" \
            --domain "$domain" --caller-address "$ip:1800$number" \
            --peer-address "$ip:1900$number" \
            --admin-address "$ip:1700$number" --peers "$peers" \
            --platform http://$ip:18900 --boot-wait-ms 3000 \
            --address-ttl-ms 1000
    done
    last=$!
}

admin=$ip:17001,$ip:17002,$ip:17003

# Waits up to 15 s until all entry processes have one configuration in force.
all_in_force() {
    for _ in $(seq 75); do
        "$build/rosemarypulley" status --json --at "$admin" \
            >"$work/status" 2>/dev/null
        ready=$(grep -c '"state":"in force"' "$work/status")
        digests=$(grep -oE '"digest":"[0-9a-f]+"' "$work/status" | sort -u |
            wc -l)
        [ "$ready" -eq 3 ] && [ "$digests" -eq 1 ] && return 0
        sleep 0.2
    done
    return 1
}

publish() { # KEY FILE
    curl -s -f -o /dev/null -X PUT --data-binary "@$2" \
        "http://$ip:18900/operator/records/$1"
}

# Succeeds when all answers are complete and belong to their requests.
send_calls() { # SERVICE PATH METHOD COUNT [OPTION...]
    service=$1
    path=$2
    method=$3
    count=$4
    shift 4
    "$build/rp-standin" caller --entry $ip:18001 --service "$service" \
        --path "$path" --method "$method" --id "demo-$service" \
        --count "$count" "$@" >"$work/answers" 2>&1
    [ "$(grep -c 'status=200 .*whole=1 own=1' "$work/answers")" -eq "$count" ]
}

# Generates keys for the fleet, as an operator does.
eval "$("$build/rosemarypulley" keygen)"
export ROSEMARYPULLEY_PEER_PUBLIC_KEY ROSEMARYPULLEY_PEER_SECRET_KEY
export ROSEMARYPULLEY_FLEET_KEY

run_example() { # EXAMPLE DOMAIN DOMAIN DOMAIN
    example=$1
    shift
    cp -r "examples/$example" "$work"
    sed -i '/"entry-0[4-9]"/d; /"entry-1/d' "$work/$example/vms.json"
    find "$work/$example" -name '*.json' -exec sed -i "s/127\.0\.0\.1/$ip/" {} +
    echo "== $example: $(grep -c '"target"' "$work/$example/vms.json")" \
        "targets, three entry processes"
    start "$build/rp-standin" platform --listen $ip:18900 \
        --directory "$work/$example" --lifetime-s 120
    start_targets "$example"
    start_entries "$@"
    step "the published records are in force on all three" all_in_force
}

run_example bantay-daan baguio la-trinidad bontoc
step "100 status lookups answered whole" \
    send_calls bin-status "/bins/7?bytes=200" GET 100
step "a refill log is recorded once, with a ticket" \
    send_calls refill-log "/refills?bytes=10" POST 1 --upload 300
step "a map download of 3 MB arrives whole" \
    send_calls map-files "/maps?bytes=3000000" GET 1
step "the dashboard answers" \
    send_calls dashboard "/dashboard?bytes=2000" GET 10
kill -TERM "$last"
step "100 lookups while one entry process stops" \
    send_calls bin-status "/bins/7?bytes=200" GET 100
echo "-- the last events of all entry processes"
"$build/rosemarypulley" timeline --at "$admin" --only-listed 2>&1 | tail -8
stop_all

run_example cubetas-errazkin bilbo gasteiz donosti
step "100 street lookups answered whole" \
    send_calls street-coverage "/streets/9?bytes=200" GET 100
step "a collection history" \
    send_calls collection-history "/history?bytes=900" GET 10
step "a replacement order is placed once, with a ticket" \
    send_calls replacement-orders "/orders?bytes=10" POST 1 --upload 200
publish share/replacement-orders examples/handover/5-half-to-new.json
step "a new version of a share, half to the new estate, is in force" all_in_force
step "200 lookups during the handover answered whole" \
    send_calls replacement-orders "/orders?bytes=200" GET 200
"$build/rosemarypulley" status --at $ip:17001 | sed -n 1,40p
step "a route map of 2 MB arrives whole" \
    send_calls route-maps "/routes?bytes=2000000" GET 1
stop_all

if [ "$failures" -gt 0 ]; then
    echo "demo: $failures steps failed; the log of the processes ends with:"
    tail -20 "$work/log"
    exit 1
fi
echo "demo: all steps succeeded"
