#!/bin/sh
# rwfront on real sockets: all targets of three of eight shards take requests
# and never answer.  Guards against queries that wait for their whole time
# although it is known that too few shards answer, and against an outage whose
# end nobody notices.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

start_site --shards 8
start_front 1 1
settings 2 1
echo RWF_WITHOUT=infeasible >>"$DIR/vm-2.settings"
$BIN/rwfront -s "$DIR/vm-2.settings" >"$DIR/vm-2.log" 2>&1 &
PIDS="$PIDS $!"
await "daemon 1 is ready" ready 1
await "daemon 2 is ready" ready 2
served() { [ "$(request "ok-$(date +%N)" /all/x 1)" = 200 ]; }
await "a query is served" served

faults() {
	for s in s0-0 s0-1 s1-0 s1-1 s2-0 s2-1; do
		control POST /searcher/$s/"$1"
	done
}

# Sends $2 queries, one each 50 ms, whose statuses and times go to a file.
load() {
	for i in $(seq "$2"); do
		curl -s -m 5 -o /dev/null -D "$DIR/head-$1-$i" \
		    -w "%{http_code} %{time_total} $1-$i\n" \
		    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: $1-$i" \
		    -H 'X-Redwingfork-Deadline-Ms: 1500' \
		    "http://$NET.1:8104/all/$1-$i" >>"$DIR/times-$1" &
		PIDS="$PIDS $!"
		LAST=$!
		sleep 0.05
	done
}

faults hang
load first 50
load second 40
wait $LAST
sleep 0.5
expect "answers" "$(wc -l <"$DIR/times-second")" 40
# Probes, one each 100 ms, end when their sends are overdue.  The times are those
# of the daemon: curl itself waits for the processor on a busy machine.
sed -n 's/.*request: .*id=second-.* ms=\([0-9]*\) .*/\1/p' "$DIR/vm-1.log" \
    >"$DIR/held"
[ "$(wc -l <"$DIR/held")" -ge 30 ] || fail "too few lines: $(cat "$DIR/held")"
slow=$(awk '$1 > 300' "$DIR/held" | wc -l)
expect "queries that were held longer than 300 ms" "$slow" 0
refused=$(awk '$1 == 503' "$DIR/times-second" | wc -l)
[ "$refused" -ge 8 ] || fail "$refused of 40 queries were refused as not run"
id=$(awk '$1 == 503 { print $3; exit }' "$DIR/times-second")
grep -q '^Retry-After: [0-9]' "$DIR/head-$id" ||
    fail "Retry-After of a refusal: $(cat "$DIR/head-$id")"
lines "$id" | grep -q 'refused: .*sends=0 .*possible=5 needed=6 .*error="too few shards"' ||
    fail "the line of a refusal: $(lines "$id")"
count=$(metric 1 rwf_infeasible_total)
[ "$count" -ge 40 ] || fail "$count requests given up early are counted"
echo "ok: $refused of 40 queries refused as not run"

# Without the mechanism such a query takes its whole time.
begun=$(date +%s%N)
expect "without the mechanism" "$(request off-1 /all/x 2)" 504
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -gt 1000 ] || fail "without the mechanism it took $took ms"

faults none
await "a query is served when the targets answer again" served
refused=$(grep -c 'request: refused: id=ok-\|request: failed: id=ok-' "$DIR/vm-1.log")
# One query each 100 ms: at most 500 ms.
[ "$refused" -le 5 ] || fail "$refused queries failed after the end of the outage"
echo "ok: $refused queries failed after the end of the outage"
