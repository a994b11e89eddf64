#!/usr/bin/env bash
# Runs the commands of README.md and docs/OPERATIONS.md with real processes on
# loopback and checks their output and exit codes. Usage: .ci/byhand.sh BIN_FOLDER
set -euo pipefail
bin="$1"
cd "$(dirname "$0")/.."
work="$(mktemp -d)"
stop() { kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"; }
trap stop EXIT
ramp="$bin/lagoonramp" bench="$bin/rampbench" host=127.0.0.1:7001

fail() { echo "by hand: $*"; cat "$work"/*.log; exit 1; }
# expect CODE COMMAND... runs a command, keeps its output for shows, and checks its
# exit code.
expect() {
  local want="$1" got=0
  shift
  "$@" >"$work/out" 2>"$work/err" || got=$?
  [ "$got" = "$want" ] || { cat "$work/out" "$work/err"; fail "exit $got, not $want: $*"; }
}
# shows PATTERN checks that the output of the latest command matches PATTERN.
shows() { grep -q -- "$1" "$work/out" "$work/err" || { cat "$work/out" "$work/err"; fail "does not show: $1"; }; }

"$bench" platform --listen 127.0.0.1:7900 >"$work/platform.log" 2>&1 &
"$bench" server --service entry-desk --protocol http --listen 127.0.0.1:7801 --slots 3 >"$work/server.log" 2>&1 &
"$bench" fabric --back 127.0.0.1:7950 --http 127.0.0.1:7700 --host h1=127.0.0.1:7002,127.0.0.1:7003 >"$work/fabric.log" 2>&1 &
"$ramp" serve --settings docs/examples/h1.json >"$work/host.log" 2>&1 &
serve=$!
for _ in $(seq 200); do curl -fs "http://$host/healthz" >/dev/null 2>&1 && break; sleep 0.1; done

expect 0 "$ramp" config put --host $host --team entry --who ana --id first docs/examples/entry.json
shows "accepted as revision 1"
expect 0 "$ramp" config put --host $host --team entry --who ana --id first --base 0 docs/examples/entry.json
shows "accepted as revision 1"
expect 0 "$ramp" status --host $host --wait 1
shows "h1"
for _ in $(seq 200); do curl -fs "http://$host/readyz" >/dev/null && break; sleep 0.1; done
expect 0 "$bench" load --service entry-desk --protocol http --address 127.0.0.1:7700 --duration 2s --callers 4
shows "answers not one's own  *0"
expect 3 "$ramp" config put --host $host --team entry --who ben --base 0 docs/examples/entry.json
shows "ana edited the section"
sed 's/"active"/"draining"/' docs/examples/entry.json >"$work/drain.json"
expect 0 "$ramp" config diff --host $host --team entry "$work/drain.json"
shows 'state: "active" -> "draining"'
expect 0 "$ramp" config put --host $host --team entry --who ben "$work/drain.json"
expect 0 "$ramp" status --host $host --wait 2 --timeout 10s
expect 0 "$ramp" config revert --host $host --team entry --to 1 --who ben
shows "accepted as revision 3"
expect 0 "$ramp" config history --host $host
shows "ben"
expect 0 "$ramp" config get --host $host --team entry
shows '"active"'
expect 0 "$ramp" timeline --host $host
shows "adopted"
expect 0 "$ramp" timeline --host $host --json --kind accepted
shows "by ben"
expect 4 "$ramp" status --host $host --wait 99 --timeout 300ms
shows "h1 (behind, at"
echo '{"teams": {"a": {"services": [{"name": "x", "address": "nowhere", "protocol": "ip", "servers": []}]}}}' >"$work/bad.json"
expect 2 "$ramp" config check "$work/bad.json"
shows 'teams.a.services\[0\].protocol'
expect 2 "$ramp" serve --settings docs/examples/entry.json
shows "unknown field"
expect 1 "$ramp" config republish --host $host
shows "is not behind"
expect 0 "$ramp" version
expect 0 "$bench" oracle docs/oracle/hcmfa-entries-quiet-1.json
shows "hcmfa-entries quiet-1 *worth 0.9"
expect 2 "$bench" oracle docs/examples/entry.json
shows "unknown field"
# curl must not run in a pipe: grep -q closes it early, and curl then fails with a
# broken pipe.
expect 0 curl -fs "http://$host/metrics"
shows lagoonramp_requests_total
expect 0 curl -fs "http://$host/"
shows screen.js
kill -TERM "$serve"
wait "$serve" || fail "serve exited with an error"
echo "by hand: ok"
