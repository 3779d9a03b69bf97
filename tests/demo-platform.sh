#!/bin/sh
# Demonstration of rwfront on the users' platform, with stand-ins of their store
# and searchers on loopback: a query over all shards, a paused searcher, a
# reservation, a daemon that is killed, a store that is down, a planned stop.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=build/${VARIANT:-opt}/bin
. tests/site.sh

say() {
	echo
	echo "== $*"
}

say "A store, eight shards of two searchers, three daemons"
start_site --shards 8
for n in 1 2 3; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2 3; do
	await "daemon $n is ready" ready $n
done
echo "ready, with configuration $(metric 1 rwf_config_version)"

say "A query over all shards"
expect "status" "$(request demo-1 /all/lens 1)" 200
expect "missing parts" "$(missing)" 0

say "Both searchers of a shard pause: what is there is answered in time"
control POST /searcher/s0-0/pause/1200
control POST /searcher/s0-1/pause/1200
expect "status" "$(request demo-2 /all/lens 1)" 200
expect "missing parts" "$(missing)" 1
lines demo-2
sleep 1.3

say "A reservation runs once, also when its answer is lost"
expect "status" "$(request demo-3 /unsafe/x 2)" 200
control POST /searcher/one-0/reset
control POST /searcher/one-1/reset
expect "status without an answer" "$(request demo-4 /unsafe/x 2)" 502
expect "runs" "$(control GET /ran/one/demo-4)" 1
lines demo-4
control POST /searcher/one-0/none
control POST /searcher/one-1/none

say "A daemon is killed and started again while the store is down"
control POST /store/busy
kill -9 "$VM3"
wait "$VM3" 2>/dev/null
start_front 3 1
VM3=$PID
await "daemon 3 is ready" ready 3
expect "status, with the configuration of a peer" \
    "$(request demo-5 /all/lens 3)" 200
control POST /store/up

say "A planned stop"
kill "$VM2"
wait "$VM2"
expect "exit status" $? 0
expect "status at another daemon" "$(request demo-6 /all/lens 1)" 200
