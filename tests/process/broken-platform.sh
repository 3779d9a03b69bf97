#!/bin/sh
# rwfd and rwfctl on real sockets: the configuration service, and then a daemon
# that rwfctl asks, send bytes that are no HTTP/1.1, or bytes without end.  Guards
# against a process that ends by them or keeps them all, and against reports that
# are made of them.  The memory is that of the optimized build, as the sanitizers
# keep what was freed.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
. tests/checks.sh
. tests/broken.sh

MEMORY_MB=64
LEN='Content-Length: 11\r\n\r\n{"vm":"m1"}'

answer "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
start_broken

NET=127.21.$(($$ % 250)).1
$BIN/rwfd --vm m1 --dc a --addr $NET --platform 127.0.0.1:$PORT \
    >"$DIR/rwfd.log" 2>&1 &
RWFD=$!
PIDS="$PIDS $RWFD"
asked() { grep -q '^request' "$DIR/broken.out"; }
await "the service is asked" asked

# The service answers so for a while: WHAT HEAD [UNIT].
platform() {
	answer "$2" "${3:-}"
	: >"$DIR/broken.out"
	await "$1: the service is asked" asked
	sleep 0.7
	check_bounded $RWFD $MEMORY_MB "$1"
	echo "ok: rwfd, $1, peak of $(peak $RWFD) MB"
}

platform "a status of 000" "HTTP/1.1 000 OK\r\n$LEN"
platform "a transfer coding" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx"
platform "a length that is no number" \
    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nx"
platform "a head without end" "HTTP/1.1 200 OK\r\nX: " "value"
platform "a status line without end" "HTTP/1.1 200 " "reason "
platform "a body without end" "HTTP/1.1 200 OK\r\nX-Version: 1\r\n\r\n" "body"
platform "trailers without end" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" "T: x\r\n"

# Asks the broken server as a daemon: WHAT HEAD [UNIT].
tool() {
	answer "$2" "${3:-}"
	: >"$DIR/broken.out"
	begun=$(date +%s)
	timeout 20 $BIN/rwfctl rules -t 2000 -d 127.0.0.1:$PORT \
	    >"$DIR/rwfctl.out" 2>&1
	status=$?
	[ $status -lt 124 ] || fail "rwfctl, $1: status $status"
	grep -q '^no answer from 127.0.0.1' "$DIR/rwfctl.out" ||
	    fail "rwfctl, $1: $(head -n 3 "$DIR/rwfctl.out")"
	[ $(($(date +%s) - begun)) -le 5 ] || fail "rwfctl, $1: too late"
	[ "$(taken)" -le 32 ] || fail "$1: rwfctl read $(taken) MB"
	echo "ok: rwfctl, $1"
}

tool "a status of 000" "HTTP/1.1 000 OK\r\n$LEN"
tool "a blank in the name of a field" "HTTP/1.1 200 OK\r\nX Y: z\r\n$LEN"
tool "a length and another one" \
    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n$LEN"
tool "a transfer coding" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}"
tool "a chunk with a wrong size" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb zz\r\n{\"vm\":\"m1\"}\r\n0\r\n\r\n"
tool "a head without end" "HTTP/1.1 200 OK\r\nX: " "value"
tool "a body without end" "HTTP/1.1 200 OK\r\n\r\n" "body"
tool "chunk extensions without end" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=" "value"
tool "trailers without end" \
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" "T: x\r\n"
