#!/bin/sh
# rwfront on real sockets: another program writes entries among those of the
# targets that are nested without end, or have numbers and ports out of range.
# Guards against daemons that end by such an entry, or that do not follow the
# list any more, from the store or from a peer.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

ENTRY='"service":"one","address":"127.0.0.1:1","state":"ready"'

# Writes the entry of the target ID: ID VALUE.
put() {
	printf '%s' "$2" >"$DIR/value"
	curl -s -m 5 -X PUT -H 'Expect:' "http://127.0.0.1:$CONTROL/item/servers/$1" \
	    --data-binary "@$DIR/value"
}

# Prints WORD COUNT times.
repeat() { yes "$1" | head -n "$2" | tr -d '\n'; }

write_entries() {
	put odd-0 "$(repeat '[' 900000)"
	put odd-1 "{$ENTRY,\"x\":$(repeat '{\"a\":' 150000)"
	put odd-2 "{$ENTRY,\"x\":$(repeat '[' 2000)$(repeat ']' 2000)}"
	put odd-3 "{$ENTRY,\"capacity\":1e999}"
	put odd-4 "{$ENTRY,\"capacity\":$(repeat 9 400)}"
	put odd-5 "{$ENTRY,\"born\":9223372036854775808,\"warmupLeftMs\":-1e308}"
	put odd-6 '{"service":"one","address":"127.0.0.1:65536","state":"ready"}'
	put odd-7 '{"service":"one","address":"127.0.0.1:-1","state":"ready"}'
	put odd-8 '{"service":"one","address":"127.0.0.1:0","state":"ready"}'
	put odd-9 "{$ENTRY,\"x\":[{}$(repeat ',{}' 300000)]}"
	# In the place of a good entry, until its target writes again.
	put one-0 '{"service":"one","address":"127.0.0.1:99999","state":"ready"}'
}

# Sends requests to daemon N and fails unless nearly all are served: N NAME.
check_served() {
	good=0
	for i in $(seq 20); do
		for kind in all unsafe; do
			status=$(request "$2-$1-$i-$kind" /$kind/x "$1")
			[ "$status" = 200 ] && good=$((good + 1))
		done
	done
	[ "$good" -ge 39 ] || fail "daemon $1 served $good of 40: $2"
	echo "ok: daemon $1, $2: $good of 40"
}

start_site --shards 2
for n in 1 2; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2; do await "daemon $n is ready" ready $n; done
for n in 1 2; do check_served $n before; done
for round in 1 2 3; do
	write_entries
	control POST /searcher/one-0/publish
	sleep 0.5
done
for n in 1 2; do check_served $n beside; done

# What is written later is still followed.
control POST /searcher/one-0/stop
follows() { grep -q 'target: gone: id=one-0' "$DIR/vm-$1.log"; }
for n in 1 2; do await "daemon $n follows the list" follows $n; done

# A daemon that reads all of it at its start.
start_front 3 1
await "daemon 3 is ready" ready 3
check_served 3 after
for pid in $VM1 $VM2 $PID; do
	kill -0 "$pid" || fail "a daemon has ended"
done
echo "ok: entries that cannot be used"
