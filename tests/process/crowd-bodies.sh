#!/bin/sh
# Many large bodies of legal size at once, whole or piece by piece, most of which
# stop just short of their end and stay.  Guards against a process that keeps
# them all, and against a crowd that leaves no place for an ordinary caller.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
ONLY=${1:-}
. tests/site.sh
. tests/crowd.sh

start_crowded_front
await "a large body is served" front_takes_body
crowd "bodies, whole" "$FRONT" "$CALLERS" front_serves \
    -n 400 -b $FRONT_BODY -u /unsafe/x body
crowd "bodies, piece by piece" "$FRONT" "$CALLERS" front_serves \
    -n 400 -b $FRONT_BODY -p 4096 -u /all/x body
crowd "bodies for peers" "$FRONT" "$PEERS" front_copies \
    -n 200 -b $RWFD_BODY -u "/view?after=0" body
crowd "heads without end" "$FRONT" "$CALLERS" front_serves \
    -n 500 -b 16000 head
crowd "bodies for operators" "$FRONT" "$READY" front_reports \
    -n 200 -b 8192 -u /metrics body
await "a large body is served after the crowds" front_takes_body

start_crowded_rwfd
crowd "rwfd: bodies, whole" "$RWFD" "$HTTP" rwfd_serves \
    -n 200 -b $RWFD_BODY -u /v1/search/partsdesk body
crowd "rwfd: bodies, piece by piece" "$RWFD" "$HTTP" rwfd_serves \
    -n 200 -b $RWFD_BODY -p 4096 -u /v1/search/partsdesk body
crowd "rwfd: bodies for operators" "$RWFD" "$ADMIN" rwfd_reports \
    -n 200 -b $RWFD_BODY -u /metrics body
crowd "rwfd: records" "$RWFD" "$RPC" rwfd_serves -n 200 -b $RWFD_BODY record
