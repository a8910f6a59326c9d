#!/bin/bash
# Measures the figures of docs/CAPACITY.md: the cost of each role of an entry
# VM by the number of targets, services, records, peers, calls and connections,
# with at least three points each and a least-squares fit. Takes less than
# 3 minutes. Usage: scripts/capacity.sh BUILD_DIR
set -u
build=$1
net=127.0.80
work=$(mktemp -d)
pids=()
status=0

stop_all() {
    [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM

# Reads points "x y", one per line, and prints them with the fitted line.
fit() { # X_NAME Y_NAME
    awk -v x_name="$1" -v y_name="$2" '
        NF == 2 {
            n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2
            printf "  point  %s %s: %s %s\n", $1, x_name, $2, y_name
        }
        END {
            spread = n * sxx - sx * sx
            if (n < 3 || spread == 0) { print "  FAILED too few points"; exit 1 }
            slope = (n * sxy - sx * sy) / spread
            printf "  fit    %s = %.6g + %.6g * %s  (%d points)\n", y_name,
                (sy - slope * sx) / n, slope, x_name, n
        }' || status=1
}

# Prints "X Y" for the lines of a file with both fields, as X_FIELD=VALUE.
fields() { # FILE X_FIELD Y_FIELD
    sed -nE "s/.*\b$2=([0-9.]+).*\b$3=([0-9.]+).*/\1 \2/p" "$1"
}

# CPU time of all threads of a process in microseconds. schedstat counts in
# nanoseconds; the ticks of /proc/PID/stat are too coarse for a quiet process.
cpu_us() { # PID
    cat "/proc/$1"/task/*/schedstat |
        awk '{ sum += $1 } END { printf "%d\n", sum / 1000 }'
}

rss_kb() { # PID
    awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}

metric() { # NAME
    curl -s -m 2 "http://$net.1:18200/metrics" |
        awk -v name="rosemarypulley_$1" '$1 == name { print $2 }'
}

# Writes the records of services and sets $records to the file names. The
# addresses are those of start_targets.
write_records() { # SERVICES TARGETS_EACH [SLOTS]
    local service target list number=0
    records=
    for ((service = 0; service < $1; service++)); do
        list=
        for ((target = 0; target < $2; target++)); do
            list+="${list:+,}{\"name\":\"t$number\",\"domain\":\"d1\",
                \"address\":\"$net.$((100 + number % 100)):$((21000 +
                number / 100))\",\"state\":\"serving\",\"slots\":${3:-6}}"
            number=$((number + 1))
        done
        echo "{\"schema\":2,\"kind\":\"service\",\"name\":\"s$service\",
            \"version\":1,\"timeout_ms\":9000,\"probes_per_10s\":5,
            \"match\":{\"path_prefix\":\"/s$service\"}}" \
            >"$work/service$service.json"
        echo "{\"schema\":2,\"kind\":\"targets\",\"service\":\"s$service\",
            \"estate\":\"new\",\"version\":1,\"targets\":[$list]}" \
            >"$work/targets$service.json"
        records+="${records:+,}$work/service$service.json"
        records+=",$work/targets$service.json"
    done
}

start_targets() { # COUNT [SLOTS]
    local number
    for ((number = 0; number < $1; number++)); do
        "$build/rp-standin" target --address "$net.$((100 + number)):21000" \
            --slots "${2:-6}" --life-s 120 >>"$work/log" 2>&1 &
        pids+=($!)
    done
}

start_entry() { # FLEET_SIZE
    "$build/rosemarypulley" serve --id vm-1 --domain d1 \
        --caller-address "$net.1:18000" --peer-address "$net.1:18100" \
        --admin-address "$net.1:18200" --records "$records" \
        --boot-wait-ms 0 --fleet-size "$1" --log-level warning \
        >>"$work/log" 2>&1 &
    entry=$!
    pids+=("$entry")
    for _ in $(seq 50); do
        curl -s -f -m 1 -o /dev/null "http://$net.1:18200/healthz" && break
        sleep 0.1
    done
    sleep 1
}

# Sends requests at several rates; prints CPU and memory points and their fits.
load_at_rates() { # NAME PATH RATE...
    local name=$1 path=$2 rate before line answered
    shift 2
    for rate in "$@"; do
        before=$(cpu_us "$entry")
        line=$("$build/rp-standin" load -s "$net.1:18000" -p "$path" \
            -r "$rate" -d 4 -c 32)
        echo "  run    $line"
        answered=$(sed -nE 's/.*calls\/s=([0-9.]+).*/\1/p' <<<"$line")
        echo "$answered $((($(cpu_us "$entry") - before) / 4))" \
            >>"$work/$name.cpu"
        echo "$answered $(rss_kb "$entry")" >>"$work/$name.rss"
    done
    fit "per s" "CPU us per s" <"$work/$name.cpu"
    fit "per s" "resident kB" <"$work/$name.rss"
}

measure_requests() {
    local rate before idle loader
    write_records 1 4
    start_targets 4
    start_entry 14
    echo "== entry path: calls per second"
    load_at_rates calls /s0 2000 5000 8000 12000
    echo "== entry path: calls that may not be repeated, per second"
    for rate in 500 1000 2000; do
        before=$(cpu_us "$entry")
        "$build/rp-standin" load -s "$net.1:18000" -p /s0 -m POST -r "$rate" \
            -d 3 -c 32 | sed 's/^/  run    /'
        echo "$rate $((($(cpu_us "$entry") - before) / 3))" >>"$work/once"
    done
    fit "per s" "CPU us per s" <"$work/once"
    echo "== address answers: answers per second"
    load_at_rates answers "/v1/addresses?service=s0" 1000 2500 4000
    echo "== entry path: idle connections of callers"
    for idle in 0 2000 5000; do
        "$build/rp-standin" load -s "$net.1:18000" -p /s0 -r 100 -d 4 -c 4 \
            -i "$idle" >>"$work/log" &
        loader=$!
        sleep 3
        echo "$idle $(rss_kb "$entry")" >>"$work/idle"
        wait "$loader"
    done
    fit connections "resident kB" <"$work/idle"
    stop_all
}

# Downloads of 3 s, all by one curl process.
measure_calls_in_progress() {
    local calls loader
    write_records 1 4 100
    start_targets 4 100
    start_entry 1
    for calls in 50 100 200; do
        curl -s -m 9 -Z --parallel-immediate --parallel-max 300 -o "$work/page" \
            -H "RP-Timeout-Ms: 9000" \
            "http://$net.1:18000/s0?bytes=150000&rate=50000&x=[1-$calls]" 2>/dev/null &
        loader=$!
        sleep 1.5
        echo "$(metric calls_open) $(rss_kb "$entry")" >>"$work/open"
        wait "$loader"
    done
    echo "== entry path: calls in progress (slow downloads)"
    fit calls "resident kB" <"$work/open"
    stop_all
}

# The targets are not started. With a fleet size of 14 no probe is due within
# the measured time, which the printed count of probes confirms.
measure_services() {
    local services before started page
    for services in 5 17 51; do
        write_records "$services" 10
        start_entry 14
        echo "$((services * 10)) $(rss_kb "$entry")" >>"$work/services.rss"
        before=$(cpu_us "$entry")
        sleep 4
        echo "$((services * 10)) $((($(cpu_us "$entry") - before) / 4))" \
            >>"$work/services.cpu"
        echo "  run    services=$services probes=$(metric probes_total)"
        for page in metrics status; do
            started=$(cpu_us "$entry")
            for _ in $(seq 100); do
                curl -s -m 2 -o "$work/page" "http://$net.1:18200/$page"
            done
            echo "$((services * 10)) $((($(cpu_us "$entry") - started) / 100))" \
                >>"$work/$page.cpu"
            echo "$((services * 10)) $(stat -c %s "$work/page")" \
                >>"$work/$page.bytes"
        done
        stop_all
    done
    echo "== whole process without calls: targets (10 a service)"
    fit targets "resident kB" <"$work/services.rss"
    fit targets "CPU us per s" <"$work/services.cpu"
    for page in metrics status; do
        echo "== status: /$page against targets"
        fit targets "CPU us a page" <"$work/$page.cpu"
        fit targets "bytes a page" <"$work/$page.bytes"
    done
}

# With a fleet size of 1 this VM has the whole probe budget of the targets.
measure_prober() {
    local count before probes
    for count in 6 12 24; do
        write_records "$((count / 6))" 6
        start_targets "$count"
        start_entry 1
        before=$(cpu_us "$entry")
        probes=$(metric probes_total)
        sleep 6
        probes=$(($(metric probes_total) - probes))
        echo "$count $(awk "BEGIN { print $probes / 6 }")" >>"$work/probes"
        echo "$(awk "BEGIN { print $probes / 6 }")" \
            "$((($(cpu_us "$entry") - before) / 6))" >>"$work/probes.cpu"
        stop_all
    done
    echo "== prober: targets that get no calls, fleet size 1"
    fit targets "probes per s" <"$work/probes"
    fit "probes per s" "CPU us per s" <"$work/probes.cpu"
}

measure_peers() {
    local count
    for count in 3 14 50; do
        PEERS_IP=$net.2 scripts/peers.sh "$build" "$count" 10 |
            sed -E 's/ in force after ([0-9.]+) ms \(median\) ([0-9.]+) ms.*/ lag_ms=\2/
                s/.*sent ([0-9.]+)\/s ([0-9]+) B\/s, received ([0-9.]+)\/s ([0-9]+) B.*CPU ([0-9.]+)%.*memory ([0-9]+) kB/messages=\1 bytes=\2 in=\3 in_bytes=\4 cpu=\5 kb=\6/' |
            awk -v count="$count" '
                /^messages=/ {
                    n++
                    for (i = 1; i <= NF; i++) {
                        split($i, part, "=")
                        value = part[2] + 0
                        sum[part[1]] += value
                        if (value > max[part[1]]) max[part[1]] = value
                    }
                }
                END {
                    if (n != count) exit 1
                    printf "vms=%d sent_per_s=%.1f sent_bytes_per_s=%.0f " \
                        "received_bytes_per_s=%.0f most_bytes_per_s=%d " \
                        "cpu_us_per_s=%.0f rss_kb=%.0f worst_lag_ms=%.1f\n",
                        n, sum["messages"] / n, sum["bytes"] / n,
                        sum["in_bytes"] / n,
                        max["bytes"] + max["in_bytes"],
                        sum["cpu"] / n * 10000, sum["kb"] / n, max["lag_ms"]
                }' >>"$work/peers" || status=1
    done
    echo "== peer exchange: VMs (CPU and bytes with start and one record each 2 s)"
    sed 's/^/  run    /' "$work/peers"
    for field in sent_per_s sent_bytes_per_s cpu_us_per_s rss_kb; do
        # The out-degree is ceil(log2 VMs).
        fields "$work/peers" vms "$field" |
            awk '{ for (d = 0; 2 ^ d < $1; d++); print d, $2 }' |
            fit neighbours "$field"
    done
}

measure_records() {
    echo "== configuration reader: records and targets"
    "$build/rp-tests" --gtest_filter='record_cost.*' |
        grep '^services=' | tee "$work/records" | sed 's/^/  run    /'
    for field in value_bytes parse_and_join_us known_again_us set_bytes; do
        fields "$work/records" records "$field" | fit records "$field"
    done
    for field in build_us snapshot_bytes; do
        fields "$work/records" targets "$field" | fit targets "$field"
    done
    echo "== configuration reader: reads from the platform"
    "$build/rp-tests" --gtest_filter='watch.reads_per_second' |
        grep '^vms=' | tee "$work/reads" | sed 's/^/  run    /'
    fields "$work/reads" vms peers-cut | fit VMs "reads per s, peers cut"
    fields "$work/reads" vms ordinary | fit VMs "reads per s, ordinary"
}

# Measures the size of a platform answer with the list of all VMs.
measure_vm_list() {
    local count number list
    for count in 50 180 530; do
        list=
        for ((number = 0; number < count; number++)); do
            list+="${list:+,}{\"id\":\"refill-log-old-$number\",
                \"role\":\"target\",\"address\":\"10.20.30.100:21000\",
                \"domain\":\"la-trinidad\",\"state\":\"live\"}"
        done
        mkdir -p "$work/platform/records"
        echo "[$list]" >"$work/platform/vms.json"
        "$build/rp-standin" platform --listen "$net.1:18900" \
            --directory "$work/platform" --lifetime-s 60 >>"$work/log" 2>&1 &
        pids+=($!)
        sleep 1
        echo "$count $(curl -s -m 2 "http://$net.1:18900/vms" | wc -c)" \
            >>"$work/vm_list"
        stop_all
    done
    echo "== configuration reader: list of VMs"
    fit VMs "bytes an answer" <"$work/vm_list"
}

measure_decisions() {
    echo "== entry path: instructions of a decision"
    scripts/instructions.sh "$build/rp-bench" | tee "$work/decisions" |
        sed 's/^/  run    /'
    awk '$2 == "targets:" { print $1, $3 }' "$work/decisions" |
        fit targets instructions
}

eval "$("$build/rosemarypulley" keygen)"
export ROSEMARYPULLEY_PEER_PUBLIC_KEY ROSEMARYPULLEY_PEER_SECRET_KEY
export ROSEMARYPULLEY_FLEET_KEY
echo "load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
measure_records
measure_vm_list
measure_decisions
measure_requests
measure_calls_in_progress
measure_services
measure_prober
measure_peers
echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
exit $status
