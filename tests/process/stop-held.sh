#!/bin/sh
# rwfront on real sockets: a planned stop while targets are busy for longer than
# the stop lasts.  Guards against requests that were read and get no answer when
# the daemon exits, at a target or waiting for a connection to one; against a
# "not run" that is not true; and against peers that cannot send elsewhere what
# a stopping daemon did not begin.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

# Connections of a daemon to a target: further requests wait.
CONNS=6
MORE_SETTINGS=RWF_STOP_S=4

# Sends request ID with a body to daemon N in the background, and writes curl's
# exit status and the answer's status.
post() {
	curl -s -m 20 -o /dev/null -H 'Host: site.example' -H 'Expect:' \
	    -H "X-Redwingfork-Request-Id: $1" \
	    -H 'X-Redwingfork-Deadline-Ms: 9000' --data "a=1" -D "$DIR/head-$1" \
	    -w '%{exitcode} %{http_code}\n' "http://$NET.$2:8104/unsafe/x" \
	    >"$DIR/post-$1" &
	CALLERS="$CALLERS $!"
}

# Sends a request, late in the stop, whose body does not end while the daemon
# runs.
post_slowly() {
	{
		sleep 2
		printf 'POST /unsafe/x HTTP/1.1\r\nHost: site.example\r\n'
		printf 'X-Redwingfork-Request-Id: slow\r\nContent-Length: 9\r\n\r\na'
		sleep 8
	} | curl -s -m 20 -N "telnet://$NET.1:8104" >"$DIR/slow" &
	CALLERS="$CALLERS $!"
}

# Checks the answers of the requests NAME-1 to NAME-COUNT, of which RAN were at
# a target and the others waited for a connection: NAME COUNT RAN.
check_answers() {
	unknown=0
	refused=0
	for i in $(seq "$2"); do
		answer=$(cat "$DIR/post-$1-$i")
		case $(control GET "/ran/one/$1-$i"):$answer in
		0:"0 503") refused=$((refused + 1)) ;;
		1:"0 504") unknown=$((unknown + 1)) ;;
		*) fail "$1-$i ran $(control GET "/ran/one/$1-$i") times: '$answer'" ;;
		esac
	done
	expect "$1: answered as unknown" "$unknown" "$3"
	expect "$1: answered as not run" "$refused" $(($2 - $3))
}

start_site --shards 2 --singles 1 --timeout 9000
control POST /searcher/one-0/work/8000
start_front 1 1
VM1=$PID
start_front 2 1
await "daemon 1 is ready" ready 1
await "daemon 2 is ready" ready 2
sleep 1
CALLERS=""
for i in $(seq $((2 * CONNS))); do post "local-$i" 1; done
post_slowly
sleep 0.5
kill -TERM "$VM1"
wait "$VM1"
expect "exit status" $? 0
for pid in $CALLERS; do wait "$pid"; done
check_answers local $((2 * CONNS)) $CONNS
grep -qi '^Retry-After: 0' "$DIR"/head-local-* || fail "no Retry-After"
grep -q '^HTTP/1.1 503' "$DIR/slow" || fail "no answer to a body that ends late"
echo "ok: a body that ends late"

# Daemon 2 loses its ways to the targets and leaves requests to daemon 1, which
# stops before it has sent them.
start_front 1 1
VM1=$PID
await "daemon 1 is ready" ready 1
control POST "/ways/$NET.2/reset"
is_cut() { [ "$(metric 2 rwf_cut_off)" = 1 ]; }
await "daemon 2 is cut off" is_cut
sleep 1
CALLERS=""
for i in $(seq $CONNS); do post "own-$i" 1; done
sleep 0.3
for i in $(seq $CONNS); do post "left-$i" 2; done
sleep 0.5
kill -TERM "$VM1"
wait "$VM1"
for pid in $CALLERS; do wait "$pid"; done
check_answers own $CONNS $CONNS
check_answers left $CONNS 0
