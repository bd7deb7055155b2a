#!/usr/bin/env bash
# Runs the example of Táknbrú on loopback: platform, leafs and six daemons in
# three data centres. Sends calls, changes the manifest, kills a daemon and a
# leaf, sends calls again, and stops all processes that it started. Called by
# meta/bulrushspring.sh demo. Exits 0 only if every check passes.
set -euo pipefail

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD:-$top/build}
address=${BULRUSHSPRING_DEMO_ADDRESS:-127.83.0.1}
work=$(mktemp -d)
daemons=6
killed_leaf=symbol-catalogue-3-b
declare -A process=()
failures=0

print_heading() { printf '\n== %s\n' "$*"; }

check() {
    local what=$1
    shift
    if "$@"; then
        printf 'ok: %s\n' "$what"
    else
        printf 'FAILED: %s\n' "$what"
        failures=$((failures + 1))
    fi
}

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    process[$name]=$!
}

stop_all() {
    local pid
    for pid in "${process[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${process[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    [ -n "${KEEP:-}" ] || rm -rf "$work"
}
trap stop_all EXIT

# Retries a command until it succeeds; fails after 600 tries, 0.1 s apart.
retry_until_success() {
    local tries=600
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

# value FILE SECTION KEY: prints a value of an INI file.
value() {
    awk -F' = ' -v section="[$2]" -v key="$3" '
        /^\[/ {inside = ($0 == section)}
        inside && $1 == key {print $2}' "$1"
}

write_settings() {
    local name=$1 fleet=$work/manifest/fleet.ini
    cat >"$work/$name.ini" <<INI
[daemon]
name = $name
data_centre = $(value "$fleet" "vm $name" data_centre)
region = $(value "$fleet" "data_centre $(value "$fleet" "vm $name" data_centre)" region)
[listen]
callers = $(value "$fleet" "vm $name" caller)
peers = $(value "$fleet" "vm $name" peer)
operators = $(value "$fleet" "vm $name" operators)
[platform]
address = $platform
[seeds]
first = $(value "$fleet" "vm entry-1" peer)
second = $(value "$fleet" "vm entry-2" peer)
[limits]
address_hold_ms = 1000
INI
}

publish() {
    "$build/bulrushspring-manifest" pack --version "$1" "$work/manifest" \
        "$work/published"
}

operators_of() { value "$work/manifest/fleet.ini" "vm entry-$1" operators; }

manifest_version_of() {
    curl -s "http://$(operators_of "$1")/v1/status" |
        grep -o '"manifest_version":[0-9]*' | head -1 | cut -d: -f2
}

version_in_force() {
    local version=$1
    shift
    local number
    for number in "$@"; do
        [ "$(manifest_version_of "$number")" = "$version" ] || return 1
    done
}

ask() {
    "$build/bulrushspring-ask" --data_centre rvk-1 --entries "$entries" "$@"
}

print_heading "platform and leafs"
cp -r "$top/examples/taknbru" "$work/manifest"
sed -i "s/127\.0\.0\.1/$address/" "$work/manifest"/*.ini
publish 1
start platform "$build/fake-platform" --address "$address" \
    --publish "$work/published" --port_file "$work/platform.port"
for pool in symbol-catalogue order-desk order-tracker carer-portal; do
    names=$(sed -n 's/^\[leaf \(.*\)\]$/\1/p' "$work/manifest/pool.$pool.ini" |
        grep -vx "$killed_leaf" | paste -sd,)
    start "leafs-$pool" "$build/fake-leaf" --address "$address" \
        --pool "$work/manifest/pool.$pool.ini" --names "$names" \
        --port_file "$work/$pool.port"
done
start "$killed_leaf" "$build/fake-leaf" --address "$address" --names "$killed_leaf" \
    --pool "$work/manifest/pool.symbol-catalogue.ini" \
    --port_file "$work/lost.port"
for file in platform symbol-catalogue order-desk order-tracker carer-portal lost; do
    retry_until_success test -s "$work/$file.port"
done
platform=$(sed -n 1p "$work/platform.port")
platform_admin=$(sed -n 2p "$work/platform.port")
echo "platform $platform, 105 leafs on $address"

print_heading "$daemons daemons in three data centres"
entries=
for ((i = 1; i <= daemons; ++i)); do
    write_settings "entry-$i"
    start "entry-$i" "$build/bulrushspringd" --settings "$work/entry-$i.ini"
    entries+="${entries:+,}$(value "$work/manifest/fleet.ini" "vm entry-$i" caller)"
done
check "version 1 is in force in every daemon" \
    retry_until_success version_in_force 1 $(seq 1 $daemons)
check "the first query is answered" \
    retry_until_success ask --service quick-find dog

print_heading "a query, a read and a non-idempotent request"
check "quick-find gives a complete answer" ask --service quick-find dog
check "order-tracker answers" ask --kind read --service order-tracker --key order-7
check "order-desk runs an order once" \
    ask --kind request --service order-desk --key order-8 --id demo-order-8 board
runs=$(curl -s "http://$(sed -n 1p "$work/order-desk.port")/admin/executions" |
    grep -o demo-order-8 | wc -l)
check "the target recorded exactly one execution" test "$runs" = 1

print_heading "a change of the manifest"
sed -i 's/^result_limit = .*/result_limit = 3/' "$work/manifest/service.quick-find.ini"
publish 2
begin=$(date +%s%N)
curl -s -X POST "http://$platform_admin/admin/publish?folder=$work/published"
check "version 2 is in force in every daemon" \
    retry_until_success version_in_force 2 $(seq 1 $daemons)
echo "in force in every daemon after $((($(date +%s%N) - begin) / 1000000)) ms"
check "quick-find answers under version 2" ask --service quick-find cat

print_heading "one daemon and one leaf are killed"
kill -KILL "${process[entry-1]}" "${process[$killed_leaf]}"
wait "${process[entry-1]}" "${process[$killed_leaf]}" 2>/dev/null || true
unset "process[entry-1]" "process[$killed_leaf]"
for word in fish bird sun moon rain; do
    check "quick-find '$word' still gets a complete answer" \
        ask --service quick-find "$word"
done
check "order-desk still runs an order" \
    ask --kind request --service order-desk --key order-9 board

print_heading "events logged by entry-2 (docs/EVENTS.md)"
grep -hoE 'E[0-9]{4} .*' "$work/entry-2.log" | awk '!seen[$1]++' | cut -c1-150

print_heading "graceful shutdown"
for ((i = 2; i <= daemons; ++i)); do
    kill -TERM "${process[entry-$i]}"
done
for ((i = 2; i <= daemons; ++i)); do
    check "entry-$i exits with status 0" wait "${process[entry-$i]}"
    unset "process[entry-$i]"
done

print_heading "result"
if [ "$failures" -gt 0 ]; then
    echo "$failures checks failed"
    exit 1
fi
echo "all checks passed"
