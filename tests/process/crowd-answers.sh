#!/bin/sh
# Large answers that nobody reads: to requests sent ahead, and to one request each
# that closes its connection.  Guards against a process that keeps them, also those
# of connections that are ending, and against a crowd that leaves no place for an
# ordinary caller.  The target is known to answer before the crowds come.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
ONLY=${1:-}
. tests/site.sh
. tests/crowd.sh
. tests/broken.sh

ANSWER=3000000

# A caller that reads gets the whole answer.
answer_is_read() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code} %{size_download}' \
	    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: r-$(date +%N)" \
	    -H 'X-Redwingfork-Deadline-Ms: 1500' "http://$CALLERS/safe/x")" = \
	    "200 $ANSWER" ]
}

start_broken
start_crowded_front
control POST /searcher/one-0/stop
control POST /searcher/one-1/stop
publish_broken broken-0 one
answer "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: $ANSWER\r\n\r\n"
head -c $ANSWER /dev/zero >>"$DIR/broken/answer"
await "a large answer is read" answer_is_read
crowd "last answers" "$FRONT" "$CALLERS" front_serves -n 200 -u /safe/x last
await "a large answer is read after the crowd" answer_is_read
crowd "answers ahead" "$FRONT" "$CALLERS" front_serves \
    -n 200 -b 32000 -u /safe/x ahead
await "a large answer is read after both crowds" answer_is_read
echo "answers that the target was asked for: $(grep -c '^request' "$DIR/broken.out")"
