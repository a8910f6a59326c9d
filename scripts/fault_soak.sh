#!/bin/bash
# A randomized soak of real processes on loopback. The seed determines a series
# of overlapping faults: entry processes are killed, paused, stopped, restarted
# and signalled; the relay delays, resets, cuts (in one or both directions) or
# silences connections to targets and to the platform; targets pause, the
# platform fails or turns stale, records change and targets drain. Callers
# reuse open connections. Their results are compared with the executions that
# targets counted, and the fleet must agree and serve again after the faults.
# Other callers pipeline and stay connected while a process stops as planned.
# Usage: scripts/fault_soak.sh BUILD_DIR SEED [SECONDS [ENTRIES [TARGETS]]]
# KEEP=DIR keeps the logs of a failed run. RESTORES=1 adds times in which the
# platform is away and comes back from an older copy; they are drawn apart, so
# that the other faults of a seed stay as they are.
set -u
build=$1
seed=$2
duration=${3:-15}
entry_count=${4:-5}
target_count=${5:-4}
work=$(mktemp -d)
net=127.$((20 + seed % 200)).$((seed / 200 % 250))
# Two runs with the same addresses would share targets; the second one waits.
exec 9>"${TMPDIR:-/tmp}/rosemarypulley-$net.lock"
flock 9
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/fleet.sh"

links=()
for i in $(seq "$target_count"); do
    relays[$i]=$net.240:$((21000 + i))
    links+=(--link "$net.240:$((21000 + i))=$net.$((100 + i)):21000")
done
# The last link connects the entry VMs to the platform.
links+=(--link "$net.240:18900=$net.250:18900")
platform_link=$target_count
platform_url=http://$net.240:18900
stop_timeout_ms=2000

expected_ends=0
stopped=() # entry processes that are not running, by number

has_grown() { # FILE BYTES
    [ "$(stat -c %s "$1")" -gt "$2" ]
}

# Restarts a stopped entry process and waits for its first log line: a signal
# that arrives before the program is loaded ends the process in any case.
restart() { # NUMBER
    local log=$work/entry-$1.log bytes
    bytes=$(stat -c %s "$log")
    start_entry "$1"
    wait_until 2000 has_grown "$log" "$bytes"
    unset "stopped[$1]"
}

request() { # METHOD QUERY ID
    printf '%s /jobs?%s HTTP/1.1\r\nHost: x\r\nRP-Request-Id: %s\r\n' "$@"
    printf 'Content-Length: 0\r\n\r\n'
}

# Opens three connections to an entry process, sends requests and keeps the
# connections open until the process closes them. The first request may take
# longer than a stop; two are pipelined behind it, and one is sent 0.4 s later.
holders=()
hold_connections() { # NUMBER
    local name slow_ms=$(((seed * 31 + expected_ends * 977) % 4000)) first
    for first in "GET sleep_ms=$slow_ms" "POST sleep_ms=$slow_ms" "GET bytes=9"; do
        name=held-$expected_ends-${#holders[@]}
        (
            exec 3<>"/dev/tcp/$net.$1/18000" || exit
            : >"$work/$name.open"
            # shellcheck disable=SC2086  # method and query are two words
            {
                request $first "$name-1"
                request GET bytes=20 "$name-2"
                request POST bytes=30 "$name-3"
                sleep 0.4
                request GET bytes=40 "$name-4"
            } >&3 &
            exec cat <&3
        ) >"$work/$name.held" 2>/dev/null &
        holders+=($!)
    done
    sleep 0.1
}

# Succeeds when the first request of each of these connections, and all that a
# target ran, were answered or refused.
holders_agree() {
    local lost
    lost=$({
        grep -o '^held-[0-9-]*' "$work/ran"
        for held in "$work"/held-*.open; do
            [ ! -e "$held" ] || basename "$held" .open | sed 's/$/-1/'
        done
    } | sort -u | while read -r id; do
        grep -aq "RP-Request-Id: $id"$'\r' "$work/${id%-*}.held" || echo "$id"
    done)
    # shellcheck disable=SC2086  # one line
    echo "        connections kept during stops: ${#holders[@]}, lost:" $lost
    [ -z "$lost" ]
}

end_entry() { # NUMBER SIGNAL
    [ -z "${stopped[$1]:-}" ] || return
    stopped[$1]=1
    kill -CONT "${entry_pid[$1]}" 2>/dev/null
    [ "$2" != TERM ] || hold_connections "$1"
    kill "-$2" "${entry_pid[$1]}" 2>/dev/null
    wait "${entry_pid[$1]}" 2>/dev/null
    expected_ends=$((expected_ends + 1))
}

# Prints the schedule of a seed, "MILLISECOND ACTION ARGUMENT VALUE" per line.
# Each fault ends at its own time, so that faults overlap.
schedule() {
    awk -v seed="$seed" -v until="$((duration * 1000))" \
        -v entries="$entry_count" -v targets="$target_count" '
    function random_below(n) { return int(rand() * n) }
    BEGIN {
        srand(seed)
        split("kill term pause hup relay relay relay relay target platform " \
              "store config drain", kinds, " ")
        split("cut hole deaf mute silence reset delay", link_faults, " ")
        split("down stale", modes, " ")
        for (at = 500; at < until; at += 150 + random_below(1200)) {
            kind = kinds[1 + random_below(13)]
            ends = at + 200 + random_below(3500)
            if (kind == "kill" || kind == "term") {
                entry = 1 + random_below(entries)
                print at, kind, entry
                print ends, "start", entry
            }
            else if (kind == "pause") {
                entry = 1 + random_below(entries)
                print at, "stop", entry
                print ends, "continue", entry
            }
            else if (kind == "hup") print at, "hup", 1 + random_below(entries)
            else if (kind == "relay") {
                link = random_below(targets + 1)
                fault = link_faults[1 + random_below(7)]
                print at, "relay", link,
                    fault (fault == "delay" ? " " random_below(400) : "")
                print ends, "relay", link, "pass"
            }
            else if (kind == "target") {
                target = 1 + random_below(targets)
                print at, "stop-target", target
                print ends, "continue-target", target
            }
            else if (kind == "platform") {
                print at, "mode", modes[1 + random_below(2)]
                print ends, "mode", "normal"
            }
            else if (kind == "store") {
                print at, "relay", targets, "hole"
                print ends, "relay", targets, "pass"
            }
            else if (kind == "config") print at, "config"
            else {
                print at, "drain", "draining"
                print ends, "drain", "serving"
            }
        }
    }' | sort -n
}

# Prints when the platform comes back from an older copy, in the same form. It
# loses the latest 1 to 6 changes; the operator writes its newest records again
# up to 1.5 s later, or before any VM can read the copy.
restores() {
    [ -n "${RESTORES:-}" ] || return
    awk -v seed="$seed" -v until="$((duration * 1000))" '
    function random_below(n) { return int(rand() * n) }
    BEGIN {
        srand(seed + 1000000)
        for (at = 1500; at < until; at += 2000 + random_below(4000)) {
            back = at + 50 + random_below(1500)
            print at, "mode", "down"
            print back, "restore", 1 + random_below(6)
            print back + (rand() < 0.3 ? 0 : random_below(1500)), "rewrite"
            print back + 1, "mode", "normal"
        }
    }'
}

service_version=1
targets_version=1
declare -A written # newest record of each key

# Publishes a record, which is written again after a restore.
write_record() { # KEY VALUE
    written[$1]=$2
    publish "$1" "$2"
}

# Takes the latest changes back, but for the first one.
restore_platform() { # CHANGES
    local revision
    # The answer to a change of the mode has the revision, also while down.
    revision=$(curl -s -m 2 -X PUT --data-binary '{"mode":"down"}' \
        "$operator/operator/mode" | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p')
    [ -n "$revision" ] || return
    revision=$((revision > $1 ? revision - $1 : 1))
    curl -s -f -m 2 -o /dev/null -X PUT --data-binary \
        "{\"revision\":$revision}" "$operator/operator/restore" &&
        restore_count=$((restore_count + 1))
}
restore_count=0

relay_command() { # LINK MODE [MS]
    if [ "$2" = delay ]; then
        relay "delay $3 $1"
    else
        relay "$2 $1"
    fi
}

apply_action() { # ACTION ARGUMENT VALUE...
    local action=$1
    shift
    case $action in
    kill) end_entry "$1" KILL ;;
    term) end_entry "$1" TERM ;;
    start) [ -z "${stopped[$1]:-}" ] || restart "$1" ;;
    stop) [ -n "${stopped[$1]:-}" ] || kill -STOP "${entry_pid[$1]}" ;;
    continue) [ -n "${stopped[$1]:-}" ] || kill -CONT "${entry_pid[$1]}" ;;
    hup) [ -n "${stopped[$1]:-}" ] || kill -HUP "${entry_pid[$1]}" ;;
    relay) relay_command "$@" ;;
    stop-target) kill -STOP "${target_pid[$1]}" ;;
    continue-target) kill -CONT "${target_pid[$1]}" ;;
    mode) platform_mode "{\"mode\":\"$1\",\"revision\":1}" ;;
    config)
        service_version=$((service_version + 1))
        write_record service/jobs "$(service_record $service_version \
            $((3000 + service_version)))"
        ;;
    drain)
        targets_version=$((targets_version + 1))
        write_record targets/jobs/new \
            "$(targets_record $targets_version "$1")"
        ;;
    restore) restore_platform "$1" ;;
    rewrite)
        for key in "${!written[@]}"; do
            publish "$key" "${written[$key]}"
        done
        ;;
    esac
}

generate_keys
start_platform
"$build/rp-standin" relay --control "$net.240:18300" "${links[@]}" \
    >/dev/null 2>&1 &
pids+=($!)
for i in $(seq "$target_count"); do
    start_target "$i"
done
wait_until 3000 publish service/jobs "$(service_record 1 3000)"
written[service/jobs]=$(service_record 1 3000)
write_record targets/jobs/new "$(targets_record 1 serving)"
for i in $(seq "$entry_count"); do
    start_entry "$i"
done
check "seed $seed: one configuration in force on all" \
    wait_for_version targets/jobs/new 1 15000
for i in 1 2 3; do
    start_session "post$i" POST "$duration" "/jobs?bytes=40"
    start_session "get$i" GET "$duration" "/jobs?bytes=400"
done

began=$(now_ms)
while read -r at action arguments; do
    wait_ms=$((at - ($(now_ms) - began)))
    ((wait_ms <= 0)) ||
        sleep "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))"
    # shellcheck disable=SC2086  # arguments are split into words on purpose
    apply_action "$action" $arguments
done < <({ schedule; restores; } | sort -n -s -k 1,1)

# Undoes the faults that last; the checks below have stated bounds.
relay pass
platform_mode '{"mode":"normal"}'
for i in $(seq "$entry_count"); do
    [ -z "${stopped[$i]:-}" ] || restart "$i"
    kill -CONT "${entry_pid[$i]}"
done
wait "${sessions[@]}"
sessions=()
targets_version=$((targets_version + 1))
service_version=$((service_version + 1))
wait_until 3000 publish targets/jobs/new \
    "$(targets_record $targets_version serving)"
wait_until 3000 publish service/jobs "$(service_record $service_version 3000)"
# An accepted configuration is in force everywhere within 8 s (capacity page).
check "seed $seed: the last service record is in force within 8 s" \
    wait_for_version service/jobs $service_version 8000
check "seed $seed: all agree within 8 s" wait_until 8000 agree
start_session calm GET 3 "/jobs?bytes=400"
wait "${sessions[@]}"
failed_calls=$(grep -vc ' result=done ' "$work/calm.session")
check "seed $seed: all calls succeed after faults (failed: $failed_calls)" \
    [ "$failed_calls" -eq 0 ]
[ ${#holders[@]} -eq 0 ] || wait "${holders[@]}"
accounts_agree '^post'
check "seed $seed: results of callers and executions of targets agree" \
    [ $? -eq 0 ]
check "seed $seed: stops lose no request of callers that stay connected" \
    holders_agree
alive=0
for i in $(seq "$entry_count"); do
    kill -0 "${entry_pid[$i]}" 2>/dev/null && alive=$((alive + 1))
done
check "seed $seed: no entry process exited unexpectedly" \
    [ "$alive" -eq "$entry_count" ]
critical=$(cat "$work"/entry-*.log | grep -c ' critical ')
check "seed $seed: no invariant failed" [ "$critical" -eq 0 ]

if [ "$failures" -gt 0 ]; then
    [ -n "${KEEP:-}" ] && { schedule; restores; } | sort -n -s -k 1,1 >"$work/schedule" &&
        cp -r "$work" "$KEEP/seed-$seed"
    echo "fault soak: seed $seed failed $failures checks" \
        "($expected_ends ends, $restore_count restores)"
    exit 1
fi
echo "fault soak: seed $seed passed ($expected_ends ends," \
    "$restore_count restores)"
