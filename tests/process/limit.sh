#!/bin/sh
# rwfront on real sockets: targets that name how many requests a second they
# take from all daemons together.  Guards against daemons that send as before or
# that exceed the limit together, under a load that is spread unevenly over them
# and while one of them restarts; against a limit that is left unused or never
# ends; and against callers that wait for what the limits rule out.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

count() { control GET /report | sed "s/.*$1=\([0-9]*\).*/\1/"; }
ran() { control GET /report | sed 's/.*ran=\([0-9]*\).*/\1/'; }

# Sends requests for PATH to daemon N one after the other for SECONDS, and
# writes their statuses to a file.
load() {
	end=$(($(date +%s) + $3))
	while [ "$(date +%s)" -lt $end ]; do
		id=l$1-$4-$(date +%s%N)
		curl -s -m 5 -o /dev/null -H 'Host: site.example' \
		    -w "%{http_code} %{time_total} %{time_connect} $id\n" \
		    -H "X-Redwingfork-Request-Id: $id" \
		    -H 'X-Redwingfork-Deadline-Ms: 1500' \
		    "http://$NET.$1:8104$2"
	done >"$DIR/load-$1-$4"
}

# Starts callers for SECONDS: three at daemon 1, one at 2 and 3 each, none at
# daemon 4.
uneven_load() {
	LOADS=""
	load 1 "$1" "$2" a & LOADS="$LOADS $!"
	load 1 "$1" "$2" b & LOADS="$LOADS $!"
	load 1 "$1" "$2" c & LOADS="$LOADS $!"
	load 2 "$1" "$2" a & LOADS="$LOADS $!"
	load 3 "$1" "$2" a & LOADS="$LOADS $!"
	PIDS="$PIDS $LOADS"
}

join() {
	for pid in $LOADS; do wait "$pid"; done
	cat "$DIR"/load-* >"$DIR/loads"
	rm -f "$DIR"/load-*
}

statuses() { awk -v s="$1" '$1 == s' "$DIR/loads" | wc -l; }

start_site --shards 2
for n in 1 2 3 4; do
	start_front $n 1
	eval "VM$n=$PID"
done
for n in 1 2 3 4; do await "daemon $n is ready" ready $n; done

# One of the two targets of a service takes 6 requests a second; daemon 2
# restarts meanwhile.  The other target has room for all.
control POST /searcher/one-0/limit/60
uneven_load /safe/x 11
sleep 6
kill -9 "$VM2"
start_front 2 1
join
expect "requests beyond the limit of one target" "$(count beyond)" 0
[ "$(statuses 200)" -ge 100 ] || fail "only $(statuses 200) requests were served"
[ "$(statuses 503)" = 0 ] || fail "$(statuses 503) requests were refused"
echo "ok: $(statuses 200) requests while one target names a limit"

# Both name a limit: what they cannot take is refused at once.
control POST /searcher/one-1/limit/60
before=$(ran)
uneven_load /safe/x 10
join
expect "requests beyond the limits of two targets" "$(count beyond)" 0
served=$(($(ran) - before))
[ "$served" -ge 20 ] || fail "only $served requests ran under the limits"
[ "$(statuses 503)" -ge 20 ] || fail "only $(statuses 503) were refused"
slow=$(awk '$1 == 503 && $2 > 0.5' "$DIR/loads" | wc -l)
awk '$1 == 503 && $2 > 0.5' "$DIR/loads" | while read -r status time connect id; do
	echo "late: status=$status s=$time connect_s=$connect id=$id"
	lines "$id"
done
expect "refusals that came late" "$slow" 0
request limited-1 /safe/x 1 >/dev/null
echo "ok: $served requests ran, $(statuses 503) were refused at once"

# The shards: parts that the limits rule out are left out, not waited for.
for s in s0-0 s0-1 s1-0 s1-1; do control POST /searcher/$s/limit/30; done
uneven_load /all/x 9
join
expect "parts beyond the limits of the shards" "$(count beyond)" 0
[ "$(statuses 200)" -ge 10 ] || fail "only $(statuses 200) queries were served"

# A target that refuses, and does not name its limit in refusals, still has it.
request heard-1 /safe/x 1 >/dev/null
control POST /searcher/one-0/shed
control POST /searcher/one-1/shed
uneven_load /safe/x 8
join
expect "requests beyond the limits of targets that refuse" "$(count beyond)" 0
control POST /searcher/one-0/none
control POST /searcher/one-1/none

# The limits end: all is served again.
for s in s0-0 s0-1 s1-0 s1-1 one-0 one-1; do
	control POST /searcher/$s/limit/0
done
open() {
	for i in 1 2 3 4 5 6 7 8; do
		[ "$(request "o-$(date +%N)" /safe/x 1)" = 200 ] || return 1
	done
}
await "requests are served when the limits have ended" open
grep -q 'target: limited: id=one-0 .*per_s=6.000' "$DIR/vm-1.log" ||
    fail "the line of a limit"
grep -q 'target: not limited any more: id=one-' "$DIR/vm-1.log" ||
    fail "the line of the end of a limit"
echo "ok: the limits end"
