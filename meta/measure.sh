#!/usr/bin/env bash
# Measures queries through one daemon over SHARDS shards with two replicas each,
# while 0%, 1% and 5% of the leaf requests straggle: latency, coverage, extra
# load and the daemon's processor time per leaf request. Prints a Markdown
# table. Uses loopback only and takes about a minute.
set -euo pipefail

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD:-$top/build}
shards=${SHARDS:-180}
rate=${RATE:-20}
seconds=${SECONDS_EACH:-10}
address=${BULRUSHSPRING_MEASURE_ADDRESS:-127.84.0.1}
work=$(mktemp -d)
pids=()
stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local log=$1
    shift
    "$@" >"$work/$log.log" 2>&1 &
    pids+=($!)
}

retry_until_success() {
    local tries=300
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "no success within 30 s: $*" >&2; exit 1; }
        sleep 0.1
    done
}

processor_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

start leafs "$build/fake-leaf" --address "$address" --leafs $((2 * shards)) \
    --shards "$shards" --slots 8 --service_time_ms 5 --service_time constant \
    --pool_file "$work/pool" --port_file "$work/leafs.port"
retry_until_success test -s "$work/leafs.port"
leafs_admin=$(sed -n 1p "$work/leafs.port")

mkdir "$work/manifest"
cp "$work/pool" "$work/manifest/pool.index.ini"
printf '[fleet]\nspare_vms = 1\n[data_centre dc-1]\nregion = r\n[vm entry-1]\ndata_centre = dc-1\ncaller = %s:7001\npeer = %s:7002\noperators = %s:7003\n' \
    "$address" "$address" "$address" >"$work/manifest/fleet.ini"
printf '[service]\nkind = query\npool = index\ndeadline_ms = 1000\nhedge_budget = %s\nwait_for_coverage = yes\n' \
    "${HEDGE_BUDGET:-0.05}" >"$work/manifest/service.find.ini"
printf '[vm entry-1]\nstate = live\n' >"$work/manifest/vms"
"$build/bulrushspring-manifest" pack --version 1 "$work/manifest" "$work/out" >/dev/null
start platform "$build/fake-platform" --address "$address" \
    --publish "$work/out" --port_file "$work/platform.port"
retry_until_success test -s "$work/platform.port"
cat >"$work/entry.ini" <<INI
[daemon]
name = entry-1
data_centre = dc-1
region = r
[listen]
callers = $address:7001
peers = $address:7002
operators = $address:7003
[platform]
address = $(sed -n 1p "$work/platform.port")
[limits]
address_hold_ms = 1000
INI
start daemon "$build/bulrushspringd" --settings "$work/entry.ini"
daemon=${pids[-1]}
retry_until_success "$build/bulrushspring-ask" --entries "$address:7001" --service find a

header=true
for share in 0 0.01 0.05; do
    curl -s -X POST "http://$leafs_admin/admin/faults?straggle_share=$share&straggler_ms=100"
    before=$(processor_ticks "$daemon")
    "$build/bulrushspring-load" --entries "$address:7001" --service find \
        --rate "$rate" --duration_s "$seconds" --deadline_ms 1000 \
        --leafs "$leafs_admin" --label "$shards shards, straggling $share" \
        --header=$header
    after=$(processor_ticks "$daemon")
    awk -v t=$((after - before)) -v n="$(awk "BEGIN{print $rate * $seconds * $shards}")" \
        'BEGIN {printf "<!-- daemon: %.1f us of processor time per leaf request -->\n", t * 10000 / n}'
    header=false
done
