#!/bin/sh
# Many chunked bodies of legal size at once, in large or very small chunks, most
# of which stop just short of their end and stay.  Guards against a process that
# keeps them all, and against a crowd that leaves no place for an ordinary caller.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
ONLY=${1:-}
. tests/site.sh
. tests/crowd.sh

start_crowded_front
crowd "large chunks" "$FRONT" "$CALLERS" front_serves \
    -n 400 -b $FRONT_BODY -k 65536 -u /unsafe/x chunks
crowd "very small chunks" "$FRONT" "$CALLERS" front_serves \
    -n 400 -b $FRONT_BODY -k 1 -u /all/x chunks
crowd "chunks for peers" "$FRONT" "$PEERS" front_copies \
    -n 200 -b $RWFD_BODY -k 65536 -u "/view?after=0" chunks

start_crowded_rwfd
crowd "rwfd: large chunks" "$RWFD" "$HTTP" rwfd_serves \
    -n 200 -b $RWFD_BODY -k 65536 -u /v1/search/partsdesk chunks
crowd "rwfd: very small chunks" "$RWFD" "$HTTP" rwfd_serves \
    -n 200 -b $RWFD_BODY -k 1 -u /v1/search/partsdesk chunks
crowd "rwfd: chunks for operators" "$RWFD" "$ADMIN" rwfd_reports \
    -n 200 -b $RWFD_BODY -k 65536 -u /metrics chunks
