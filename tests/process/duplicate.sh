#!/bin/sh
# rwfront on real sockets: a target that sends a refusal a second time, when the
# request has come again on the same connection and runs.  Guards against a copy
# of an answer that is taken for the answer to the next send: the caller would be
# told that the request has not run.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

start_site --shards 2 --singles 1
start_front 1 1
await "the daemon is ready" ready 1
served() { [ "$(request "ok-$(date +%N)" /safe/x 1)" = 200 ]; }
await "a request is served" served

control POST /searcher/one-0/repeat
for i in 1 2 3 4 5; do
	status=$(request "copy-$i" /unsafe/x 1)
	runs=$(control GET "/ran/one/copy-$i")
	[ "$runs" -le 1 ] || fail "request copy-$i ran $runs times"
	[ "$status" != 503 ] || [ "$runs" = 0 ] ||
	    fail "request copy-$i was answered 503 and ran"
	expect "a request that was refused once" "$status" 200
done
echo "ok: a refusal that comes twice"
