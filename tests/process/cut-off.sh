#!/bin/sh
# rwfront on real sockets: daemons that lose their ways to all targets, while
# callers, the store and the other daemons still reach them.  Guards against
# callers of such daemons that are served worse than those of others, against
# answers that lack the parts that were left to such a daemon, against requests
# that run twice or a "not run" that is not true, and against a daemon that does
# not return when its ways are back.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

count() { control GET /report | sed "s/.*$1=\([0-9]*\).*/\1/"; }
runs() { control GET "/ran/one/$1"; }
is_cut() { [ "$(metric "$1" rwf_cut_off)" = "$2" ]; }
ways() { control POST "/ways/$NET.$1/$2"; }

# Sends 20 requests each for a query, a safe and an unsafe single request to
# daemon N, and counts those that are served whole.  None may be refused though
# it ran, nor run twice.
served() {
	good=0
	for i in $(seq 20); do
		for kind in all safe unsafe; do
			id=$kind-$1-$2-$i
			status=$(request "$id" /$kind/x "$1")
			[ "$status" = 200 ] && good=$((good + 1))
			[ "$status:$kind" = "503:unsafe" ] &&
			    [ "$(runs "$id")" != 0 ] &&
			    fail "refused, and ran: $id"
		done
	done
	echo $good
}

start_site --shards 8
for n in 1 2 3 4; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2 3 4; do await "daemon $n is ready" ready $n; done
[ "$(served 1 well)" -ge 59 ] || fail "not served before the trouble"

# Daemons 1 and 2 of four lose their connections, and get no new ones.
ways 1 reset
ways 2 reset
sleep 4
for n in 1 2 3; do
	good=$(served $n reset)
	[ "$good" -ge 57 ] || fail "daemon $n served $good of 60"
	echo "ok: daemon $n served $good of 60"
done
expect "daemon 1 knows" "$(metric 1 rwf_cut_off)" 1
expect "daemon 3 is not cut off" "$(metric 3 rwf_cut_off)" 0
ways 1 open
ways 2 open
for n in 1 2; do await "daemon $n is back" is_cut $n 0; done

# All but one daemon: connections live on, and new ones are refused.
for n in 1 2 3; do ways $n refused; done
# Each is asked for more at once than it has connections for.
for n in 1 2 3; do
	for i in 1 2 3 4 5 6 7 8; do
		request "push-$n-$i" /safe/x $n >/dev/null &
		PIDS="$PIDS $!"
	done
done
control POST /searcher/one-0/reset
sleep 1
control POST /searcher/one-0/none
sleep 3
for n in 1 2 3 4; do
	good=$(served $n refused)
	[ "$good" -ge 57 ] || fail "daemon $n served $good of 60"
	echo "ok: daemon $n served $good of 60"
done
for n in 1 2 3; do ways $n open; done
for n in 1 2 3; do await "daemon $n is back" is_cut $n 0; done

# The peer of a daemon that is cut off dies: what may have run is not repeated.
ways 1 reset
await "daemon 1 is cut off" is_cut 1 1
kill -9 "$VM2" "$VM3"
after=$(served 1 died)
[ "$after" -ge 40 ] || fail "daemon 1 served $after of 60 after two peers died"
echo "ok: daemon 1 served $after of 60 after two peers died"
expect "no request ran twice" "$(count twice)" 0

# All are cut off: refused at once, and served when the ways are back.
ways 4 reset
await "daemon 4 is cut off" is_cut 4 1
begun=$(date +%s%N)
request none-1 /safe/x 1 >/dev/null
took=$((($(date +%s%N) - begun) / 1000000))
[ $took -lt 500 ] || fail "a request waited $took ms while all are cut off"
ways 1 open
ways 4 open
for n in 1 4; do await "daemon $n is back" is_cut $n 0; done
[ "$(served 1 end)" -ge 58 ] || fail "not served after the trouble"
echo "ok: served after the trouble"

# The large daemons are cut off, so that only small ones can help.
start_front 2 1
start_front 3 0.2
settings 4 0.2
for n in 2 3; do await "daemon $n is ready" ready $n; done
await "daemon 4 reads its settings again" \
    grep -q 'settings: read again' "$DIR/vm-4.log"
ways 1 reset
ways 2 reset
sleep 4
for n in 1 2; do
	good=$(served $n large)
	[ "$good" -ge 57 ] || fail "daemon $n served $good of 60 by small ones"
	echo "ok: daemon $n served $good of 60 by small daemons"
done
