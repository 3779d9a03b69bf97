#!/bin/sh
# rwfd on real sockets: settings, malformed input, callers that leave, a planned
# stop with requests that run, and a daemon that is killed.  Guards against
# faults that only real sockets and signals show.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
IP=127.0.0.1
. tests/checks.sh

# Starts NAME COMMAND... and waits for the line that begins with $READY.
start() {
	name=$1
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.log" </dev/null &
	PID=$!
	PIDS="$PIDS $PID"
	for _ in $(seq 200); do
		grep -q "^$READY" "$DIR/$name.out" && return
		sleep 0.05
	done
	fail "$name did not start"
}

# Prints address KIND of daemon VM.
address() {
	sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$DIR/$1.out"
}

status() {
	curl -s -m 9 -o "$DIR/body" -w '%{http_code}' "$@"
}

search() {
	status --data lens "http://$(address "$1" http)/v1/search/partsdesk"
}

complete() {
	[ "$(search "$1")" = 200 ] && grep -q '"complete":true' "$DIR/body"
}

publish() {
	curl -sf -X PUT --data-binary @- -o /dev/null \
	    "http://$IP:$control/control/docs/$1" || fail "publish $1"
}

# Settings.
$BIN/rwfd --vm a --dc b --addr $IP --platform $IP:1 --check >"$DIR/o" 2>&1
expect "valid settings" "$?" 0
RWF_HTTP_PORT=x $BIN/rwfd --vm a --dc b --addr $IP --platform $IP:1 --check \
    >"$DIR/o" 2>&1
expect "invalid settings" "$?" 2
expect "they are named" "$(head -n 1 "$DIR/o")" \
    'rwfd: --http-port (RWF_HTTP_PORT): "x" is invalid: expected 0 to 65535'

# Three daemons.  An exchange takes 30 ms.
READY=control
start plat $BIN/rwfplat
READY=ready
start targets $BIN/rwftarget --profile gauteng --service partsdesk --warm \
    --prefix pd --searchers 4 --replicas 2 --stragglers 0 --time-us 30000 \
    --dcs midrand-a
control=$(sed -n 's/^control //p' "$DIR/plat.out")
port=$(sed -n 's/^port //p' "$DIR/plat.out")
READY="rwfd: listening"
list=""
for vm in vm-1 vm-2 vm-3; do
	start $vm $BIN/rwfd --vm $vm --dc midrand-a --addr $IP --rpc-port 0 \
	    --http-port 0 --admin-port 0 --platform $IP:"$port" \
	    --trace-file "$DIR/$vm.trace" --trace-sample 1
	eval "pid_${vm#vm-}=$PID"
	rpc=$(address $vm rpc)
	list="$list${list:+,}{\"name\":\"$vm\",\"dc\":\"midrand-a\",
	    \"addr\":\"$IP\",\"rpc\":${rpc##*:},\"state\":\"live\"}"
done
expect "not ready without documents" \
    "$(status "http://$(address vm-1 http)/ready")" 503
echo "{\"vms\":[$list]}" | publish vms
sed -n 's/^map //p' "$DIR/targets.out" | publish map/partsdesk
echo 'service partsdesk deadline=2s # thandi' | publish rules
for vm in vm-1 vm-2 vm-3; do
	await "$vm answers in full" complete $vm
	expect "$vm is ready" "$(status "http://$(address $vm http)/ready")" 200
done

$BIN/rwfd --vm x --dc midrand-a --addr $IP --platform $IP:"$port" \
    --rpc-port "${rpc##*:}" >"$DIR/o" 2>&1
expect "port in use" "$?" 1
expect "it is named" "$(grep -c "listen rpc: $IP:${rpc##*:}" "$DIR/o")" 1

# Malformed input.
rpc=$(address vm-1 rpc)
bash -c "printf '\377\377\377\377' >/dev/tcp/$IP/${rpc##*:}"
bash -c "printf 'no RPC message' >/dev/udp/$IP/${rpc##*:}"
await "an oversize record is logged" grep -q "rpc: read record: $IP:[0-9]*: record of at least" \
    "$DIR/vm-1.log"
await "a malformed record is logged" grep -q "rpc: decode: $IP: .*(malformed input)" "$DIR/vm-1.log"
head -c 1048577 /dev/zero >"$DIR/large"
expect "long body" "$(status --data-binary @"$DIR/large" \
    "http://$(address vm-1 http)/v1/search/partsdesk")" 413
expect "unknown service" "$(status --data x \
    "http://$(address vm-1 http)/v1/search/other")" 404
curl -s -m 0.01 --data lens -o /dev/null \
    "http://$(address vm-1 http)/v1/search/partsdesk"
expect "a caller left" "$(search vm-1)" 200

# A planned stop while requests run: each gets its whole answer.
clients=""
for i in 1 2 3 4 5 6 7 8; do
	curl -s -m 9 -o "$DIR/answer.$i" --data lens \
	    "http://$(address vm-2 http)/v1/search/partsdesk" &
	clients="$clients $!"
done
sleep 0.02
# shellcheck disable=SC2154
kill "$pid_2"
sleep 0.1
expect "not ready while it stops" \
    "$(status "http://$(address vm-2 http)/ready")" 503
# shellcheck disable=SC2086
wait $clients
expect "whole answers" \
    "$(cat "$DIR"/answer.* | grep -o '"complete":true' | wc -l)" 8
wait "$pid_2"
expect "exit status of a planned stop" "$?" 0
expect "service goes on" "$(search vm-1)" 200

# A daemon that is killed: its targets get another holder.
# shellcheck disable=SC2154
kill -9 "$pid_3"
echo "{\"vms\":[$(echo "$list" | tr -d '\n' | sed 's/},{.*/}/')]}" |
    publish vms
await "vm-1 answers in full" complete vm-1
echo "ok: searches are complete after a kill"
# shellcheck disable=SC2154
kill "$pid_1"
wait "$pid_1"
expect "exit status" "$?" 0
expect "spans" "$(grep -c '"resourceSpans"' "$DIR/vm-1.trace" |
    sed 's/[1-9][0-9]*/some/')" some
