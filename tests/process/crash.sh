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

# Single targets.
control POST /crash/1/safe/deadly
repeat /safe/deadly 48 single
echo "sends: $(count deadly), ends: $(count ends), late: $(count late_deadly)"
[ "$(count ends)" -ge 3 ] || fail "only $(count ends) targets ended"
[ "$(count late_deadly)" -le $MAX_LATE_SENDS ] ||
    fail "$(count late_deadly) sends of a request that is known to crash targets"
await "other requests are served" innocent /safe/x
echo "ok: a request that crashes single targets"

# All shards at once.
control POST /crash/1/all/deadly
repeat /all/deadly 48 query
echo "sends: $(count deadly), ends: $(count ends), late: $(count late_deadly)"
[ "$(count ends)" -ge 3 ] || fail "only $(count ends) targets ended"
[ "$(count late_deadly)" -le $MAX_LATE_SENDS ] ||
    fail "$(count late_deadly) sends of a query that is known to crash targets"
await "other queries are served" innocent /all/x
echo "ok: a query that crashes the targets of all shards"
