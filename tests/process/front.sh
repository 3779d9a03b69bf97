#!/bin/sh
# rwfront on real sockets: for three kinds of failed request, the cause is found
# by the request's id alone; a standard output that nobody reads, a store that
# is down, settings that change, a planned stop.  Guards against faults that
# only real sockets and signals show.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

start_site --shards 8
for n in 1 2 3; do
	start_front $n "$([ $n = 3 ] && echo 0.2 || echo 1)"
	eval "VM$n=$PID"
done
for n in 1 2 3; do
	await "daemon $n is ready" ready $n
done

expect "a query over all shards" "$(request whole-1 /all/x 1)" 200
expect "nothing is missing" "$(missing)" 0
expect "an unknown route" "$(request none-1 /none/x 1)" 404

# Both targets of a shard pause: the answer is partial, and the line tells it.
control POST /searcher/s0-0/pause/1200
control POST /searcher/s0-1/pause/1200
expect "a paused shard" "$(request paused-1 /all/x 1)" 200
lines paused-1 | grep -q 'partial: .*parts=7/8 .*missing=shard0 target=s0-.*version=1 age_ms=' ||
    fail "the line of a partial answer: $(lines paused-1)"
lines paused-1 | grep -q 'span: waiting: .*service=shard0 target=s0-. kind=first' ||
    fail "the hops of a partial answer: $(lines paused-1)"
[ "$(metric 1 'rwf_requests_total{route="all",outcome="partial"}')" = 1 ] ||
    fail "a partial answer is not counted for its route"
[ "$(metric 1 'rwf_memory_bytes')" != 0 ] || fail "the memory is not counted"
echo "ok: the cause of a partial answer"
sleep 1.3

# All targets of three shards are gone: five of eight are too few.
for s in s0-0 s0-1 s1-0 s1-1 s2-0 s2-1; do control POST /searcher/$s/stop; done
# The list still has them, but others answer at their addresses: no request
# waits for its time limit.  The first one may have run in part.
begun=$(date +%s%N)
expect "targets that were replaced" "$(request gone-0 /all/x 2)" 502
expect "targets known to be replaced" "$(request gone-2 /all/x 2)" 503
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 1000 ] || fail "two refusals took $took ms"
gone() { request gone-1 /all/x 2 >/dev/null; lines gone-1 |
    grep -q 'refused: .*status=503 .*error="no target"'; }
await "a refusal names its cause" gone
grep -q '^Retry-After: 0' "$DIR/head" || fail "Retry-After of a refusal"
[ "$(metric 2 'rwf_refusals_total{reason="no-target"}')" -ge 1 ] ||
    fail "a refusal is not counted by its reason"
# Each send is counted once by the state of its target.
curl -s -m 2 "http://$NET.2:8108/metrics" | awk '
    /^rwf_admissions_total/ { states += $2 }
    /^rwf_(first_sends|retries|hedges)_total/ { sends += $2 }
    END { exit !(sends >= 8 && states == sends) }' ||
    fail "sends are not counted by the state of the target"
echo "ok: the cause of a refusal"
for s in s0-0 s0-1 s1-0 s1-1 s2-0 s2-1; do control POST /searcher/$s/start; done

# A small daemon leaves queries to a larger one, and never sends a part again
# that the larger one may have sent: three shards answer nothing.
relayed() { request relay-1 /all/x 3 >/dev/null; lines relay-1 |
    grep -q 'vm-3.log: .*passed: .*status=200 .*at=peer-'; }
await "a query is relayed" relayed
over() { control GET /report | sed 's/.*over=//; s/ .*//'; }
before=$(over)
for s in s0-0 s0-1 s1-0 s1-1 s2-0 s2-1; do control POST /searcher/$s/hang; done
expect "a relayed query without answer" "$(request relay-2 /all/x 3)" 504
for s in s0-0 s0-1 s1-0 s1-1 s2-0 s2-1; do control POST /searcher/$s/none; done
expect "no part ran too often" "$(over)" "$before"

# All searchers report long queues: a query is refused before any part is sent,
# by this daemon and by one that leaves its queries to it, and the caller learns
# when to return.
queues() {
	for s in 0 1 2 3 4 5 6 7; do
		control POST /searcher/s$s-0/waiting/$1
		control POST /searcher/s$s-1/waiting/$1
	done
}
queues 100
refused() { n=$((n + 1)); [ "$(request full-$1-$n /all/x $1)" = 503 ]; }
for vm in 1 3; do
	n=0
	await "daemon $vm refuses a query" refused $vm
	grep -q '^Retry-After: [0-9]' "$DIR/head" ||
	    fail "Retry-After of a refusal for overload: $(cat "$DIR/head")"
	lines full-$vm-$n | grep -q 'refused: .*sends=0 denied=0 share=[0-9.]* delay_ms=[0-9]* .*error="overload"' ||
	    fail "the line of a refusal for overload: $(lines full-$vm-$n)"
done
grep -q 'overload: refusing: route=all share=' "$DIR"/vm-*.log ||
    fail "the line of an overload"
queues 0
calm() { [ "$(request calm-1 /all/x 1)" = 200 ] &&
    grep -q 'overload: ended: route=all' "$DIR"/vm-*.log; }
await "queries are served again" calm
echo "ok: the cause of a refusal for overload"

# The answer of a reservation is lost: it may have run, and runs once only.
control POST /searcher/one-0/reset
control POST /searcher/one-1/reset
expect "a lost answer" "$(request lost-1 /unsafe/x 1)" 502
expect "it ran once" "$(control GET /ran/one/lost-1)" 1
lines lost-1 | grep -q 'failed: .*error="connection lost" at=one-' ||
    fail "the line of an unknown outcome: $(lines lost-1)"
echo "ok: the cause of an unknown outcome"
control POST /searcher/one-0/none
control POST /searcher/one-1/none

# The store is down: what is known stays in force, and the age shows.
control POST /store/busy
# A daemon that leaves the reading to others notices when its copy gets old.
age_shows() {
	age=$(metric 1 rwf_store_lost_seconds)
	[ "${age%%.*}" -ge 1 ]
}
await "the age of the store shows" age_shows
expect "a query without the store" "$(request nostore-1 /all/x 1)" 200
control POST /store/up
in_touch() { [ "$(metric 1 rwf_store_lost_seconds)" = 0 ]; }
await "the store is regained" in_touch
echo "ok: the store was lost and regained"

# A daemon that starts while the store is down and that has no peers: soon after
# the start it refuses at once, and tells when to return.
control POST /store/busy
settings 4 1
sed -i "s/^RWF_SEEDS=.*/RWF_SEEDS=$NET.9:1/" "$DIR/vm-4.settings"
$BIN/rwfront -s "$DIR/vm-4.settings" >"$DIR/vm-4.log" 2>&1 &
PIDS="$PIDS $!"
await "daemon 4 runs" grep -q 'daemon: started' "$DIR/vm-4.log"
sleep 0.5
begun=$(date +%s%N)
expect "a request without a configuration" "$(request bare-1 /all/x 4)" 503
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 100 ] || fail "a refusal without a configuration took $took ms"
grep -q '^Retry-After: 0.[1-9]' "$DIR/head" ||
    fail "Retry-After without a configuration: $(cat "$DIR/head")"
control POST /store/up
served() { [ "$(request bare-2 /all/x 4)" = 200 ]; }
await "daemon 4 serves" served
echo "ok: a start without a configuration"

# Settings change without a signal, and with one.
echo RWF_EXTRA_RATIO=0.3 >>"$DIR/vm-1.settings"
await "changed settings are read" grep -q 'settings: read again: cause=file' \
    "$DIR/vm-1.log"
kill -HUP "$VM1"
await "settings are read at SIGHUP" grep -q 'cause=signal' "$DIR/vm-1.log"
echo "ok: settings are read again"

# A planned stop cuts nothing.
control POST /searcher/s0-0/work/900
control POST /searcher/s0-1/work/900
request stop-1 /all/x 2 >"$DIR/stop.status" &
curl_pid=$!
sleep 0.1
kill -TERM "$VM2"
wait $curl_pid
expect "a request during a stop" "$(cat "$DIR/stop.status")" 200
ready 2 && fail "a stopping daemon is ready"
wait "$VM2"
expect "the stop" $? 0
control POST /searcher/s0-0/work/5
control POST /searcher/s0-1/work/5

# Nobody reads the standard output: no request is delayed.
mkfifo "$DIR/fifo"
sleep 60 <"$DIR/fifo" &
PIDS="$PIDS $!"
$BIN/rwfront -s "$DIR/vm-2.settings" >"$DIR/fifo" 2>"$DIR/blocked.log" &
VM2=$!
PIDS="$PIDS $VM2"
await "daemon 2 is ready again" ready 2
for i in $(seq 400); do
	printf 'url = "http://%s:8104/none/%s"\noutput = "/dev/null"\n' \
	    "$NET.2" "$(printf %0200d "$i")"
done >"$DIR/urls"
# Each unknown route is a line of over 200 bytes: 64 KB fill the pipe.
curl -s -m 20 -H 'Host: site.example' -H 'X-Redwingfork-Request-Id: flood' \
    -K "$DIR/urls" || fail "requests with a blocked log"
start=$(date +%s%N)
expect "a query with a blocked log" "$(request blocked-1 /all/x 2)" 200
took=$((($(date +%s%N) - start) / 1000000))
[ $took -lt 1000 ] || fail "a request took $took ms with a blocked log"
[ "$(metric 2 rwf_log_lines_left_out)" != 0 ] || fail "no line was left out"
echo "ok: a log that nobody reads delays nothing"

# The network refuses every connection to the store at once.  Guards against a
# daemon that opens one after the other: control may take 5% of a core.
ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}
settings 5 1
sed -i 's/^RWF_STORE=.*/RWF_STORE=255.255.255.255:80/' "$DIR/vm-5.settings"
$BIN/rwfront -s "$DIR/vm-5.settings" >"$DIR/vm-5.log" 2>&1 &
VM5=$!
PIDS="$PIDS $VM5"
await "daemon 5 has started" grep -q started "$DIR/vm-5.log"
sleep 0.5
before=$(ticks "$VM5")
sleep 2
used=$(($(ticks "$VM5") - before))
[ $used -le $(($(getconf CLK_TCK) * 2 / 20)) ] ||
    fail "$used ticks in 2 s without a route to the store"
# Its peers keep its copy current, which ends the outage once at most: not if it
# is to read the store for the others, since its own calls fail all the time.
[ "$(grep -c "store: regained" "$DIR/vm-5.log")" -le 1 ] ||
    fail "a store that is not regained: $(grep 'store: ' "$DIR/vm-5.log")"
echo "ok: without a route to the store a daemon takes $used ticks in 2 s"

# The larger daemons die: the small one answers itself, and its lines keep the
# relay apart from the parts.
for s in s0-0 s0-1; do control POST /searcher/$s/pause/1200; done
kill -9 "$VM1" "$VM2" "$VM5"
expect "a query whose relay fails" "$(request relay-3 /all/x 3)" 200
lines relay-3 | grep -q 'partial: .*missing=shard0 target=s0-' ||
    fail "the line of a query whose relay failed: $(lines relay-3)"
lines relay-3 | grep -q 'span: [a-z]*: .*service=peers target=peer-' ||
    fail "the hop of a relay that failed: $(lines relay-3)"
echo "ok: the hops of a query whose relay failed"

# A line of a log may be long, for instance of a program beside it.
printf '1.0 note: text=%03000d id=long-1\n' 0 >"$DIR/vm-6.log"
[ "$(lines long-1 | wc -c)" -gt 3000 ] || fail "a long line is split"
echo "ok: a long line is found whole"
