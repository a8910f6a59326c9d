#!/bin/bash
# Injects faults into real processes on loopback: kills, pauses, cut and silent
# connections, a platform that is down or stale, draining during a download,
# races of two operators and a rolling replacement. The results that callers
# received are compared with the executions that targets counted: no request
# may be lost, executed twice or reported wrongly.
# Usage: scripts/faults.sh BUILD_DIR
set -u
build=$1
work=$(mktemp -d)
net=127.0.78
entry_count=5
target_count=4
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/fleet.sh"
# Target 3 is reached through the relay, which can break its connections.
relays[3]=$net.240:21003

generate_keys
start_platform
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

# Succeeds when a command that is given one address reports all entry VMs.
reports_all() { # COMMAND
    [ "$("$build/rosemarypulley" "$@" --json --at "$net.1:18200" 2>/dev/null |
        grep -oE '"id":"entry-[0-9]+"' | sort -u | wc -l)" -eq $entry_count ]
}
check "status --all reports all entry VMs through one" reports_all status --all
check "timeline reports all entry VMs through one" reports_all timeline

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

echo "--      platform down; nothing can be published and nothing reverts"
platform_mode '{"mode":"down"}'
sleep 2
check "platform down: all agree" agree
kill -KILL "${entry_pid[4]}"
start_entry 4
check "platform down: a replaced VM gets the records of its peers in 8 s" \
    wait_for_version service/jobs 2 8000
platform_mode '{"mode":"stale","revision":1}'
kill -KILL "${entry_pid[5]}"
start_entry 5
check "platform stale: a replaced VM does not apply the old state" \
    wait_for_version service/jobs 2 8000
platform_mode '{"mode":"normal"}'

echo "--      two operators publish version 3 with different contents"
publish service/jobs "$(service_record 3 2500)" &
publisher=$!
publish service/jobs "$(service_record 3 2600)"
wait "$publisher"
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
before=$(executions 1 | wc -l)
sleep 2
check "drain: no new work 5 s after the publication" \
    [ "$(executions 1 | wc -l)" -eq "$before" ]
wait "$download"
check "drain: the download in flight completed" \
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

accounts_agree '^(post|roll2)'
check "results of callers and executions of targets agree" [ $? -eq 0 ]
critical=$(cat "$work"/entry-*.log | grep -c ' critical ')
check "no invariant failed in any entry process" [ "$critical" -eq 0 ]

if [ "$failures" -gt 0 ]; then
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    echo "faults: $failures checks failed"
    exit 1
fi
echo "faults: all checks passed"
