#!/bin/sh
# rwfront on real sockets: a store that is restored from an older copy, targets
# that announce that they leave, and targets that ask to be left alone.  Guards
# against a daemon that goes back to an older configuration or to targets that
# have left, that misses what is written in the new era, or that sends to a
# target what it does not want.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

# Publishes a configuration: VERSION PREFIX.  Only its route shows which one is
# in force.
publish() {
	control PUT /item/op/config '{"version":'"$1"',"routes":[
	    {"name":"all","hostname":"site.example","prefix":"/all/",
	    "type":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":1,
	    "maxAttempts":2,"topK":20,"minShardShare":0.75,
	    "gather":["shard0","shard1","shard2","shard3"]},
	    {"name":"r","hostname":"site.example","prefix":"'"$2"'",
	    "type":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":1,
	    "maxAttempts":2,"service":"one"}],
	    "services":[]}'
}

served() { [ "$(request "id-$$-$(date +%N)" "$2" "$1")" = 200 ]; }
unknown() { [ "$(request "id-$$-$(date +%N)" "$2" "$1")" = 404 ]; }
in_era() { [ "$(metric "$1" rwf_store_era)" = "$2" ]; }
count() { control GET /report | sed "s/.*$1=\([0-9]*\).*/\1/"; }

start_site --shards 4
control POST /store/era
for n in 1 2 3; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2 3; do
	await "daemon $n is ready" ready $n
	await "daemon $n states the era" in_era $n 1
done

# What is acknowledged after the backup is lost: version 3, a target, an order
# to leave a data centre, and the end of a target.
publish 2 /two/
control POST /searcher/one-1/drain
control POST /searcher/one-1/stop
await "version 2 is in force" served 1 /two/x
await "version 2 is in force" served 3 /two/x
control POST /searcher/one-1/start
sleep 0.5
control POST /store/backup
publish 3 /three/
control PUT /item/op/evacuate/dc-b '{}'
control POST /searcher/one-1/drain
control POST /searcher/one-1/stop
for n in 1 2 3; do await "version 3 is in force" served $n /three/x; done
sleep 0.5

calls=$(count calls)
control POST /store/restore
for n in 1 2 3; do await "daemon $n is in the new era" in_era $n 2; done
for n in 1 2 3; do
	expect "daemon $n does not go back" "$(request back-$n /three/x $n)" 200
	expect "daemon $n has no older route" "$(request two-$n /two/x $n)" 404
done
grep -q 'store: restored from an older copy, reading again: era=1' \
    "$DIR"/vm-*.log || fail "the line of a restored store"
calls=$(($(count calls) - calls))
[ "$calls" -le 30 ] || fail "$calls calls to the store after it was restored"
echo "ok: $calls calls to the store after it was restored"

# The end of one-1 is lost too: its entry is back, but it is not used.
for i in 1 2 3 4 5 6 7 8; do request "r-$i" /three/x 1 >/dev/null; done
sed '1,/store: read: era=2/d' "$DIR/vm-1.log" | grep -q 'target=one-1' &&
    fail "a request was sent to a target that had ended"
echo "ok: the target that had ended is left alone"

# A daemon that starts now gets the newer configuration from its peers.
start_front 4 1
await "daemon 4 is ready" ready 4
expect "daemon 4 has the newest version" "$(request four-1 /three/x 4)" 200

# Numbers are given out again: what is written in the new era is not taken for
# what was known by that number.
publish 3 /three/
publish 4 /four/
begun=$(date +%s%N)
for n in 1 2 3 4; do await "version 4 is in force" served $n /four/x; done
for n in 1 2 3 4; do await "version 3 is not" unknown $n /three/x; done
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 3000 ] || fail "version 4 took $took ms to be in force"
echo "ok: current $took ms after the last change"

# Twice in a row, while nobody reads.
control POST /store/backup
publish 5 /five/
await "version 5 is in force" served 1 /five/x
control POST /store/restore
control POST /store/restore
await "both restores are noticed" in_era 1 4
await "both restores are noticed" in_era 3 4
expect "version 5 stays in force" "$(request five-1 /five/x 1)" 200
publish 6 /six/
for n in 1 2 3 4; do await "version 6 is in force" served $n /six/x; done
kill -9 "$VM2" "$VM3" "$PID"

# A target that announces that it leaves gets nothing while another one is
# there, and nothing at all when its time is over.
control POST /searcher/one-1/start
sleep 7
await "requests are served" served 1 /six/x
control POST /searcher/one-0/announce/1
control POST /searcher/one-1/announce/1
heard() {
	request "h-$(date +%N)" /six/x 1 >/dev/null
	[ "$(grep -c 'target: announced that it leaves: id=one-' \
	    "$DIR/vm-1.log")" = 2 ]
}
await "both targets announced" heard
sleep 3.5
before=$(count late)
expect "a service whose targets have left" "$(request left-1 /six/x 1)" 503
expect "nothing reached them late" "$(count late)" "$before"

# Targets that ask to be left alone: nothing more reaches them, callers learn
# when to return, and are served then.
for s in s0-0 s0-1 s1-0 s1-1; do
	control POST /searcher/$s/hold/1400
	control POST /searcher/$s/shed
done
# The other parts of the first query have run.
expect "targets that want nothing" "$(request hold-1 /all/x 1)" 502
expect "known at once" "$(request hold-2 /all/x 1)" 503
retry=$(sed -n 's/^Retry-After: \([0-9]*\)\..*/\1/p' "$DIR/head")
[ "$retry" = 1 ] || fail "Retry-After of a refusal: $(cat "$DIR/head")"
for i in 1 2 3 4 5 6 7 8 9; do
	request "hold-r$i" /all/x 1 >/dev/null
	sleep 0.1
done
expect "nothing uninvited" "$(count uninvited)" 0
for s in s0-0 s0-1 s1-0 s1-1; do control POST /searcher/$s/none; done
await "served when the time is over" served 1 /all/x
grep -q 'target: left alone: id=s[01]-. ms=1[34]' "$DIR/vm-1.log" ||
    fail "the line of a target that is left alone"
echo "ok: targets that ask to be left alone"
