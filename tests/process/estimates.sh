#!/bin/sh
# rwfront on real sockets: the estimates of targets at the admin port.  Guards
# against a list that is not JSON or lacks targets, and against load reports that
# do not reach the estimates.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

start_site --shards 2
start_front 1 1
await "the daemon is ready" ready 1
for i in $(seq 60); do
	[ "$(request "e-$i" /all/lens 1)" = 200 ] || fail "request $i"
done
$BIN/rwfctl estimates -d "$NET.1:8108" >"$DIR/estimates" || fail "rwfctl estimates"
[ "$(grep -c "^s[01]-[01] " "$DIR/estimates")" = 4 ] ||
	fail "the list: $(cat "$DIR/estimates")"
grep -q "replies and reports$" "$DIR/estimates" ||
	fail "the source: $(cat "$DIR/estimates")"
[ "$(metric 1 rwf_work_figures_invalid_total)" = 0 ] || fail "invalid figures"
echo "ok: the estimates of four targets"
