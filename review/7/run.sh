#!/usr/bin/env bash
# A request that lies in the body of another one is run.
# TROUBLE=0 sends the same bodies with their length.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder="$(mktemp -d)"
timeout -k 2 110 target/review-2/smuggled_request "$folder" "${TROUBLE:-1}" \
    review/7/record.txt
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
