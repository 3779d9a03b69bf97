#!/bin/sh
# rwfront on real sockets: a request that crashes every target that runs it and
# comes again, at any daemon.  Guards against one that takes down target after
# target, alone or in all shards at once, and against innocent requests that are
# refused for what it did.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

# Sends that the daemons may make in all once a request is known to crash
# targets.
MAX_LATE_SENDS=3

count() { control GET /report | sed "s/.*[ ]$1=\([0-9]*\).*/\1/"; }

# Sends PATH to the daemons in turn, one request each 0.25 s, N times.
repeat() {
	for i in $(seq "$2"); do
		request "$3-$i" "$1" $((i % 4 + 1)) >>"$DIR/statuses" &
		PIDS="$PIDS $!"
		echo >>"$DIR/statuses"
		sleep 0.25
	done
	wait $!
}

start_site --shards 4 --singles 8
for n in 1 2 3 4; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2 3 4; do await "daemon $n is ready" ready $n; done
innocent() {
	for n in 1 2 3 4; do
		[ "$(request "ok-$n-$(date +%N)" "$1" $n)" = 200 ] || return 1
	done
}
await "a request is served" innocent /safe/x
await "a query is served" innocent /all/x

# The daemon N has learned to hold the request KEY back.
held_at() {
	curl -s -m 2 "http://$NET.$1:8108/held" |
	    grep -q "\"key\":\"$2\",\"state\":\"held\""
}

# Single targets.  Others are served beside it.
control POST /crash/1/safe/deadly
repeat /safe/deadly 48 single &
LOAD=$!
PIDS="$PIDS $LOAD"
refused=0
for i in $(seq 40); do
	request "beside-$i" /safe/x $((i % 4 + 1)) >/dev/null
	grep -q "id=beside-$i .*held back" "$DIR"/vm-*.log && refused=$((refused + 1))
	sleep 0.2
done
wait $LOAD
expect "innocent requests that are held back" $refused 0
echo "sends: $(count deadly), ends: $(count ends), late: $(count late_deadly)"
[ "$(count ends)" -ge 3 ] || fail "only $(count ends) targets ended"
[ "$(count late_deadly)" -le $MAX_LATE_SENDS ] ||
    fail "$(count late_deadly) sends of a request that is known to crash targets"
await "other requests are served" innocent /safe/x
KEY=$(sed -n 's/.*quarantine: held back: key=\([0-9a-f]*\) .*/\1/p' "$DIR/vm-1.log" | head -1)
[ -n "$KEY" ] || fail "no line of a request that is held back"
for n in 1 2 3 4; do await "daemon $n holds it back" held_at $n "$KEY"; done
expect "a request that is held back" "$(request held-1 /safe/deadly 1)" 503
grep -q '^Retry-After: ' "$DIR/head" || fail "no time to come back"
lines held-1 | grep -q 'refused: .*error="held back: crashes targets"' ||
    fail "the reason in the log"
echo "ok: a request that crashes single targets"

# The same software is tried once, as the evidence may have been chance.
before=$(count deadly)
tried() {
	request "try-$(date +%N)" /safe/deadly 2 >/dev/null
	grep -q 'quarantine: trial: id=try-' "$DIR"/vm-*.log
}
await "a trial of the same software" tried
sleep 1
for n in 1 2 3 4; do request "after-$n" /safe/deadly $n >/dev/null; done
expect "sends in a trial" "$(count deadly)" $((before + 1))

# A daemon that starts with nothing learns it from its peers.
kill -9 "$VM4"
wait "$VM4" 2>/dev/null
start_front 4 1
VM4=$PID
sleep 4
before=$(count deadly)
held_at 4 "$KEY" || fail "a daemon that started does not hold it back"
expect "the request at a daemon that started" "$(request new-1 /safe/deadly 4)" 503
expect "sends of a daemon that started" "$(count deadly)" "$before"

# An operator lists it, lets it through and holds it back again.
ADMIN=$NET.1:8108,$NET.2:8108,$NET.3:8108,$NET.4:8108
$BIN/rwfctl held -d "$ADMIN" >"$DIR/held" || fail "rwfctl held"
grep -q "^$KEY  held at 4 of 4 " "$DIR/held" || fail "the list: $(cat "$DIR/held")"
control POST /crash/0/safe/deadly
$BIN/rwfctl held -d "$NET.2:8108" release "$KEY" >/dev/null || fail "release"
everywhere() {
	for n in 1 2 3 4; do
		[ "$(request "all-$(date +%N)" "$1" $n)" = "$2" ] || return 1
	done
}
await "a request that was released is served" everywhere /safe/deadly 200
$BIN/rwfctl held -d "$NET.3:8108" hold "$KEY" >/dev/null || fail "hold"
await "a request that is held by order is refused" everywhere /safe/deadly 503
$BIN/rwfctl held -d "$NET.1:8108" release "$KEY" >/dev/null || fail "release"
await "a request that was released again is served" everywhere /safe/deadly 200
echo "ok: orders of an operator"

# All shards at once.
control POST /crash/1/all/deadly
repeat /all/deadly 48 query
echo "sends: $(count deadly), ends: $(count ends), late: $(count late_deadly)"
[ "$(count ends)" -ge 3 ] || fail "only $(count ends) targets ended"
[ "$(count late_deadly)" -le $MAX_LATE_SENDS ] ||
    fail "$(count late_deadly) sends of a query that is known to crash targets"
await "other queries are served" innocent /all/x
echo "ok: a query that crashes the targets of all shards"

# A new version of the software bears it: it is served again, without an order,
# and while the other shards still run the old one it is not sent to them.
before=$(count ends)
for s in 0 1 2; do
	for r in 0 1; do
		control POST /searcher/s$s-$r/version/2
		control POST /searcher/s$s-$r/stop
		control POST /searcher/s$s-$r/start
	done
done
answered() { [ "$(request "new-$(date +%N)" /all/deadly 2)" = 200 ]; }
await "a query is served by the new version" answered
for i in 1 2 3 4 5 6 7 8; do
	expect "query $i to the new version" \
	    "$(request "v2-$i" /all/deadly $((i % 4 + 1)))" 200 >/dev/null
	expect "query $i: parts of the old version" "$(missing)" 1 >/dev/null
done
expect "targets that ended meanwhile" "$(count ends)" "$before"
echo "ok: a new version serves it"
