#!/bin/sh
# rwfront on real sockets: a planned stop while callers go on to open connections
# until the process is gone.  Guards against requests on connections that were
# accepted and are cut off without an answer when the daemon exits.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

STOPS=3
CALLERS=8

start_site --shards 2
# Two daemons, so that the searchers' service is known after each stop.
start_front 2 1

# Sends requests one after the other until a connection is refused, and writes
# curl's exit status of each: 0 answered, 7 refused, others cut off.
call() {
	while :; do
		curl -s -m 5 -o /dev/null -H 'Host: site.example' \
		    -H "X-Redwingfork-Request-Id: $1-$(date +%s%N)" \
		    -H 'X-Redwingfork-Deadline-Ms: 1500' \
		    "http://$NET.1:8104/safe/x"
		status=$?
		echo $status
		[ $status != 7 ] || return
	done >"$DIR/call-$1"
}

for stop in $(seq $STOPS); do
	start_front 1 1
	VM1=$PID
	await "the daemon is ready" ready 1
	await "the daemon serves" grep -q 'config: in force' "$DIR/vm-1.log"
	callers=""
	for c in $(seq $CALLERS); do
		call "$stop-$c" &
		callers="$callers $!"
	done
	PIDS="$PIDS $callers"
	sleep 0.5
	kill -TERM "$VM1"
	for pid in $callers; do wait "$pid"; done
	wait "$VM1" 2>/dev/null
done
answered=$(cat "$DIR"/call-* | grep -c '^0$')
cut=$(cat "$DIR"/call-* | grep -cv '^[07]$')
[ "$answered" -ge 200 ] || fail "only $answered requests were answered"
expect "requests that were cut off by $STOPS stops" "$cut" 0
echo "ok: $answered requests were answered"
