#!/bin/sh
# Daemons stop and die while callers search.  Guards against parts that are
# sent to targets without a holder although other replicas have one, against
# holders that are not succeeded, and against a planned stop that interrupts
# requests.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
LOGS=build/check/holder-lost
. tests/tier.sh

# Checks that the searches that search_many sent were answered, and that the
# answers cover at least $1/1000 of the shards.
expect_coverage() {
	echo "$ANSWERED of 40 answered, $COMPLETE complete," \
	    "$COVERAGE/1000 of the shards covered"
	[ "$ANSWERED" -eq 40 ] || fail "$((40 - ANSWERED)) searches failed"
	[ "$COVERAGE" -ge "$1" ] || fail "coverage is below $1/1000"
}

# Prints how many targets of DC have an acting holder among the daemons $2.
acting() {
	$BIN/rwfctl targets -d "$2" "$1" | awk 'NR > 1 && $5 != "-"' | wc -l
}

start_platform gauteng
start_targets gauteng partsdesk --searchers 30 --replicas 2 --prefix pd \
    --dcs midrand-a,isando-b --delay-us 3000
start_targets gauteng reserve-svc --searchers 10 --replicas 2 --prefix rs \
    --dcs midrand-a,isando-b --delay-us 3000
cat >"$LOGS/gauteng.rules" <<'END'
service partsdesk # thandi
service reserve-svc kind=once slots=4 connections=200 # thandi
END
for n in 1 2 3; do
	start_daemon gauteng mid-$n midrand-a
	eval "mid_$n=$PID"
done
for n in 1 2 3; do
	start_daemon gauteng isa-$n isando-b
	eval "isa_$n=$PID"
done
publish_vms gauteng mid-1 midrand-a mid-2 midrand-a mid-3 midrand-a \
    isa-1 isando-b isa-2 isando-b isa-3 isando-b
publish_maps gauteng partsdesk
publish_maps gauteng reserve-svc
publish_rules gauteng
wait_rules 1 "$(admins mid-1 mid-2 mid-3 isa-1 isa-2 isa-3)"
wait_ready mid-1 mid-2 mid-3 isa-1 isa-2 isa-3
wait_complete isa-1 partsdesk counter "red lens"

say "mid-1 is killed"
kill -9 "$mid_1"
search_many 40 isa-1 partsdesk counter
expect_coverage 900
sleep 4
rest=$(admins mid-2 mid-3)
echo "$(acting midrand-a "$rest") of 20 targets of midrand-a have a holder"
[ "$(acting midrand-a "$rest")" -eq 20 ] || fail "holders were not succeeded"

say "isa-3 is stopped while requests run"
entries="$(address isa-1 http),$(address mid-3 http)"
$BIN/rwfload run --services partsdesk,reserve-svc --rate 50 --duration 3s \
    --entries "$entries" --csv "$LOGS/stop.csv" >"$LOGS/stop.txt" 2>&1 &
load=$!
sleep 1
kill "$isa_3"
wait "$isa_3" || fail "isa-3 ended with status $?"
wait $load || fail "no request was answered"
cat "$LOGS/stop.txt"
awk -F, 'NR > 1 && $17 > 0 { exit 1 }' "$LOGS/stop.csv" ||
    fail "the outcome of a request is unknown"
awk -F, 'NR > 1 && $10 != "" && $10 < 0.9 { exit 1 }' "$LOGS/stop.csv" ||
    fail "coverage is below 0.9"

say "mid-2 is killed: midrand-a has lost its majority"
kill -9 "$mid_2"
sleep 2
search_many 40 isa-1 partsdesk counter
expect_coverage 900

say "Load that the targets have seen"
for service in partsdesk reserve-svc; do
	peak=$(stat_max $service peak_permille)
	echo "$service: highest concurrency is $peak/1000"
	[ "$peak" -le 1000 ] || fail "$service was overloaded"
done
runs=$(stat_max reserve-svc most_runs)
[ "$runs" -eq 1 ] || fail "a reservation ran $runs times"
DAEMON_PIDS="$mid_3 $isa_1 $isa_2"
echo "all as expected"
