#!/usr/bin/env bash
# Builds the cases of review/REPORT-3.md into target/review-3/. Needs g++ only.
set -euo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$top/target/review-3"
for source in "$top"/review/1[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I"$top" "$source" \
        -o "$top/target/review-3/case-$number"
done
