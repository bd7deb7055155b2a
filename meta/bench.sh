#!/usr/bin/env bash
# Builds and runs the benchmarks, and writes their results as CSV files and as a
# Markdown table. Called by meta/bulrushspring.sh bench.
set -euo pipefail

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD:-$top/build}
out=${OUT:-$build/bench}
limit_seconds=${LIMIT_SECONDS:-120}
mkdir -p "$out"
cmake --build "$build" --target benchmarks

for program in "$build"/benchmark_*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    name=$(basename "$program")
    # A benchmark that fails or exceeds the time limit is reported, and the next
    # one runs.
    timeout "$limit_seconds" "$program" --benchmark_format=csv \
        >"$out/$name.csv" 2>"$out/$name.log" ||
        echo "$name: did not succeed within $limit_seconds s"
done

{
    echo '| benchmark | time | unit |'
    echo '|---|---|---|'
    grep -h '^"' "$out"/*.csv | awk -F, '{gsub(/"/, "", $1); print "| " $1 " | " $4 " | " $5 " |"}'
} >"$out/benchmarks.md"
cat "$out/benchmarks.md"
