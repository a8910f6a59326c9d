#!/bin/sh
# Builds the libFuzzer targets with clang and runs each for SECONDS.
# Usage: scripts/fuzz.sh BUILD_DIR [SECONDS]
# A crash is kept as BUILD_DIR/NAME-crash-HASH; turn it into a test.
set -eu
build=$1
seconds=${2:-${FUZZ_SECONDS:-30}}

cmake -S . -B "$build" -G Ninja -DRP_FUZZ=ON -DCMAKE_C_COMPILER=clang \
    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
targets=$(for source in fuzz/fuzz_*.c; do basename "$source" .c; done)
# shellcheck disable=SC2086
cmake --build "$build" -j 3 --target $targets
for target in $targets; do
    mkdir -p "$build/corpus/$target"
    seeds=fuzz/seeds/$target
    [ -d "$seeds" ] || seeds=
    echo "fuzz: $target for $seconds s"
    # shellcheck disable=SC2086
    "$build/$target" -max_total_time="$seconds" -max_len=4096 \
        -rss_limit_mb=1024 -timeout=10 -print_final_stats=1 \
        -artifact_prefix="$build/$target-" \
        "$build/corpus/$target" $seeds 2>"$build/$target.log" || {
        tail -40 "$build/$target.log"
        echo "fuzz: $target failed"
        exit 1
    }
    grep -E 'number_of_executed_units|peak_rss_mb' "$build/$target.log"
done
echo "fuzz: no findings"
