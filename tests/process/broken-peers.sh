#!/bin/sh
# rwfront on real sockets: a peer sends bytes that are no HTTP/1.1, or bytes
# without end, in the place of the answer to a relayed query, of the results of
# parts and of a transfer of store items.  Guards against callers that get them,
# and against a daemon that ends by them or keeps them all.
#
# Daemon 3 takes another port for its peers than daemon 1.  rwfudp carries their
# gossip, and rwfbroken has the port at which daemon 3 looks for daemon 1.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
. tests/site.sh
. tests/broken.sh

MEMORY_MB=64
MORE_SETTINGS="RWF_MEMORY_MB=$MEMORY_MB"

# Starts daemon 3 with the processor share CORES: CORES.
start_small() {
	settings 3 "$1"
	sed -i "s/^RWF_PEERS=.*/RWF_PEERS=$NET.3:7390/" "$DIR/vm-3.settings"
	$BIN/rwfront -s "$DIR/vm-3.settings" >"$DIR/vm-3.log" 2>&1 &
	VM3=$!
	PIDS="$PIDS $VM3"
	await "daemon 3 is ready" ready 3
}

# Sends queries to daemon 3 until one has reached the peer; its id is in ID.
reach() {
	ID=q-$(date +%N)
	STATUS=$(request "$ID" /all/x 3)
	[ "$(sent "$ID")" -ge 1 ]
}

# The peer's answer HEAD [UNIT] reaches no caller: WHAT HEAD [UNIT].
broken() {
	title=$1
	shift
	answer "$@"
	await "$title: a query reaches the peer" reach
	grep -aq 'AAAAAAAA' "$DIR/body" && fail "$title: the peer's bytes are in $ID"
	grep -q 'X Y' "$DIR/head" && fail "$title: the peer's field is in $ID"
	# Both promise nothing.
	case $STATUS in
	502 | 504) ;;
	*) fail "$title: status $STATUS of $ID" ;;
	esac
	lines "$ID" | grep -q "target: \(broken answer\|answer too large\): $PEER" ||
	    fail "$title: the lines of $ID: $(lines "$ID")"
	check_bounded $VM3 $MEMORY_MB "$title"
	echo "ok: $title"
}

# Each kind of answer once: KIND HEADERS.
each_kind() {
	end="Content-Length: 32\r\n\r\nAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	broken "$1, status 000" "HTTP/1.1 000 OK\r\n$2$end"
	broken "$1, a blank in a name" "HTTP/1.1 200 OK\r\nX Y: z\r\n$2$end"
	broken "$1, a transfer coding" \
	    "HTTP/1.1 200 OK\r\n${2}Transfer-Encoding: gzip\r\n\r\nAAAAAAAA"
	broken "$1, a head without end" "HTTP/1.1 200 OK\r\n${2}X: " "AAAAAAAA"
	broken "$1, a body without end" "HTTP/1.1 200 OK\r\n${2}\r\n" "AAAAAAAA"
	broken "$1, chunks without end" \
	    "HTTP/1.1 200 OK\r\n${2}Transfer-Encoding: chunked\r\n\r\n" \
	    "8\r\nAAAAAAAA\r\n"
}

answer "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"
start_site --shards 8
start_broken $NET.1:7390
$BIN/rwfudp $NET.1:7380 $NET.1:7390 $NET.3:7380 $NET.3:7390 2>"$DIR/udp.log" &
PIDS="$PIDS $!"
start_front 1 1
VM1=$PID
await "daemon 1 is ready" ready 1

# A small daemon leaves whole queries to the peer.
PEER=target=peer-
start_small 0.2
each_kind "a relay" ""
grep -q '^request none' "$DIR/broken.out" || fail "no transfer was asked for"
kill -9 $VM3

# A transfer without end: daemon 3 starts and reads the store itself.
: >"$DIR/broken.out"
answer "HTTP/1.1 200 OK\r\n\r\n" "AAAAAAAA"
start_small 0.2
transferred() { grep -q '^closed none' "$DIR/broken.out"; }
await "a transfer is asked for" transferred
check_bounded $VM3 $MEMORY_MB "a transfer without end"
echo "ok: a transfer without end, peak of $(peak $VM3) MB"
kill -9 $VM3

# A daemon of another data centre leaves it the parts there.
kill -9 "$VM1"
for s in 0 1 2 3 4 5; do control POST /searcher/s$s-0/stop; done
for s in 6 7; do control POST /searcher/s$s-1/stop; done
start_front 1 1 dc-b
await "daemon 1 is ready" ready 1
: >"$DIR/broken.out"
answer "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"
PEER=target=delegate-
start_small 1
each_kind "parts" "X-Rwf-Results: a,b,c,d,e,f\r\n"
echo "ok: broken answers of peers"
