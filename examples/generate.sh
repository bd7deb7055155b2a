#!/usr/bin/env bash
# Generates the manifests of the current deployments of both users, as sections
# that bulrushspring-manifest checks and packs.
# usage: generate.sh [FOLDER]
# All addresses are on loopback, and each has its own port.
set -euo pipefail

out=${1:-$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)}

# fleet FOLDER PREFIX REGION VMS FIRST_PORT DATA_CENTRE...
# Writes VMS entry VMs, assigned to the data centres round-robin.
fleet() {
    local folder=$1 prefix=$2 region=$3 vms=$4 port=$5
    shift 5
    local centres=("$@")
    {
        printf '[fleet]\nspare_vms = 2\n'
        for centre in "${centres[@]}"; do
            printf '[data_centre %s]\nregion = %s\n' "$centre" "$region"
        done
        for ((i = 1; i <= vms; ++i)); do
            printf '[vm %s-%d]\n' "$prefix" "$i"
            printf 'data_centre = %s\n' "${centres[(i - 1) % ${#centres[@]}]}"
            printf 'caller = 127.0.0.1:%d\n' $((port + 3 * i))
            printf 'peer = 127.0.0.1:%d\n' $((port + 3 * i + 1))
            printf 'operators = 127.0.0.1:%d\n' $((port + 3 * i + 2))
        done
    } >"$out/$folder/fleet.ini"
    for ((i = 1; i <= vms; ++i)); do
        printf '[vm %s-%d]\nstate = live\n' "$prefix" "$i"
    done >>"$out/$folder/vms"
}

# pool FOLDER NAME SHARDS REPLICAS SLOTS CONNECTIONS COST_MS FIRST_PORT CENTRE...
# Writes REPLICAS leafs per shard, assigned to the data centres round-robin.
pool() {
    local folder=$1 name=$2 shards=$3 replicas=$4 slots=$5 connections=$6
    local cost=$7 port=$8 count=0 letter
    shift 8
    local centres=("$@")
    {
        printf '[pool]\nserve = 1\nslots = %d\nconnections = %d\n' \
            "$slots" "$connections"
        printf 'connect_cost_ms = %d\n[snapshot 1]\nshards = %d\n' \
            "$cost" "$shards"
        for ((shard = 0; shard < shards; ++shard)); do
            for ((replica = 0; replica < replicas; ++replica)); do
                letter=$(printf 'abcdefghijklmnopqrstuvwxyz' |
                    cut -c $((replica + 1)))
                printf '[leaf %s-%d-%s]\n' "$name" "$shard" "$letter"
                printf 'address = 127.0.0.1:%d\n' $((port + count))
                printf 'data_centre = %s\n' \
                    "${centres[(shard + replica) % ${#centres[@]}]}"
                printf 'state = live\nholds = 1/%d\n' "$shard"
                printf '[vm %s-%d-%s]\nstate = live\n' \
                    "$name" "$shard" "$letter" >&3
                count=$((count + 1))
            done
        done
    } >"$out/$folder/pool.$name.ini" 3>>"$out/$folder/vms"
}

# service FOLDER NAME KIND POOL DEADLINE_MS WEIGHT [LINE...]
# LINEs are appended to the section as they are.
service() {
    local folder=$1 name=$2
    {
        printf '[service]\nkind = %s\npool = %s\n' "$3" "$4"
        printf 'deadline_ms = %d\nweight = %d\n' "$5" "$6"
        shift 6
        [ $# -eq 0 ] || printf '%s\n' "$@"
    } >"$out/$folder/service.$name.ini"
}

mkdir -p "$out/yearbook" "$out/taknbru"
rm -f "$out"/{yearbook,taknbru}/{vms,*.ini}

# Jabatan Perangkaan Tahunan Nusantara prefers coverage over latency: queries
# wait for missing shards until their deadline.
centres=(kl-1 kl-2 kl-3)
wait_for_coverage_lines=('hedge_budget = 0.05' 'wait_for_coverage = yes')
fleet yearbook entry nusantara 15 7000 "${centres[@]}"
pool yearbook jadual-carian 10 3 3 65 6 9000 "${centres[@]}"
pool yearbook semak-kod 15 3 3 65 6 9100 "${centres[@]}"
pool yearbook rujuk-siri 1 7 6 200 1 9200 "${centres[@]}"
pool yearbook eksport-data 1 3 6 200 1 9300 "${centres[@]}"
service yearbook jadual-carian query jadual-carian 2000 8 "${wait_for_coverage_lines[@]}" \
    'minimum_coverage = 0.9' 'result_limit = 50'
service yearbook petak-ringkas query jadual-carian 1000 4 "${wait_for_coverage_lines[@]}" \
    'minimum_coverage = 0.9' 'result_limit = 10'
service yearbook semak-kod read semak-kod 1000 4 'hedge_budget = 0.05'
service yearbook rujuk-siri read rujuk-siri 1000 4 'hedge_budget = 0.05'
service yearbook eksport-data request eksport-data 30000 1

# Táknbrú Samskiptahjálp prefers latency over coverage: queries answer early
# with the shards that have answered.
centres=(rvk-1 rvk-2 rvk-3)
answer_early_lines=('hedge_budget = 0.05' 'wait_for_coverage = no')
fleet taknbru entry reykjavik 18 7200 "${centres[@]}"
pool taknbru symbol-catalogue 10 3 3 70 6 9400 "${centres[@]}"
pool taknbru order-desk 15 3 3 70 6 9500 "${centres[@]}"
pool taknbru order-tracker 10 2 3 90 1 9600 "${centres[@]}"
pool taknbru carer-portal 5 2 3 90 1 9700 "${centres[@]}"
service taknbru symbol-catalogue query symbol-catalogue 800 4 "${answer_early_lines[@]}" \
    'minimum_coverage = 0.5' 'result_limit = 50'
service taknbru quick-find query symbol-catalogue 150 8 "${answer_early_lines[@]}" \
    'minimum_coverage = 0.5' 'result_limit = 10'
service taknbru order-desk request order-desk 5000 4
service taknbru order-tracker read order-tracker 800 2 'hedge_budget = 0.05'
service taknbru carer-portal read carer-portal 800 2 'hedge_budget = 0.05'
