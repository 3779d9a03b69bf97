#!/bin/sh
# rwfront on real sockets: a target, and then the store, sends bytes without end.
# Guards against a daemon that keeps or reads them all, and whose other callers
# pay for it.  The memory is that of the optimized build, as the sanitizers keep
# what was freed.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
. tests/site.sh
. tests/broken.sh

MEMORY_MB=64
MORE_SETTINGS="RWF_MEMORY_MB=$MEMORY_MB"
CALLERS=8

start_broken
start_site --shards 3 --singles 1
control POST /searcher/one-0/stop
publish_broken broken-0 one
start_front 1 1
VM1=$PID
await "the daemon is ready" ready 1
served() { [ "$(request "all-$(date +%N)" /all/x 1)" = 200 ]; }
await "queries are served" served

# Callers of the broken target, and queries beside them: WHAT HEAD UNIT.
flood() {
	answer "$2" "$3"
	callers=""
	for i in $(seq $CALLERS); do
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' \
		    -H 'Host: site.example' \
		    -H "X-Redwingfork-Request-Id: flood-$i-$(date +%N)" \
		    -H 'X-Redwingfork-Deadline-Ms: 1500' \
		    "http://$NET.1:8104/unsafe/x" >"$DIR/flood-$i" &
		callers="$callers $!"
	done
	good=0
	for i in $(seq 10); do
		served && good=$((good + 1))
	done
	for pid in $callers; do wait "$pid"; done
	[ "$good" -ge 9 ] || fail "$1: $good of 10 queries beside it were served"
	grep -q 200 "$DIR"/flood-* && fail "$1: a caller got it as an answer"
	check_bounded "$VM1" $MEMORY_MB "$1"
	echo "ok: $1, peak of $(peak "$VM1") MB"
}

flood "a status line" "HTTP/1.1 200 " "reason "
flood "a field" "HTTP/1.1 200 OK\r\nX: " "value"
flood "fields" "HTTP/1.1 200 OK\r\n$SIGNED" "X: y\r\n"
flood "a body up to the end" "HTTP/1.1 200 OK\r\n$SIGNED\r\n" "body"
flood "a body with a length" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 99999999999\r\n\r\n" "body"
flood "chunks" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n" \
    "8\r\nabcdefgh\r\n"
flood "chunk extensions" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n8" ";a=b"
flood "trailers" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n0\r\n" "T: x\r\n"
flood "interim answers" "" "HTTP/1.1 102 Processing\r\n\r\n"
flood "answers to other requests" "" \
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Request-Id: x\r\nContent-Length: 2\r\n\r\nxx"

# A daemon whose store does it.
STORE=$PORT
for place in head body; do
	case $place in
	head) answer "HTTP/1.1 200 OK\r\nX: " "value" ;;
	body) answer "HTTP/1.1 200 OK\r\n\r\n" "body" ;;
	esac
	: >"$DIR/broken.out"
	start_front 3 1
	asked() { [ "$(grep -c '^closed' "$DIR/broken.out")" -ge 3 ]; }
	await "the store is asked again" asked
	check_bounded "$PID" $MEMORY_MB "a $place of the store"
	echo "ok: a $place of the store, peak of $(peak "$PID") MB"
	kill -9 "$PID"
done
