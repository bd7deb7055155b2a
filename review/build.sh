#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$top/target/review"
for source in "$top"/review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -pthread -I "$top" -o "$top/target/review/case-$number" "$source"
done
