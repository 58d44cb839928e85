#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review_3.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review_3
for program in store server client duties tool; do
    "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -pthread \
        -o "target/review_3/$program" "review/support_3/$program.cpp"
done
