#!/bin/bash
# Does what fails in real life to real processes on loopback: kills, pauses,
# cuts, silent connections, a platform that is down or stale, draining during
# a download, races of two operators and a rolling replacement. Targets count
# what they ran, callers keep what they were told, and the two are compared:
# nothing lost, doubled or falsely told. Usage: scripts/faults.sh BUILD_DIR
set -u
build=$1
work=$(mktemp -d)
net=127.0.78
operator=http://$net.250:18900
entry_count=5
declare -A entry_pid
pids=()
sessions=()
failures=0

cleanup() {
    kill -CONT "${pids[@]}" "${entry_pid[@]}" 2>/dev/null
    kill -KILL "${pids[@]}" "${entry_pid[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT

check() { # TEXT COMMAND...
    local text=$1
    shift
    if "$@"; then
        echo "ok      $text"
    else
        echo "FAILED  $text"
        failures=$((failures + 1))
    fi
}

now_ms() { date +%s%3N; }

peers=
admin=
entries=
for i in $(seq $entry_count); do
    peers+="${peers:+,}$net.$i:18100"
    admin+="${admin:+,}$net.$i:18200"
    entries+="${entries:+,}$net.$i:18000"
done

start_entry() { # NUMBER
    "$build/rosemarypulley" serve --id "entry-$1" --domain "domain-$(($1 % 3))" \
        --caller-address "$net.$1:18000" --peer-address "$net.$1:18100" \
        --admin-address "$net.$1:18200" --peers "$peers" \
        --platform "$operator" --boot-wait-ms 4000 --address-ttl-ms 1000 \
        --first-byte-ms 500 --fleet-size $entry_count \
        >>"$work/entry-$1.log" 2>&1 &
    entry_pid[$1]=$!
}

start_target() { # NUMBER
    "$build/rp-standin" target --address "$net.$((100 + $1)):21000" \
        --work-ms 3 --life-s 300 >/dev/null 2>&1 &
    pids+=($!)
    target_pid[$1]=$!
}

publish() { # KEY VALUE
    curl -s -f -m 2 -o /dev/null -X PUT --data-binary "$2" \
        "$operator/operator/records/$1"
}

platform_mode() { # JSON
    curl -s -f -m 2 -o /dev/null -X PUT --data-binary "$1" \
        "$operator/operator/mode"
}

targets_record() { # VERSION STATE_OF_TARGET_1
    local list="" i address state
    for i in 1 2 3 4; do
        address=$net.$((100 + i)):21000
        # Target 3 is reached through the relay, which can break the way.
        [ "$i" -ne 3 ] || address=$net.240:21003
        state=serving
        [ "$i" -ne 1 ] || state=$2
        list+="${list:+,}{\"name\":\"t$i\",\"address\":\"$address\",
            \"domain\":\"domain-$((i % 3))\",\"state\":\"$state\"}"
    done
    echo "{\"schema\":2,\"kind\":\"targets\",\"service\":\"jobs\",
        \"estate\":\"new\",\"version\":$1,\"targets\":[$list]}"
}

service_record() { # VERSION TIMEOUT_MS
    echo "{\"schema\":2,\"kind\":\"service\",\"name\":\"jobs\",
        \"version\":$1,\"timeout_ms\":$2,\"match\":{\"path_prefix\":\"/jobs\"}}"
}

# Prints the digests in force, one a line, of the entry VMs that answer.
digests() {
    "$build/rosemarypulley" status --json --at "$admin" 2>/dev/null |
        grep -oE '"digest":"[0-9a-f]+"' | sort
}

version_in_force() { # KEY: versions that the entry VMs have, one a line
    "$build/rosemarypulley" status --at "$admin" 2>/dev/null |
        awk -v key="$1" '$1 == "record" && $2 == key { print $4 }'
}

# Waits until every entry VM has the version; prints the time it took.
wait_for_version() { # KEY VERSION LIMIT_MS
    local started
    started=$(now_ms)
    while (($(now_ms) - started < $3)); do
        if [ "$(version_in_force "$1" | grep -c "^$2\$")" -eq $entry_count ]; then
            echo "        in force on all $entry_count after" \
                "$(($(now_ms) - started)) ms"
            return 0
        fi
        sleep 0.05
    done
    return 1
}

agree() { # all entry VMs answer, with one digest
    [ "$(digests | wc -l)" -eq $entry_count ] &&
        [ "$(digests | uniq | wc -l)" -eq 1 ]
}

wait_until() { # LIMIT_MS COMMAND...
    local started limit=$1
    started=$(now_ms)
    shift
    while (($(now_ms) - started < limit)); do
        "$@" && return 0
        sleep 0.1
    done
    return 1
}

start_session() { # NAME METHOD SECONDS PATH
    "$build/rp-standin" session --entries "$entries" --service jobs \
        --path "$4" --method "$2" --id "$1" --seconds "$3" \
        >"$work/$1.session" 2>&1 &
    sessions+=($!)
}

ran() { # TARGET_NUMBER: what it ran, "id count" a line
    curl -s -m 5 "http://$net.$((100 + $1)):21000/ran"
}

relay() { # COMMAND
    exec 4<>"/dev/tcp/$net.240/18300" && echo "$1" >&4 && exec 4>&-
}

eval "$("$build/rosemarypulley" keygen)"
export ROSEMARYPULLEY_PEER_PUBLIC_KEY ROSEMARYPULLEY_PEER_SECRET_KEY
export ROSEMARYPULLEY_FLEET_KEY
declare -A target_pid
mkdir -p "$work/platform/records"
vms=
for i in $(seq $entry_count); do
    vms+="${vms:+,}{\"id\":\"entry-$i\",\"role\":\"entry\",
        \"address\":\"$net.$i:18000\",\"peer\":\"$net.$i:18100\",
        \"domain\":\"domain-$((i % 3))\",\"state\":\"live\"}"
done
echo "[$vms]" >"$work/platform/vms.json"
"$build/rp-standin" platform --listen "$net.250:18900" \
    --directory "$work/platform" --lifetime-s 300 >/dev/null 2>&1 &
pids+=($!)
"$build/rp-standin" relay --control "$net.240:18300" \
    --link "$net.240:21003=$net.103:21000" >/dev/null 2>&1 &
pids+=($!)
for i in 1 2 3 4; do
    start_target "$i"
done
wait_until 3000 publish service/jobs "$(service_record 1 3000)"
publish targets/jobs/new "$(targets_record 1 serving)"
for i in $(seq $entry_count); do
    start_entry "$i"
done
check "start: one configuration in force on all" \
    wait_for_version targets/jobs/new 1 15000

# What an operator sees who knows one address only.
sees_all() { # COMMAND
    [ "$("$build/rosemarypulley" "$@" --json --at "$net.1:18200" 2>/dev/null |
        grep -oE '"id":"entry-[0-9]+"' | sort -u | wc -l)" -eq $entry_count ]
}
check "status --all asks all entry VMs through one" sees_all status --all
check "timeline asks all entry VMs through one" sees_all timeline

for i in 1 2 3; do
    start_session "post$i" POST 50 "/jobs?bytes=40"
    start_session "get$i" GET 50 "/jobs?bytes=400"
done

publish service/jobs "$(service_record 2 3100)"
check "publication with the platform up: in force within 8 s" \
    wait_for_version service/jobs 2 8000

echo "--      kill entry-2, pause entry-3 for 2 s, pause target 2 for 2 s"
kill -KILL "${entry_pid[2]}"
kill -STOP "${entry_pid[3]}"
sleep 1
kill -STOP "${target_pid[2]}"
start_entry 2
sleep 1
kill -CONT "${entry_pid[3]}"
sleep 1
kill -CONT "${target_pid[2]}"
check "after kill and pauses all agree again within 8 s" wait_until 8000 agree

echo "--      platform down; a publication reaches nobody and nothing reverts"
platform_mode '{"mode":"down"}'
sleep 2
check "platform down: all agree" agree
kill -KILL "${entry_pid[4]}"
start_entry 4
check "platform down: a replaced VM learns all from its peers within 8 s" \
    wait_for_version service/jobs 2 8000
platform_mode '{"mode":"stale","revision":1}'
kill -KILL "${entry_pid[5]}"
start_entry 5
check "platform stale: a replaced VM does not take the old state" \
    wait_for_version service/jobs 2 8000
platform_mode '{"mode":"normal"}'

echo "--      two operators publish version 3 with different contents"
publish service/jobs "$(service_record 3 2500)" &
racer=$!
publish service/jobs "$(service_record 3 2600)"
wait "$racer"
check "race: one version 3 on all" wait_for_version service/jobs 3 8000
check "race: one content on all within 8 s" wait_until 8000 agree

echo "--      connections to target 3 go silent, then are cut, then delayed"
relay silence
sleep 3
relay cut
sleep 1
relay "delay 50"
sleep 1
relay pass

echo "--      target 1 drains by record during a slow download from it"
curl -s -m 20 -o "$work/download" -H "RP-Request-Id: download" \
    -H "RP-Timeout-Ms: 15000" \
    "http://$net.1:18000/jobs?bytes=300000&rate=100000" &
download=$!
sleep 0.5
publish targets/jobs/new "$(targets_record 2 draining)"
check "drain: in force" wait_for_version targets/jobs/new 2 8000
sleep 5
before=$(ran 1 | wc -l)
sleep 2
check "drain: no new work 5 s after the publication" \
    [ "$(ran 1 | wc -l)" -eq "$before" ]
wait "$download"
check "drain: the download in flight ended whole" \
    [ "$(stat -c %s "$work/download" 2>/dev/null)" = 300000 ]
publish targets/jobs/new "$(targets_record 3 serving)"

echo "--      rolling replacement of all entry VMs under load"
wait "${sessions[@]}"
sessions=()
start_session roll1 GET 25 "/jobs?bytes=400"
start_session roll2 POST 25 "/jobs?bytes=40"
for i in $(seq $entry_count); do
    kill -TERM "${entry_pid[$i]}"
    wait "${entry_pid[$i]}"
    start_entry "$i"
    wait_until 6000 curl -s -f -m 1 -o /dev/null "http://$net.$i:18200/healthz"
done
wait "${sessions[@]}"
check "replacement: all agree at the end" wait_until 8000 agree
lost=$(cat "$work"/roll*.session | grep -vc ' result=done ')
check "replacement: no request was lost (lost: $lost)" [ "$lost" -eq 0 ]

for i in 1 2 3 4; do
    ran "$i"
done >"$work/ran"
cat "$work"/*.session >"$work/told"
awk '
    FNR == NR { ran[$1] += $2; next }
    {
        id = substr($1, 4); result = substr($2, 8); own = substr($5, 5)
        told[result]++
        if (own != "1") foreign++
        if (id ~ /^(post|roll2)/ && ran[id] > 1) doubled++
        if (result == "done" && ran[id] == 0) invented++
        if (result == "not-run" && ran[id] > 0) false_not_run++
    }
    END {
        printf "        told: done %d, unknown %d, not-run %d\n",
            told["done"], told["unknown"], told["not-run"]
        printf "        doubled %d, false not-run %d, without a run %d, " \
            "foreign %d\n", doubled, false_not_run, invented, foreign
        exit doubled + false_not_run + invented + foreign > 0
    }' "$work/ran" "$work/told"
check "accounts of callers and targets agree" [ $? -eq 0 ]
critical=$(cat "$work"/entry-*.log | grep -c ' critical ')
check "no invariant failed in any entry process" [ "$critical" -eq 0 ]

if [ "$failures" -gt 0 ]; then
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    echo "faults: $failures checks failed"
    exit 1
fi
echo "faults: all checks passed"
