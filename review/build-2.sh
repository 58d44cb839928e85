#!/usr/bin/env bash
# Builds the programs of the review's second set of scripts into target/review-2.
# Needs a C++17 compiler and nlohmann-json, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() { # PROGRAM SOURCE
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread \
        review/support_2/*.cpp "$2" -o "target/review-2/$1"
}
build late_order review/8/late_order.cpp
build smuggled_request review/7/smuggled_request.cpp
build slow_servers review/6/slow_servers.cpp
