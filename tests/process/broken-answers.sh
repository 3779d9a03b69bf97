#!/bin/sh
# rwfront on real sockets: a target in trouble sends bytes that are no answer in
# HTTP/1.1.  Guards against callers that get them as an answer, against a request
# that runs twice or is called "not run" after one, against parts of a query that
# are made of them, and against sound but rare answers that are taken for broken.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh
. tests/broken.sh

# The target's answer FORMAT is none: WHAT FORMAT.  The request may have run, so
# it gets 502, which promises nothing, and is not sent again.
broken() {
	n=$((n + 1))
	answer "$OK"
	await "the target is used" served
	: >"$DIR/body"
	answer "$2"
	expect "$1" "$(request "broken-$n" /unsafe/x 1)" 502
	expect "sends of it" "$(sent "broken-$n")" 1
	grep -q '^X-Redwingfork-Server-Stamp' "$DIR/head" &&
	    fail "$1: fields of the broken answer reached the caller"
	[ -s "$DIR/body" ] && fail "$1: a body reached the caller"
}

# The target's answer FORMAT is sound and reaches the caller: WHAT FORMAT STATUS
# BODY.
sound() {
	n=$((n + 1))
	answer "$OK"
	await "the target is used" served
	: >"$DIR/body"
	answer "$2"
	expect "$1" "$(request "sound-$n" /unsafe/x 1)" "$3"
	expect "its body" "$(cat "$DIR/body")" "$4"
}

n=0
start_broken
start_site --shards 3 --singles 1
control POST /searcher/one-0/stop
publish_broken broken-0 one
start_front 1 1
VM1=$PID
await "the daemon is ready" ready 1
OK="HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 2\r\n\r\nok"
answer "$OK"
served() { [ "$(request "ok-$(date +%N)" /unsafe/x 1)" = 200 ]; }
await "a request is served" served

LEN="${SIGNED}Content-Length: 2\r\n\r\nok"
broken "status 000" "HTTP/1.1 000 OK\r\n$LEN"
broken "status 099" "HTTP/1.1 099 OK\r\n$LEN"
broken "status 600" "HTTP/1.1 600 OK\r\n$LEN"
broken "a status of two digits" "HTTP/1.1 20 OK\r\n$LEN"
broken "a status of four digits" "HTTP/1.1 0200 OK\r\n$LEN"
broken "protocols switched unasked" \
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n$LEN"
broken "a blank in the name of a field" \
    "HTTP/1.1 200 OK\r\nX Y: z\r\n$LEN"
broken "a blank after the name of a field" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length : 1\r\n\r\nok"
broken "a blank before the name of a field" \
    "HTTP/1.1 200 OK\r\n Y: z\r\n$LEN"
broken "a control byte in the name of a field" \
    "HTTP/1.1 200 OK\r\nX\001Y: z\r\n$LEN"
broken "a tab before the name of a field" \
    "HTTP/1.1 200 OK\r\nX: y\r\n\tY: z\r\n$LEN"
broken "a control byte in a value" "HTTP/1.1 200 OK\r\nY:\001z\r\n$LEN"
broken "a transfer coding that is not undone" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
broken "a chunk with a wrong size" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n2\r\nokay0\r\n\r\n"
for status in 408 429 503; do
	broken "status $status that does not say that the request did not run" \
	    "HTTP/1.1 $status Run\r\nRetry-After: 0\r\n$LEN"
done
broken "two ids" "HTTP/1.1 200 OK\r\nX-Redwingfork-Request-Id: other\r\n$LEN"
broken "two stamps" "HTTP/1.1 200 OK\r\nX-Redwingfork-Server-Stamp: other\r\n$LEN"
broken "a stamp that is a list" \
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Request-Id: %%I\r\nX-Redwingfork-Server-Stamp: a, b\r\nContent-Length: 2\r\n\r\nok"
broken "a body that is encoded" \
    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n$LEN"

sound "an empty reason" "HTTP/1.1 200 \r\n$LEN" 200 ok
sound "bytes beyond ASCII" \
    "HTTP/1.1 200 \303\244\r\nY: \303\244\r\n$LEN" 200 ok
sound "a rare success" "HTTP/1.1 299 Rare\r\n$LEN" 299 ok
sound "a rare refusal" "HTTP/1.1 451 Law\r\n$LEN" 451 ok
sound "blanks around values" \
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Request-Id:%%I \t\r\nX-Redwingfork-Server-Stamp: b.%%I\r\nContent-Length:2\r\n\r\nok" 200 ok
sound "chunks with an extension and a trailer" \
    "HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: Chunked\r\n\r\n1;a=\"b c\"\r\no\r\n1\r\nk\r\n0\r\nT: x\r\n\r\n" 200 ok
sound "an answer without content that names a length" \
    "HTTP/1.1 304 Not Modified\r\n${SIGNED}Content-Length: 500\r\n\r\n" 304 ""
sound "an interim answer that names a length" \
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\n$LEN" 200 ok
# The server closes the connection after each answer.
: >"$DIR/broken/close"
sound "a body up to the end of the connection" \
    "HTTP/1.1 200 OK\r\n${SIGNED}\r\nall of it" 200 "all of it"
rm "$DIR/broken/close"

# The length of what GET would get is not that of an empty body.
answer "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 500\r\n\r\n"
curl -s -m 5 -I -H 'Host: site.example' -H 'X-Redwingfork-Request-Id: head-1' \
    "http://$NET.1:8104/unsafe/x" >"$DIR/head"
expect "an answer to HEAD" "$(head -n 1 "$DIR/head" | cut -d ' ' -f 2)" 200
expect "a length of an empty body in it" \
    "$(grep -ci '^Content-Length: 0' "$DIR/head")" 0

# Another target serves what may be repeated.
control POST /searcher/one-0/start
answer "HTTP/1.1 000 OK\r\n$LEN"
other_serves() {
	n=$((n + 1))
	request "other-$n" /safe/x 1 >/dev/null
	[ "$(control GET "/ran/one/other-$n")" = 1 ]
}
await "the other target is used" other_serves
good=0
for i in $(seq 20); do
	status=$(request "again-$i" /safe/x 1)
	[ "$status" = 200 ] && good=$((good + 1))
done
expect "requests that may be repeated" "$good" 20

# One shard of three has the broken target alone: its part is left out.
for s in s0-0 s0-1; do control POST /searcher/$s/stop; done
publish_broken broken-1 shard0
PARTS='AAAAAAAAAAAAAAAABBBBBBBBBBBBBBBB'
merged() {
	n=$((n + 1))
	answer "$1"
	request "query-$n" /all/x 1 >/dev/null
}
reached() {
	merged "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 32\r\n\r\n$PARTS"
	grep -q A "$DIR/body"
}
await "its sound part is merged" reached
for head in "HTTP/1.1 000 OK\r\n" "HTTP/1.1 200 OK\r\nX Y: z\r\n" \
    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" \
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Server-Stamp: a, b.query\r\n"; do
	merged "$head${SIGNED}Content-Length: 32\r\n\r\n$PARTS"
	[ "$(sent "query-$n")" -ge 1 ] || fail "query-$n did not reach the target"
	grep -q 'AAAAAAAA' "$DIR/body" && fail "records of a broken part: query-$n"
	grep -q 'X-Redwingfork-Part-Stamps:.*b\.query' "$DIR/head" &&
	    fail "the stamp of a broken part: query-$n"
done
kill -0 "$VM1" || fail "the daemon has ended"
echo "ok: broken parts are left out"
grep -q 'target: broken answer: target=broken-0 id=broken-1$' "$DIR/vm-1.log" ||
    fail "the line of a broken answer"
[ "$(metric 1 rwf_broken_answers_total)" -ge 16 ] ||
    fail "broken answers are not counted: $(metric 1 rwf_broken_answers_total)"
