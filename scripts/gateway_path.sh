#!/bin/bash
# Runs the whole path on the gateway platform with real processes on loopback:
# store and targets (stand-ins), two entry VMs, curl as caller. Guards against
# an adapter that is wired wrongly: routes, targets that are added, drain and
# are removed, zones that are evacuated, a lost watch history, a store outage,
# an address that belongs to another target, and a graceful stop.
# Usage: scripts/gateway_path.sh BUILD_DIR
set -u
build=$1
# Below the ephemeral port range.
base=$((10000 + $$ % 400 * 25))
store=127.0.0.1:$base
cases=0
failures=0
pids=()
work=$(mktemp -d)
cleanup() {
    kill -KILL "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT

config='"op/config":{"version":"r3","limits":{"maxHeaderBytes":2048,
  "maxBodyBytes":1000,"headerTimeout":"1s","idleTimeout":"15s"},
  "listeners":[{"host":"h.example","rules":[
  {"name":"r-1","kind":"safe","targetLatency":"250ms","priority":2,
   "match":{"prefix":"/a/"},"action":{"service":"a1","timeout":"900ms",
   "maxAttempts":2}},
  {"name":"r-2","kind":"unsafe","match":{"prefix":"/b/"},
   "action":{"service":"b2","timeout":"400ms","maxAttempts":2}}]}],
  "clusters":[{"name":"a1","healthPath":"/health","maxConnections":220,
   "coldPerS":2,"coldStart":"1s"},
  {"name":"b2","healthPath":"/health","maxConnections":220}]}'
server_item() { # ID SERVICE PORT STATE
    echo "\"servers/$1\":{\"service\":\"$2\",\"address\":\"127.0.0.1:$3\",
      \"zone\":\"z1\",\"slots\":6,\"state\":\"$4\",\"coldRemaining\":\"0ms\"}"
}
publish() { # ITEM...
    local IFS=,
    echo "{$*}" >"$work/new"
    mv "$work/new" "$work/items"
}
a=$(server_item i-a a1 $((base + 1)) ready)
b=$(server_item i-b b2 $((base + 2)) ready)
publish "$config" "$a" "$b" '"servers/odd":"not json"' '"other":7'
start() {
    "$@" >>"$work/log" 2>&1 &
    pids+=($!)
}
start_store() {
    start "$build/rp-standin" gateway --address "$store" --items "$work/items"
    store_pid=$!
}
start_store
for name in a b c d; do
    port=$((base + 1 + $(printf '%d' "'$name") - 97))
    start "$build/rp-standin" gateway --address "127.0.0.1:$port" \
        --instance "i-$name"
done
serve() { # NUMBER
    local port=$((base + 10 + $1 * 5))
    start "$build/rosemarypulley" serve --adapter=gateway --id "vm-$1" \
        --domain z1 --caller-address "127.0.0.1:$port" \
        --directory-address "127.0.0.1:$((port + 1))" \
        --ready-address "127.0.0.1:$((port + 2))" \
        --peer-address "127.0.0.1:$((port + 3))" \
        --admin-address "127.0.0.1:$((port + 4))" \
        --peers "127.0.0.1:$((base + 13))" --platform "http://$store" \
        --address-ttl-ms 500 --boot-wait-ms 0 --stop-timeout-ms 3000 \
        --fleet-size 2 --cold-overage 1.5 --cold-slack 3 --log-format json
}
serve 0
first_pid=$!
serve 1
front=127.0.0.1:$((base + 10))
second=127.0.0.1:$((base + 15))

check() { # NAME GOT PATTERN
    cases=$((cases + 1))
    [[ $2 =~ $3 ]] && return
    failures=$((failures + 1))
    echo "FAILED $1: expected /$3/, got: ${2:0:300}"
}
status_of() { curl -s -o /dev/null -m 2 -w '%{http_code}' "$@"; }
call() { # PATH ID [OPTION...]: prints body and status
    local path=$1 id=$2
    shift 2
    curl -s -m 2 -w ' %{http_code}' -H 'Host: h.example' \
        -H "X-Request-Id: $id" -H 'X-Deadline-Ms: 1000' "$@" \
        "http://$front$path"
}
# Repeats a command for up to 3 s until its output matches; prints the output.
await() { # PATTERN COMMAND...
    local pattern=$1 got
    shift
    for _ in $(seq 60); do
        got=$("$@")
        [[ $got =~ $pattern ]] && break
        sleep 0.05
    done
    echo "$got"
}
ready=http://127.0.0.1:$((base + 12))/v1/ready
resolve="http://127.0.0.1:$((base + 11))/v1/resolve?name=h.example&zone=z1"
check ready "$(await '^200$' status_of "$ready")" '^200$'
check directory "$(await "$second" curl -s "$resolve")" \
    "\"$front\".*\"$second\"|\"$second\".*\"$front\""
# Answers in the first 2 s after the start have a shorter TTL.
check directory-ttl "$(await '"500ms"' curl -s "$resolve")" '"ttl":"500ms"'
check safe "$(await 'i-a 200' call /a/x id-1)" '^i-a 200$'
check unsafe "$(call /b/x id-2 -d body)" '^i-b 200$'
check ran-once "$(curl -s "http://127.0.0.1:$((base + 2))/ran?id=id-2")" '^1$'
check no-route "$(status_of -H 'Host: h.example' "http://$front/c/")" '^404$'
check no-host "$(status_of -H 'Host: other' "http://$front/a/")" '^404$'
check large-body "$(call /b/x id-3 -d "$(printf 'x%.0s' $(seq 1100))")" '413$'
check large-header \
    "$(call /a/x id-4 -H "A: $(printf 'x%.0s' $(seq 3000))")" '431$'
check echo "$(curl -s -i -H 'Host: h.example' -H 'X-Request-Id: id-5' \
    "http://$front/a/x" | tr -d '\r' | tr '\n' ' ')" \
    'X-Request-Id: id-5.*X-Server-Stamp: i-a'
check time-left "$(curl -s -i -H 'Host: h.example' -H 'X-Request-Id: id-6' \
    -H 'X-Deadline-Ms: 700' "http://$front/a/x")" 'Told-Deadline: 6[0-9][0-9]'
check route-timeout "$(call '/b/x?sleep_ms=800' id-7 -d x)" ' 504$'
# The store lists i-c at the address of i-b, which refuses requests for i-c.
c=$(server_item i-c b2 $((base + 2)) ready)
publish "$config" "$a" "$c"
check other-instance "$(await ' 503$' call /b/x id-8 -d x)" ' 503$'
c=$(server_item i-c b2 $((base + 3)) ready)
publish "$config" "$a" "$c"
check moved "$(await 'i-c 200' call /b/x id-9 -d x)" '^i-c 200$'
# A draining target gets no new requests, and here there is no other target.
publish "$config" "$(server_item i-a a1 $((base + 1)) draining)" "$c"
check draining "$(await ' 503$' call /a/x id-10)" ' 503$'
# A change made while the watch history is lost is read by a listing.
publish '"forget":true' "$config" "$a" "$c"
check history-lost "$(await 'i-a 200' call /a/x id-11)" '^i-a 200$'
# Without the store the current configuration stays in force; changes made
# meanwhile are read after it is back.
kill -KILL "$store_pid"
wait "$store_pid" 2>/dev/null
sleep 0.3
check store-away "$(call /a/x id-12)" '^i-a 200$'
config=${config//\/a\//\/new\/}
publish "$config" "$a" "$c"
start_store
check store-back "$(await 'i-a 200' call /new/x id-13)" '^i-a 200$|404'
# What a target says of itself holds while its entry says that it is ready.
say() { # NAME WORDS: to a target
    curl -s "http://127.0.0.1:$((base + 1 + $(printf '%d' "'$1") - 97))/say?$2"
}
received() { # NAME: requests that have reached a target
    curl -s "http://127.0.0.1:$((base + 1 + $(printf '%d' "'$1") - 97))/received"
}
calls() { # COUNT PATH ID: prints each answer's status once
    for i in $(seq "$1"); do
        status_of -H 'Host: h.example' -H "X-Request-Id: $3-$i" \
            -H 'X-Deadline-Ms: 1000' "http://$front$2"
        echo
    done | sort | uniq -c | tr -s ' \n' ' '
}
d=$(server_item i-d a1 $((base + 4)) ready)
publish "$config" "$a" "$c" "$d"
await 'i-d 200' call /new/x id-15 >/dev/null
say d leaving=1
await 'i-d 200' call /new/x id-16 >/dev/null
before=$(received d)
check leaving-answers "$(calls 20 /new/x id-17)" '^ 20 200 $'
check leaving-reached "$(($(received d) - before))" '^0$'
check leaving-logged "$(grep -c '"event":"target_leaving"' "$work/log")" '^1$'
# The target that is left wants no requests for a while: calls are refused at
# once, with the time after which to return.
say a 'rejects=1&retry_after=1.5'
before=$(received a)
check closed-answers "$(calls 20 /new/x id-18)" '^ 20 503 $'
check closed-reached "$(($(received a) - before))" '^[12]$'
check closed-retry-after "$(curl -s -i -m 2 -H 'Host: h.example' \
    -H 'X-Request-Id: id-19' "http://$front/new/x" | tr -d '\r' |
    grep -i '^retry-after')" 'Retry-After: (0\.[1-9]|1\.)'
check closed-logged "$(grep -c '"event":"target_closed"' "$work/log")" '^[12]$'
say a ''
check opened "$(await 'i-a 200' call /new/x id-20)" '^i-a 200$'
# An evacuated zone gets no calls; without another one they are refused at once
# with a time of about a second. A value that is not JSON does not matter.
evacuation='"op/evacuate/z1":"not json"'
publish "$config" "$a" "$c" "$evacuation"
check evacuated "$(await ' 503$' call /new/x id-21)" ' 503$'
before=$(received a)
check evacuated-answers "$(calls 20 /new/x id-22)" '^ 20 503 $'
check evacuated-reached "$(($(received a) - before))" '^0$'
check evacuated-retry-after "$(curl -s -i -m 2 -H 'Host: h.example' \
    -H 'X-Request-Id: id-23' "http://$front/new/x" | tr -d '\r' |
    grep -i '^retry-after')" 'Retry-After: (0\.[789]|1\.0)'
check evacuated-logged \
    "$(grep -c '"event":"evacuation_started"' "$work/log")" '^2$'
# It stays in force without the store, and ends when the key is removed.
kill -KILL "$store_pid"
wait "$store_pid" 2>/dev/null
sleep 0.3
check evacuated-store-away "$(call /new/x id-24)" ' 503$'
start_store
sleep 0.3
check evacuated-store-back "$(call /new/x id-25)" ' 503$'
publish "$config" "$a" "$c"
check evacuation-withdrawn "$(for _ in 1 2; do
    await 'i-a 200' call /new/x id-26; done | tail -n 1)" '^i-a 200$'
# The target becomes cold: the two VMs send at most 2 x 1.5 + 3 calls in a
# second, and refuse the others at once with the time to come back.
say a 'cold_ms=2500'
check cold-answers "$(calls 20 /new/x id-31)" '^( [1-3] 200)? (1[7-9]|20) 503 $'
check cold-reached "$(curl -s "http://127.0.0.1:$((base + 1))/received-cold")" \
    '^[0-3]$'
check cold-retry-after "$(curl -s -i -m 2 -H 'Host: h.example' \
    -H 'X-Request-Id: id-32' "http://$front/new/x" | tr -d '\r' |
    grep -i '^retry-after')" 'Retry-After: [0-2]\.[0-9]'
check cold-status "$("$build/rosemarypulley" status \
    --at "127.0.0.1:$((base + 14))" | grep 'target i-a')" \
    ' cold .*, cold for [0-9]+ ms, 0\.50 calls/s of here'
check cold-held-back "$(curl -s "http://127.0.0.1:$((base + 14))/metrics" |
    grep '^rosemarypulley_calls_held_back_total')" ' [1-9][0-9]*$'
# An answered call may be a turn of a cold target: wait for the whole cold time.
check warm-again "$(sleep 2.5; await 'i-a 200' call /new/x id-33)" '^i-a 200$'
check warm-answers "$(calls 20 /new/x id-34)" '^ 20 200 $'
# A stopping VM is not ready, not listed by the other VM and cuts no request.
call '/new/x?sleep_ms=400' id-14 >"$work/stop" &
call_pid=$!
sleep 0.1
kill -TERM "$first_pid"
sleep 0.1
check stop-not-ready "$(status_of "$ready")" '^503$|^000$'
wait "$call_pid"
check stop-cuts-nothing "$(cat "$work/stop")" '^i-a 200$'
resolve="http://127.0.0.1:$((base + 16))/v1/resolve?name=h.example&zone=z1"
await '^[^"]*"addresses":\["[^"]*"\]' curl -s "$resolve" >/dev/null
check stop-not-named "$(curl -s "$resolve" | grep -c "$front")" '^0$'
wait "$first_pid"
check stop-status "$?" '^0$'
check logs "$(grep -c '"event":"call_sent".*"request":"id-1"' "$work/log")" \
    '^[12]$'
echo "gateway path: $cases run, $failures failed"
((failures == 0))
