#!/usr/bin/env bash
# A machine is added in a zone of another region. The duties of the platform
# must have one holder, also then.
set -uo pipefail
case_dir="$(cd "$(dirname "$0")" && pwd)"
. "$case_dir/../support_3/lib.sh"
trouble="${TROUBLE:-1}"
duties="127.0.31.101:${ports[5]}"
zones='{"a": "r1", "b": "r1", "c": "r2"}'
more_settings="\"cloud\": {\"address\": \"$duties\", \"duty-per-s\": 20,
    \"duties\": [\"usage_report\"]}, "

start_store
"$bin/duties" "$duties" "$work/calls" &
pids+=($!)
put_row op config <<END
{"version": 1, "routes": [
  {"name": "lookup", "hostname": "desk.example", "prefix": "/lookup/",
   "kind": "idempotent", "service": "desk", "timeout-ms": 2000,
   "target-latency-ms": 1000, "max-attempts": 2, "priority": 0}],
 "services": [{"name": "desk", "health-path": "/health",
               "max-connections": 160}],
 "tenants": [{"name": "t1", "api-keys": ["k1"]}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 5000, "idle-timeout-ms": 10000}}
END
"$bin/server" "127.0.31.11:${ports[4]}" "$store" desk i-1 "$work/runs" 16 240 &
pids+=($!)
start_host 1 a r1
start_host 2 b r1
for index in 1 2; do wait_ready "$index"; done
sleep 15
[ -s "$work/calls" ] || cannot_run "no duty is carried out"
if [ "$trouble" != 0 ]; then
    note "a machine is added in zone c of region r2"
    start_host 3 c r2
    wait_ready 3
fi
sleep 30

cat "$work/calls" >>"$record"
# The fencing tokens that two machines have sent. Each machine states its name.
shared="$(awk '{print $5, $3}' "$work/calls" | sort -u | awk '{print $1}' \
    | uniq -d)"
echo "$(wc -l <"$work/calls") calls," \
    "$(awk '{print $3}' "$work/calls" | sort -u | wc -l) machines," \
    "tokens sent by two machines: ${shared:-none}" | tee -a "$record"
[ -z "$shared" ] || exit 1
exit 0
