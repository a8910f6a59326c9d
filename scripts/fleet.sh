# Functions for runs of real processes on loopback, shared by faults.sh and
# fault_soak.sh. They use $build, $work, $net, $entry_count, $target_count and
# $relays (by target number, the relay's address for a target behind it).
# shellcheck shell=bash
operator=http://$net.250:18900
declare -A entry_pid target_pid relays
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
        --platform "${platform_url:-$operator}" --boot-wait-ms 4000 --address-ttl-ms 1000 \
        --first-byte-ms 500 --fleet-size $entry_count \
        --stop-timeout-ms "${stop_timeout_ms:-30000}" \
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
    for i in $(seq "$target_count"); do
        address=${relays[$i]:-$net.$((100 + i)):21000}
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

# Prints the digests in force of the entry VMs that answer, one per line.
digests() {
    "$build/rosemarypulley" status --json --at "$admin" 2>/dev/null |
        grep -oE '"digest":"[0-9a-f]+"' | sort
}

# Prints the version of a record in force at each entry VM, one per line.
version_in_force() { # KEY
    "$build/rosemarypulley" status --at "$admin" 2>/dev/null |
        awk -v key="$1" '$1 == "record" && $2 == key { print $4 }'
}

# Waits until the version is in force on all entry VMs; prints the time taken.
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

# Succeeds when all entry VMs answer with the same digest.
agree() {
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

# Prints how often a target executed each request, "id count" per line.
executions() { # TARGET_NUMBER
    curl -s -m 5 "http://$net.$((100 + $1)):21000/ran"
}

relay() { # COMMAND
    exec 4<>"/dev/tcp/$net.240/18300" && echo "$1" >&4 && exec 4>&-
}

# Compares the results that callers received with the executions that targets
# counted. Requests whose id matches the pattern may not be executed twice.
accounts_agree() { # PATTERN
    local i
    for i in $(seq "$target_count"); do
        executions "$i"
    done >"$work/ran"
    cat "$work"/*.session >"$work/told"
    awk -v once="$1" '
    FNR == NR { executed[$1] += $2; next }
    {
        id = substr($1, 4); result = substr($2, 8); own = substr($5, 5)
        results[result]++
        if (own != "1") foreign++
        if (id ~ once && executed[id] > 1) doubled++
        if (result == "done" && executed[id] == 0) not_executed++
        if (result == "not-run" && executed[id] > 0) false_not_run++
    }
    END {
        printf "        results: done %d, unknown %d, not-run %d\n",
            results["done"], results["unknown"], results["not-run"]
        printf "        executed twice %d, false not-run %d, " \
            "done but not executed %d, answers of others %d\n",
            doubled, false_not_run, not_executed, foreign
        exit doubled + false_not_run + not_executed + foreign > 0
    }' "$work/ran" "$work/told"
}

# Starts the platform's stand-in with a list of the entry VMs.
start_platform() {
    local i vms=
    mkdir -p "$work/platform/records"
    for i in $(seq "$entry_count"); do
        vms+="${vms:+,}{\"id\":\"entry-$i\",\"role\":\"entry\",
            \"address\":\"$net.$i:18000\",\"peer\":\"$net.$i:18100\",
            \"domain\":\"domain-$((i % 3))\",\"state\":\"live\"}"
    done
    echo "[$vms]" >"$work/platform/vms.json"
    "$build/rp-standin" platform --listen "$net.250:18900" \
        --directory "$work/platform" --lifetime-s 300 >/dev/null 2>&1 &
    pids+=($!)
}

generate_keys() {
    eval "$("$build/rosemarypulley" keygen)"
    export ROSEMARYPULLEY_PEER_PUBLIC_KEY ROSEMARYPULLEY_PEER_SECRET_KEY
    export ROSEMARYPULLEY_FLEET_KEY
}
