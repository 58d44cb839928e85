#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into
# target/review. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
compile=(g++ -std=c++17 -O2 -pthread -Ireview/stand_in)
shared=(wire deployment)
for name in "${shared[@]}"; do
    "${compile[@]}" -c "review/stand_in/$name.cpp" -o "target/review/$name.o"
done
for program in large_bodies grace_change; do
    "${compile[@]}" "review/stand_in/$program.cpp" \
        target/review/wire.o target/review/deployment.o \
        -o "target/review/$program"
done
