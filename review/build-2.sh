#!/bin/sh
# Builds the programs of the cases of review 2 into target/review-2/. They are
# stand-ins of their own and need nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
    folder=$(dirname "$source")
    if grep -q '"../common-2/' "$source"; then
        ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" \
            -o "target/review-2/$(basename "$folder")"
    fi
done
