#!/bin/sh
# Connections that send nothing, or the begin of a head, on all listeners at once.
# Guards against a process that uses more descriptors than it may have, and
# against a crowd that leaves no place for an ordinary caller.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/opt/bin
ONLY=${1:-}
. tests/site.sh
. tests/crowd.sh

# Beside the crowd that is checked: connections to other listeners.
beside() {
	$BIN/rwfcrowd -n 1500 silent "$1" >/dev/null &
	PIDS="$PIDS $!"
}

start_crowded_front
beside "$PEERS"
beside "$READY"
crowd "silent callers" "$FRONT" "$CALLERS" front_serves -n 1500 silent
crowd "begun heads" "$FRONT" "$CALLERS" front_serves -n 1500 -b 20 head
crowd "silent callers, for a peer" "$FRONT" "$CALLERS" front_copies \
    -n 1500 silent
crowd "silent callers, for an operator" "$FRONT" "$CALLERS" front_reports \
    -n 1500 silent

start_crowded_rwfd
beside "$ADMIN"
beside "$RPC"
crowd "rwfd: silent callers" "$RWFD" "$HTTP" rwfd_serves -n 1500 silent
crowd "rwfd: begun heads" "$RWFD" "$HTTP" rwfd_serves -n 1500 -b 20 head
crowd "rwfd: silent callers, for an operator" "$RWFD" "$HTTP" rwfd_reports \
    -n 1500 silent
