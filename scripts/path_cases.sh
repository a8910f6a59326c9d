#!/bin/bash
# Runs bad answers, broken connections and malformed requests through real
# processes on loopback. For each case the result that the caller received is
# compared with the executions that the targets counted. Guards against a
# partial answer that looks complete, a wrong answer, a second execution of a
# request that may not be repeated, and a false not-run.
# Usage: scripts/path_cases.sh BUILD_DIR
set -u
build=$1
base=$((20000 + $$ % 400 * 25))
entry=127.0.0.1:$base
reuse=127.0.0.1:$((base + 1))
target_a=127.0.0.1:$((base + 5))
target_b=127.0.0.1:$((base + 6))
closed=127.0.0.1:$((base + 7))
brief=127.0.0.1:$((base + 2))
pids=()
serve_pids=()
failures=0
cases=0
records=
work=$(mktemp -d)

cleanup() {
    kill -KILL "${pids[@]}" "${serve_pids[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT
# The entry VM may close a connection while a malformed request is written.
trap '' PIPE

# Writes the records of a service and adds their file names to $records.
publish() { # SERVICE MAX_BODY_BYTES ADDRESS...
    local service=$1 body=$2 targets="" address
    shift 2
    for address in "$@"; do
        targets+="${targets:+,}{\"name\":\"t${address##*:}\",
            \"address\":\"$address\",\"domain\":\"Bilbo\"}"
    done
    echo "{\"schema\":2,\"kind\":\"service\",\"name\":\"$service\",
        \"version\":1,\"timeout_ms\":1500,\"max_body_bytes\":$body,
        \"match\":{\"path_prefix\":\"/$service\"}}" \
        > "$work/$service.json"
    echo "{\"schema\":2,\"kind\":\"targets\",\"service\":\"$service\",
        \"estate\":\"new\",\"version\":1,\"targets\":[$targets]}" \
        > "$work/$service-targets.json"
    records+="${records:+,}$work/$service.json,$work/$service-targets.json"
}

serve() { # ADDRESS PEER_PORT [OPTION...]
    local address=$1 peer=$2
    shift 2
    "$build/rosemarypulley" serve --id "vm-$peer" --domain Bilbo \
        --caller-address "$address" --peer-address "127.0.0.1:$peer" \
        --admin-address "127.0.0.1:$((peer + 1))" --log-level warning \
        --log-lines-per-s 1000 --fleet-size 1 --address-ttl-ms 500 --first-byte-ms 250 --progress-ms 600 \
        --boot-wait-ms 0 --records "$records" \
        --fleet-key "$(printf '5a%.0s' $(seq 32))" "$@" >"$work/events-$peer" &
    serve_pids+=($!)
}

for address in "$target_a" "$target_b"; do
    "$build/rp-standin" target --address "$address" --life-s 120 --queue 4 &
    pids+=($!)
done
publish two 100000 "$target_a" "$target_b"
publish one 1048576 "$target_a"
publish half 1048576 "$closed" "$target_a"
publish none 1048576 "$closed"
"$build/rosemarypulley" validate --quiet ${records//,/ } || exit 1
serve "$entry" $((base + 10)) --peers "127.0.0.1:$((base + 12))"
serve "$reuse" $((base + 12)) --peers "127.0.0.1:$((base + 10))" --once-connections reuse

for address in "$entry" "$reuse" "$target_a" "$target_b"; do
    for _ in $(seq 100); do
        curl -s -o /dev/null "http://$address/" && break
        sleep 0.05
    done
done

# Prints how often the targets executed a request.
executions() { # ID
    local a b
    a=$(curl -s "http://$target_a/ran?id=$1")
    b=$(curl -s "http://$target_b/ran?id=$1")
    echo $((${a:-0} + ${b:-0}))
}

# Prints the sum of a counter over both targets.
counts() { # FIELD
    for address in "$target_a" "$target_b"; do
        curl -s "http://$address/counts"
    done | tr ' ' '\n' | grep -A1 "^$1\$" | grep -v -e "^$1\$" -e -- |
        awk '{ sum += $1 } END { print sum }'
}

fail() { # NAME REASON
    failures=$((failures + 1))
    echo "FAILED $1: ${2:0:300}"
}

# Prints the number of hedges and of attempts on fresh connections that the
# entry VMs logged for a request.
concurrent_attempts() { # NAME
    sleep 0.3 # the event loop writes events with a delay
    cat "$work"/events-* | grep "\"request\": *\"case-$1\"" |
        grep -c -e '"call_hedged"' -e '"call_tried_fresh"'
}

# More executions than MAX are allowed only for hedges and attempts on fresh
# connections, each with its event: a repeatable request may be late whenever
# the machine is busy.
check() { # NAME GOT PATTERN EXECUTIONS MIN MAX
    local max=$6
    cases=$((cases + 1))
    [[ $2 =~ $3 ]] || fail "$1" "expected /$3/, got: $2"
    if ((${4:-0} > max)); then
        max=$((max + $(concurrent_attempts "$1")))
        echo "note: $1 ran $4 times with $((max - $6)) concurrent attempts"
    fi
    ((${4:-0} >= $5 && ${4:-0} <= max)) ||
        fail "$1" "the targets ran it $4 times, expected $5 to $max"
    # Errors in every case, whatever it expects.
    [[ $2 =~ outcome=not-run ]] && ((${4:-0} > 0)) &&
        fail "$1" "false not-run: it ran $4 times"
    [[ $2 =~ own=0 ]] && fail "$1" "the answer to another request: $2"
}

# Sends successful calls before a case, since retries are limited to a tenth of
# fresh calls.
replenish() { # ENTRY SERVICE
    curl -s -o /dev/null "http://$1/$2?bytes=10&call=[1-20]"
}

whole='code=0 status=200 outcome=- bytes='
unknown='code=0 status=50[24] outcome=unknown'
not_run='code=0 status=503 outcome=not-run'
broken='code=(18|56) .*whole=0'

# name | method | path | expected | min runs | max runs | caller options
while IFS='|' read -r name method path expected min max options; do
    [[ -z $name || $name = \#* ]] && continue
    id="case-$name"
    replenish "$entry" two
    replenish "$entry" half
    # shellcheck disable=SC2086  # options are split into words on purpose
    got=$("$build/rp-standin" caller --direct --entry "$entry" --service two \
        --method "$method" --id "$id" --path "$path" $options 2>&1)
    case $expected in
    whole | unknown | not_run | broken) expected=${!expected} ;;
    esac
    check "$name" "$got" "$expected" "$(executions "$id")" "$min" "$max"
done <<'TABLE'
plain|GET|/two?bytes=10|whole|1|1|
plain-chunked|GET|/two?bytes=50000&chunked=1|whole|1|1|
large|GET|/two?bytes=3000000|code=0 status=200 outcome=- bytes=3000000|1|1|
head|HEAD|/two?bytes=5000|code=0 status=200 outcome=- bytes=0|1|1|
head-chunked|HEAD|/two?bytes=5000&chunked=1|code=0 status=200 outcome=- bytes=0|1|1|
no-content|GET|/two?status=204|code=0 status=204 outcome=- bytes=0|1|1|
not-modified|GET|/two?status=304&bytes=10|code=0 status=304 outcome=- bytes=0|1|1|
error-status|GET|/two?status=500&bytes=10|code=0 status=500 outcome=- bytes=10|1|1|
post|POST|/two?bytes=10|whole|1|1|--upload 20000
post-empty|POST|/two?bytes=10|whole|1|1|--upload 0
post-chunked|POST|/two?bytes=10|whole|1|1|--upload 90000 --chunked
post-continue|POST|/two?bytes=10|whole|1|1|--upload 9000 --header Expect:100-continue
interim|GET|/two?bytes=10&fault=interim|whole|1|1|
too-large|POST|/two|code=0 status=413 outcome=not-run|0|0|--upload 100001
too-large-continue|POST|/two|code=0 status=413 outcome=not-run|0|0|--upload 100001 --header Expect:100-continue
too-large-chunked|POST|/two|code=0 status=413 outcome=unknown|0|0|--upload 150000 --chunked
# Faults before the first byte of the answer: a repeatable request is retried.
close-get|GET|/two?fault=close-before&only_attempt=1|whole|2|2|
close-put|PUT|/two?fault=close-before&only_attempt=1|whole|2|2|--upload 30000
close-post|POST|/two?fault=close-before&only_attempt=1|unknown|1|1|--upload 30000
close-post-empty|POST|/two?fault=close-before&only_attempt=1|unknown|1|1|
close-always|GET|/two?fault=close-before|unknown|2|3|
reset-get|GET|/two?fault=reset&only_attempt=1|whole|2|2|
reset-post|POST|/two?fault=reset&only_attempt=1|unknown|1|1|--upload 100
in-head-get|GET|/two?fault=in-head&only_attempt=1|whole|2|2|
in-head-post|POST|/two?fault=in-head&only_attempt=1|unknown|1|1|--upload 100
garbage-get|GET|/two?fault=garbage&only_attempt=1|whole|2|2|
garbage-post|POST|/two?fault=garbage|unknown|1|1|--upload 100
switch-get|GET|/two?fault=switch&only_attempt=1|whole|2|2|
two-lengths-get|GET|/two?fault=two-lengths&only_attempt=1|whole|2|2|
two-lengths-post|POST|/two?fault=two-lengths|unknown|1|1|--upload 100
length-and-chunked|GET|/two?fault=length-and-chunked&only_attempt=1|whole|2|2|
no-length|GET|/two?fault=no-length&only_attempt=1|whole|2|2|
big-head|GET|/two?fault=big-head&only_attempt=1|whole|2|2|
early-post|POST|/two?fault=early&bytes=10|code=0 status=200|1|1|--upload 90000
# A small answer that is cut off has not been forwarded yet.
after-head-get|GET|/two?bytes=1000&fault=after-head&only_attempt=1|whole|2|2|
after-head-post|POST|/two?bytes=1000&fault=after-head&only_attempt=1|unknown|1|1|--upload 100
in-body-get|GET|/two?bytes=1000&fault=in-body&only_attempt=1|whole|2|2|
in-body-post|POST|/two?bytes=1000&fault=in-body&only_attempt=1|unknown|1|1|--upload 100
reset-body-get|GET|/two?bytes=1000&fault=reset-body&only_attempt=1|whole|2|2|
short-length|GET|/two?bytes=1000&fault=short-length|code=0 status=200 outcome=- bytes=500|1|1|
# A large or chunked one has been: the caller's connection is aborted.
in-body-large|GET|/two?bytes=200000&fault=in-body|broken|1|1|
in-body-large-post|POST|/two?bytes=200000&fault=in-body|broken|1|1|--upload 10
reset-body-large|GET|/two?bytes=200000&fault=reset-body|broken|1|1|
chunk-edge|GET|/two?bytes=4000&fault=chunk-edge|broken|1|1|
chunk-edge-post|POST|/two?bytes=4000&fault=chunk-edge|broken|1|1|--upload 10
in-chunk|GET|/two?bytes=4000&fault=in-chunk|broken|1|1|
bad-chunk|GET|/two?bytes=4000&fault=bad-chunk|broken|1|1|
trailer|GET|/two?bytes=4000&fault=trailer|broken|1|1|
silent-body|GET|/two?bytes=200000&fault=silent-body|broken|1|1|
# Late and silent answers.
late|GET|/two?sleep_ms=400&bytes=10|whole|1|2|
late-post|POST|/two?sleep_ms=400&bytes=10|whole|1|1|--upload 10
past-deadline|GET|/two?sleep_ms=900|unknown|1|2|--timeout-ms 300
past-deadline-post|POST|/two?sleep_ms=900|unknown|1|1|--timeout-ms 300 --upload 10
silent-get|GET|/two?fault=silent&only_attempt=1&bytes=10|whole|2|2|
silent-post|POST|/two?fault=silent|unknown|1|1|--timeout-ms 400 --upload 10
# Refusals by targets, and targets that cannot be reached.
refuse-get|GET|/two?fault=refuse&only_attempt=1|whole|1|1|
refuse-post|POST|/two?fault=refuse&only_attempt=1|whole|1|1|--upload 30000
refuse-always|POST|/two?fault=refuse|not_run|0|0|--upload 10
attempts-spent|GET|/two?fault=refuse&only_attempt=1|not_run|0|0|--header RP-Attempts-Left:0
unreachable-get|GET|/half?bytes=10|whole|1|1|
unreachable-post|POST|/half?bytes=10|whole|1|1|--upload 30000
unreachable-all|POST|/none|not_run|0|0|--upload 10
no-service|GET|/other|code=0 status=404 outcome=not-run|0|0|
no-method|TRACE|/two|code=0 status=501 outcome=not-run|0|0|
bad-timeout|GET|/two|code=0 status=400 outcome=not-run|0|0|--header RP-Timeout-Ms:soon
slow-reader|GET|/two?bytes=400000|code=0 status=200 outcome=- bytes=400000|1|1|--rate 600000
slow-answer|GET|/two?bytes=20000&rate=40000|code=0 status=200 outcome=- bytes=20000|1|1|
TABLE

# Connections that close or go silent after their first use. On a reused
# connection libcurl would repeat a request by itself, POST included.
reused_case() { # NAME ENTRY METHOD FAULT EXPECTED MIN MAX [OPTION...]
    local name=$1 address=$2 method=$3 fault=$4 expected=$5 min=$6 max=$7 got
    shift 7
    replenish "$address" one
    got=$("$build/rp-standin" caller --direct --entry "$address" \
        --service one --method "$method" --id "case-$name" \
        --path "/one?bytes=10&fault=$fault" "$@" 2>&1)
    check "$name" "$got" "$expected" "$(executions "case-$name")" "$min" "$max"
}
reused_case reused-get "$entry" GET close-reused "$whole" 2 2
reused_case reused-post "$entry" POST close-reused "$whole" 1 1 --upload 10
reused_case reused-post-empty "$entry" POST close-reused "$whole" 1 1
reused_case guarded-get "$reuse" GET close-reused "$whole" 2 2
reused_case guarded-post "$reuse" POST close-reused "$unknown" 1 1 --upload 10
reused_case guarded-empty "$reuse" POST close-reused "$unknown" 1 1
reused_case guarded-large "$reuse" POST close-reused "$unknown" 1 1 \
    --upload 70000
reused_case silent-reused-get "$entry" GET silent-reused "$whole" 2 2
# For a second after a silent connection, that target gets fresh ones only.
sleep 1.1
reused_case silent-reused-put "$entry" PUT silent-reused "$whole" 2 2 \
    --upload 100
reused_case silent-reused-post "$entry" POST silent-reused "$whole" 1 1 \
    --upload 100

# A second answer to an earlier request, 200 ms after the first: on a kept
# connection that is idle, or that serves the next request by then.
second_case() { # NAME FIRST DELAY_S ENTRY METHOD EXPECTED MIN MAX [OPTION...]
    local name=$1 first=$2 delay=$3 address=$4 method=$5 got
    local expected=$6 min=$7 max=$8
    shift 8
    # A connection that an earlier case left silent is no longer kept.
    sleep 1.1
    replenish "$address" one
    curl -s -o /dev/null -H "RP-Request-Id: first-$name" \
        "http://$address/one?bytes=30&fault=$first"
    sleep "$delay"
    got=$("$build/rp-standin" caller --direct --entry "$address" \
        --service one --method "$method" --id "case-$name" \
        --path "/one?bytes=20&sleep_ms=240" "$@" 2>&1)
    check "$name" "$got" "$expected" "$(executions "case-$name")" "$min" "$max"
}
second_case second-idle second-copy 0.3 "$entry" GET "$whole" 1 2
# The late answer may be there before the request, which then may not run.
second_case second-busy second-copy 0 "$entry" GET "$whole" 1 2
second_case second-busy-put second-copy 0 "$entry" PUT "$whole" 1 2 \
    --upload 100
second_case second-busy-post second-copy 0 "$reuse" POST "$unknown" 0 1 \
    --upload 100
second_case second-refusal-post second-refusal 0 "$reuse" POST "$unknown" 0 1 \
    --upload 100
second_case second-fresh-post second-copy 0 "$entry" POST "$whole" 1 1 \
    --upload 100

# The last late answer still waits on a kept connection, which the services
# share; it would cost an attempt of a later case.
sleep 0.4
replenish "$entry" one
replenish "$reuse" one

# Bytes that are no answer, without end. Each case ends within its service's
# timeout, closes the connection before the target has sent more than the limit
# of docs/interfaces.md, leaves the memory of the entry VM bounded, and delays no
# other caller beyond the timeout.
max_flood_bytes=$((64 * 1024 * 1024))
max_growth_kb=65536
peak_kb() { # PID
    awk '/^VmHWM/ { print $2 }' "/proc/$1/status"
}
endless_case() { # NAME METHOD EXPECTED MIN MAX [OPTION...]
    local name=$1 method=$2 expected=$3 min=$4 max=$5 got flooded grown
    shift 5
    replenish "$entry" two
    flooded=$(counts flooded)
    grown=$(peak_kb "${serve_pids[0]}")
    curl -s -o /dev/null -w '%{http_code} ' --max-time 1.5 \
        "http://$entry/two?bytes=10&call=[1-20]" >"$work/beside" &
    curl_pid=$!
    got=$("$build/rp-standin" caller --direct --entry "$entry" \
        --service two --method "$method" --id "case-$name" \
        --path "/two?bytes=10&fault=${name%-post}&only_attempt=1" "$@" 2>&1)
    wait "$curl_pid"
    check "$name" "$got" "$expected" "$(executions "case-$name")" "$min" "$max"
    flooded=$(($(counts flooded) - flooded))
    grown=$(($(peak_kb "${serve_pids[0]}") - grown))
    check "$name-bounded" \
        "bytes=$((flooded < max_flood_bytes)) memory=$((grown < max_growth_kb)) flooded=$flooded growth_kb=$grown beside=$(cat "$work/beside")" \
        '^bytes=1 memory=1 .*beside=(200 ){20}$' 0 0 0
}
endless_case endless-fields GET "$whole" 2 2
endless_case endless-line GET "$whole" 2 2
endless_case endless-interim GET "$whole" 2 2
endless_case endless-garbage GET "$whole" 2 2
# Without further attempts: one that is late on a busy machine gets a whole
# answer from the other target.
endless_case endless-extension GET "$broken" 1 1 \
    --header RP-Attempts-Left:0
endless_case endless-trailer GET "$broken" 1 1 \
    --header RP-Attempts-Left:0
endless_case endless-body GET 'code=0 status=200 outcome=- bytes=0' 1 1 \
    --header RP-Attempts-Left:0
endless_case endless-refusal GET "$whole" 1 1
endless_case endless-refusal-post POST "$whole" 1 1 --upload 100

# Answers whose status is not 100 to 599: on the first and on a later answer of
# a connection, and after an informational answer. POST uses a new connection at
# $entry and a kept one at $reuse.
status_case() { # NAME ENTRY METHOD FAULT STATUS EXPECTED MIN MAX [OPTION...]
    local name=$1 address=$2 method=$3 fault=$4 status=$5 got
    local expected=$6 min=$7 max=$8
    shift 8
    replenish "$address" two
    got=$("$build/rp-standin" caller --direct --entry "$address" \
        --service two --method "$method" --id "case-$name" \
        --path "/two?bytes=10&fault=$fault&status_text=$status&only_attempt=1" \
        "$@" 2>&1)
    check "$name" "$got" "$expected" "$(executions "case-$name")" "$min" "$max"
}
for status in 000 099 600 2 20 2000 0200 200a; do
    for fault in bad-status interim-bad-status; do
        status_case "$fault-$status" "$entry" GET "$fault" "$status" \
            "$whole" 2 2
        status_case "$fault-$status-first" "$entry" POST "$fault" "$status" \
            "$unknown" 1 1 --upload 10
        status_case "$fault-$status-later" "$reuse" POST "$fault" "$status" \
            "$unknown" 1 1 --upload 10
    done
done

# The caller queries the addresses before it sends the request.
got=$("$build/rp-standin" caller --entry "$entry" --service one \
    --id case-addresses --path '/one?bytes=10' 2>&1)
check addresses-first "$got" "$whole" "$(executions case-addresses)" 1 2

# Tickets: a repeated request gets the same answer without a second execution,
# whichever entry VM receives it.
ticketed() { # ENTRY TICKET ID PATH: prints status, outcome and body
    curl -s -i -X POST -d body -H "RP-Ticket: $2" -H "RP-Request-Id: $3" \
        "http://$1$4" | tr -d '\r' |
        awk 'NR == 1 { s = $2 } /^RP-Outcome/ { o = $2 } END { print s, o, $0 }'
}
# Prints the ticket prefix of an entry VM as reported by $entry.
ticket_prefix() { # PORT
    curl -s "http://$entry/v1/addresses?service=one" |
        grep -o "\"address\":\"127.0.0.1:$1\"[^}]*" |
        sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p'
}
for _ in $(seq 60); do
    entry_prefix=$(ticket_prefix "$base")
    reuse_prefix=$(ticket_prefix $((base + 1)))
    [[ -n $entry_prefix && -n $reuse_prefix ]] && break
    sleep 0.1
done
nonce=00112233445566778899aabbccddee
path='/one?bytes=10'
got=$(ticketed "$entry" "$entry_prefix.${nonce}01" case-ticket "$path")
check ticket-run "$got" '^200  case-ticke' "$(executions case-ticket)" 1 1
got=$(ticketed "$entry" "$entry_prefix.${nonce}01" case-ticket "$path")
check ticket-replay "$got" '^200  case-ticke' "$(executions case-ticket)" 1 1
got=$(ticketed "$reuse" "$entry_prefix.${nonce}01" case-ticket "$path")
check ticket-replay-passed-on "$got" '^200  case-ticke' \
    "$(executions case-ticket)" 1 1
got=$(ticketed "$entry" "$reuse_prefix.${nonce}02" case-passed "$path")
check ticket-passed-on "$got" '^200  case-passe' \
    "$(executions case-passed)" 1 1
got=$(ticketed "$entry" "$entry_prefix.${nonce}01" case-mismatch \
    '/one?bytes=11')
check ticket-mismatch "$got" '^409 not-run' "$(executions case-mismatch)" 0 0
got=$(ticketed "$entry" "x.1.1.00.${nonce}03" case-forged "$path")
check ticket-forged "$got" '^400 not-run' "$(executions case-forged)" 0 0
got=$(ticketed "$entry" "$entry_prefix.${nonce}04" case-unsure \
    '/one?fault=close-before')
check ticket-unknown "$got" '^502 unknown' "$(executions case-unsure)" 1 1
got=$(ticketed "$reuse" "$entry_prefix.${nonce}04" case-unsure \
    '/one?fault=close-before')
check ticket-unknown-passed-on "$got" '^502 unknown' \
    "$(executions case-unsure)" 1 1
got=$(ticketed "$entry" "$reuse_prefix.${nonce}05" case-refused \
    '/one?fault=refuse')
check ticket-refused-passed-on "$got" '^503 not-run' \
    "$(executions case-refused)" 0 0

# A caller that disconnects cancels each attempt that a target has started,
# hedges and those on fresh connections included.
cancelled=$(counts cancelled)
ran_before=$(counts ran)
curl -s -o /dev/null --max-time 0.3 "http://$entry/one?sleep_ms=5000"
curl -s -o /dev/null --max-time 0.3 "http://$entry/one?bytes=900000&rate=9000"
curl -s -o /dev/null --max-time 0.3 -X POST -d x \
    "http://$entry/one?sleep_ms=5000"
sleep 0.2
cancelled=$(($(counts cancelled) - cancelled))
started=$(($(counts ran) - ran_before))
check caller-gone "started=$started left=$((started - cancelled))" \
    '^started=[3-7] left=0$' 0 0 0

# A caller that disconnects in the middle of its request body.
exec 3<>"/dev/tcp/127.0.0.1/$base"
printf 'POST /one HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-cut\r\n' >&3
printf 'Content-Length: 1000\r\n\r\nhalf' >&3
exec 3>&-
sleep 0.2
check cut-upload "ran=$(executions case-cut)" '^ran=0$' 0 0 0

# Request smuggling: requests that two parsers could read differently.
raw_case() { # NAME EXPECTED REQUEST
    local got id="case-$1"
    exec 3<>"/dev/tcp/127.0.0.1/$base"
    printf '%b' "${3//@ID/RP-Request-Id: $id}" >&3
    got=$(timeout 1 head -n 1 <&3 | tr -d '\r')
    exec 3>&- 3<&-
    check "$1" "$got" "$2" "$(executions "$id")" 0 "${4:-0}"
}
post='POST /one HTTP/1.1\r\nHost: x\r\n@ID\r\n'
get='GET /one HTTP/1.1\r\n'
raw_case length-and-coding ' 400 ' \
    "${post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
raw_case two-equal-lengths ' 400 ' \
    "${post}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"
raw_case two-codings ' 400 ' \
    "${post}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
raw_case signed-length ' 400 ' "${post}Content-Length: +3\r\n\r\nabc"
raw_case huge-length ' 4[01][03] ' \
    "${post}Content-Length: 99999999999999999999\r\n\r\nabc"
raw_case chunked-http-1.0 ' 400 ' \
    "POST /one HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
raw_case bare-cr ' 400 ' \
    "${get}Host: x\r\n@ID\r\nA: b\rContent-Length: 3\r\n\r\nabc"
# RFC 9112 (sections 2.2 and 5.2) allows both of these, and the entry VM writes
# the request to the target in canonical form.
raw_case bare-lf ' 200 ' "${get}Host: x\n@ID\n\n" 1
raw_case folded-field ' 200 ' \
    "${get}Host: x\r\n@ID\r\nA: b\r\n c\r\n\r\n" 1
raw_case space-before-colon ' 400 ' \
    "${post}Content-Length : 3\r\n\r\nabc"
raw_case no-host ' 400 ' "${get}@ID\r\n\r\n"
raw_case two-hosts ' 400 ' "${get}Host: x\r\nHost: y\r\n@ID\r\n\r\n"
raw_case absolute-target ' 400 ' \
    "GET http://x/one HTTP/1.1\r\nHost: x\r\n@ID\r\n\r\n"
raw_case trailer-announced ' 400 ' \
    "${post}Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n"
raw_case other-expectation ' 417 ' \
    "${post}Expect: more\r\nContent-Length: 0\r\n\r\n"
filler=$(printf 'x%.0s' $(seq 33000))
raw_case large-header ' 4(31|00|14) ' \
    "${get}Host: x\r\n@ID\r\nA: $filler\r\n\r\n"
raw_case pipelined ' 200 ' \
    "${get}Host: x\r\n@ID\r\n\r\n${get}Host: x\r\n\r\n" 1

# Answers on one connection are sent in the order of the requests, although the
# second one is ready long before the first.
exec 3<>"/dev/tcp/127.0.0.1/$base"
printf 'GET /two?sleep_ms=600&bytes=3 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-order-1\r\n\r\nGET /two?bytes=4 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-order-2\r\n\r\nGET /two?sleep_ms=600&bytes=5 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-order-3\r\n\r\n' >&3
began=$(date +%s%N)
got=$(timeout 2 grep -a -m 3 -o 'case-order-[0-9]' <&3 | tr '\n' ' ')
took=$((($(date +%s%N) - began) / 1000000))
exec 3>&- 3<&-
check pipelined-order "$got" '^case-order-1 case-order-2 case-order-3 $' 0 0 0
# Executed one after the other, the requests would take 1200 ms.
check pipelined-side-by-side "took=$((took < 1150))" '^took=1$' 0 0 0

# Requests that may not run beside an earlier one are answered after it.
exec 3<>"/dev/tcp/127.0.0.1/$base"
printf 'GET /two?sleep_ms=100&bytes=3 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-after-1\r\n\r\nPOST /two?bytes=4 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nRP-Request-Id: case-after-2\r\n\r\nabcGET /new HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-after-3\r\n\r\n' >&3
got=$(timeout 1 grep -a -m 3 -o 'case-after-[0-9]' <&3 | tr '\n' ' ')
exec 3>&- 3<&-
check pipelined-one-after-another "$got" '^case-after-1 case-after-2 case-after-3 $' \
    "$(executions case-after-2)" 1 1

# The signal to reload settings aborts no request.
curl -s -o /dev/null -w '%{http_code}' "http://$entry/two?sleep_ms=300" >"$work/hup" &
curl_pid=$!
sleep 0.1
kill -HUP "${serve_pids[@]}"
wait "$curl_pid"
check hangup-cuts-nothing "$(cat "$work/hup")" '^200$' 0 0 0

# A stopping process that stands still until its stop timeout has expired: the
# answer that came meanwhile is delivered, not lost with the process.
paused=127.0.0.1:$((base + 2))
serve "$paused" $((base + 14)) --peers "127.0.0.1:$((base + 10))" --stop-timeout-ms 3000
paused_pid=${serve_pids[-1]}
for _ in $(seq 100); do
    curl -s -o /dev/null "http://$paused/" && break
    sleep 0.05
done
curl -s -o /dev/null -w '%{http_code}' -H 'RP-Timeout-Ms: 8000' \
    "http://$paused/two?bytes=10&sleep_ms=1500" >"$work/paused" &
curl_pid=$!
sleep 0.2
kill -TERM "$paused_pid"
sleep 0.8
kill -STOP "$paused_pid"
sleep 2.3
kill -CONT "$paused_pid"
wait "$curl_pid"
wait "$paused_pid"
check stop-after-a-pause "status=$? $(cat "$work/paused")" '^status=0 200$' 0 0 0
unset 'serve_pids[-1]'

# A process that stands still over the end of its stop still writes its answers,
# also those that wait behind a slow request.
serve "$brief" $((base + 14)) --stop-timeout-ms 1000
brief_pid=${serve_pids[2]}
for _ in $(seq 100); do
    curl -s -o /dev/null "http://$brief/" && break
    sleep 0.05
done
exec 3<>"/dev/tcp/127.0.0.1/$((base + 2))"
printf 'GET /one?sleep_ms=1400&bytes=3 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-pause-1\r\n\r\nGET /one?bytes=4 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-pause-2\r\n\r\n' >&3
sleep 0.1
kill -TERM "$brief_pid"
sleep 0.7
kill -STOP "$brief_pid"
sleep 0.4
kill -CONT "$brief_pid"
got=$(timeout 2 grep -a -o -e 'HTTP/1.1 [0-9]*' -e 'case-pause-[0-9]' <&3 | tr '\n' ' ')
exec 3>&- 3<&-
check stop-outlasts-pause "$got" '^HTTP/1.1 504 case-pause-1 HTTP/1.1 200 case-pause-2 $' 0 0 0
wait "$brief_pid"
check stop-outlasts-pause-exit "status=$?" '^status=0$' 0 0 0
unset 'serve_pids[2]'

stop_output=$(mktemp)
# A stop while a request is in progress: the request is completed, and the
# process exits without an error (with sanitizers: without a leak).
"$build/rp-standin" caller --direct --entry "$entry" --service one --id case-stop \
    --path '/one?sleep_ms=700&bytes=10' --method POST --upload 10 \
    >"$stop_output" 2>&1 &
caller=$!
sleep 0.2
kill -TERM "${serve_pids[@]}"
sleep 0.1
# A stopping VM starts no pipelined request behind one in progress, since its
# answer might not be sent in time. The first answer ends the connection.
exec 3<>"/dev/tcp/127.0.0.1/$base"
printf 'GET /two?sleep_ms=200&bytes=3 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-behind-1\r\n\r\nGET /two?bytes=4 HTTP/1.1\r\nHost: x\r\nRP-Request-Id: case-behind-2\r\n\r\n' >&3
got=$(timeout 1 cat <&3 | tr -d '\r' | grep -a -o -e 'case-behind-[0-9]' -e 'Connection: close' | tr '\n' ' ')
exec 3>&- 3<&-
check stop-starts-nothing-behind "$got" '^(case-behind-1 Connection: close|Connection: close case-behind-1) $' \
    "$(executions case-behind-2)" 0 0
wait "$caller"
got=$(cat "$stop_output")
rm -f "$stop_output"
check stop-finishes-work "$got" "$whole" "$(executions case-stop)" 1 1
seconds=$SECONDS
for pid in "${serve_pids[@]}"; do
    wait "$pid"
    check clean-exit "status=$?" '^status=0$' 0 0 0
done
# Not killed by cleanup: other processes may have these ids by now.
serve_pids=()
# A request whose state is never freed would delay the stop by 30 s.
check no-request-left "seconds=$((SECONDS - seconds))" '^seconds=[0-9]$' 0 0 0

echo "path cases: $cases run, $failures failed"
((failures == 0))
