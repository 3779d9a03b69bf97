#!/bin/sh
# Many requests sent ahead on a few connections, whose answers nobody reads.
# Guards against a process that keeps the answers or the input, and against a
# crowd that leaves no place for an ordinary caller.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
ONLY=${1:-}
. tests/site.sh
. tests/crowd.sh
. tests/broken.sh

start_broken
start_crowded_front
control POST /searcher/one-0/stop
control POST /searcher/one-1/stop
publish_broken broken-0 one
answer "HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 262144\r\n\r\n"
head -c 262144 /dev/zero >>"$DIR/broken/answer"
crowd "large answers ahead" "$FRONT" "$CALLERS" front_serves \
    -n 200 -b 32000 -u /safe/x ahead
crowd "queries ahead" "$FRONT" "$CALLERS" front_serves \
    -n 16 -b 4000000 -u /all/x ahead
crowd "requests without a route ahead" "$FRONT" "$CALLERS" front_serves \
    -n 16 -b 16000000 -u /none/x ahead
crowd "copies of the store ahead" "$FRONT" "$PEERS" front_copies \
    -n 16 -b 16000000 -u "/view?after=0" ahead
crowd "metrics ahead" "$FRONT" "$READY" front_reports \
    -n 16 -b 16000000 -u /metrics ahead

start_crowded_rwfd
crowd "rwfd: requests ahead" "$RWFD" "$HTTP" rwfd_serves \
    -n 16 -b 16000000 -u /healthz ahead
crowd "rwfd: metrics ahead" "$RWFD" "$ADMIN" rwfd_reports \
    -n 16 -b 16000000 -u /metrics ahead
