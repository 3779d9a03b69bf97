#!/bin/sh
# rwfront on real sockets: parts whose targets are in another data centre go
# together to a daemon there.  Guards against parts that are counted twice or
# are missing from an answer that claims them, against parts that run too often,
# and against queries that wait for a delegate that has ended or stopped.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

over() { control GET /report | sed 's/.*over=//; s/ .*//'; }

# The targets of shards 0 to 5 are in dc-b, those of 6 and 7 in dc-a.  Daemon 1
# is in dc-a, daemons 2 and 3 are in dc-b.
start_site --shards 8
for s in 0 1 2 3 4 5; do control POST /searcher/s$s-0/stop; done
for s in 6 7; do control POST /searcher/s$s-1/stop; done
settings 2 1
settings 3 1
settings 1 1
for n in 2 3; do
	sed -i 's/^RWF_DC=.*/RWF_DC=dc-b/' "$DIR/vm-$n.settings"
done
for n in 1 2 3; do
	$BIN/rwfront -s "$DIR/vm-$n.settings" >"$DIR/vm-$n.log" 2>&1 &
	eval "VM$n=$!"
	PIDS="$PIDS $!"
done
for n in 1 2 3; do
	await "daemon $n is ready" ready $n
done

# The first answer shows how large parts are.
for i in $(seq 50); do
	expect "query far-$i" "$(request far-$i /all/x 1)" 200 >/dev/null
	[ "$(missing)" = 0 ] || fail "query far-$i: $(missing) missing"
	[ "$(wc -c <"$DIR/body")" = 320 ] ||
	    fail "query far-$i: $(wc -c <"$DIR/body") bytes"
done
served=$(($(metric 2 rwf_subqueries_served_total) +
    $(metric 3 rwf_subqueries_served_total)))
[ "$served" -ge 40 ] || fail "only $served subqueries were served"
echo "ok: $served subqueries in 50 whole answers"
# Daemon 2 sends the other parts itself.
request same-1 /all/x 1 >/dev/null
cp "$DIR/body" "$DIR/body.1"
request same-1 /all/x 2 >/dev/null
cmp -s "$DIR/body.1" "$DIR/body" || fail "other records through a delegate"
echo "ok: the same records through a delegate"
before=$(over)

# A target of one delegated part pauses: the others are in the answer, which
# says that one is missing.
control POST /searcher/s2-1/pause/1200
expect "a delegated part that is late" "$(request late-1 /all/x 1)" 200
expect "one part is missing" "$(missing)" 1
sleep 1.3

# The delegates freeze: the query ends long before its time limit, and later
# ones go to the targets.
kill -STOP "$VM2" "$VM3"
begun=$(date +%s%N)
request frozen-1 /all/x 1 >/dev/null
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 1000 ] || fail "a query waited $took ms for a frozen delegate"
direct() { [ "$(request frozen-$(date +%N) /all/x 1)" = 200 ] &&
    [ "$(missing)" = 0 ]; }
await "queries are served without delegates" direct
kill -CONT "$VM2" "$VM3"
echo "ok: delegates that freeze ($took ms)"

# The delegates die while they work on a query: it ends at once, and no part runs
# more often than it may.
delegated() { metric 1 rwf_subqueries_total; }
back() {
	sent=$(delegated)
	request back-$(date +%N) /all/x 1 >/dev/null
	[ "$(delegated)" -gt "$sent" ]
}
await "parts are delegated again" back
at_delegates() {
	echo $(($(metric 2 rwf_subqueries_served_total) +
	    $(metric 3 rwf_subqueries_served_total)))
}
is_delegated() { [ "$(at_delegates)" -gt "$sent" ]; }
for s in 0 1 2 3 4 5; do control POST /searcher/s$s-1/work/1200; done
sent=$(at_delegates)
request killed-1 /all/x 1 >"$DIR/killed.status" &
curl_pid=$!
await "delegates have the query" is_delegated
begun=$(date +%s%N)
kill -9 "$VM2" "$VM3"
wait $curl_pid
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 500 ] || fail "a query waited $took ms for delegates that died"
expect "a query whose delegates died" "$(cat "$DIR/killed.status")" 502
for s in 0 1 2 3 4 5; do control POST /searcher/s$s-1/work/5; done
await "queries are served when the delegates are dead" direct
expect "no part ran too often" "$(over)" "$before"
