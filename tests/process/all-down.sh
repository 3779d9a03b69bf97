#!/bin/sh
# rwfront on real sockets: all targets of a service end while requests wait for
# them.  Guards against requests that are held until their deadline although no
# target takes connections, and against connections that are opened again and
# again meanwhile.
set -u

cd "$(dirname "$0")/../.." || exit 1
BIN=build/${VARIANT:-asan}/bin
. tests/site.sh

# A request is refused at once, in any case within the aim of its route.
AIM_MS=300
MAX_CONNECTIONS=100

start_site --shards 2 --singles 2
start_front 1 1
await "the daemon is ready" ready 1
served() { [ "$(request "ok-$(date +%N)" /safe/x 1)" = 200 ]; }
await "a request is served" served

# Sends N requests at once; their times go to a file.
load() {
	for i in $(seq "$2"); do
		curl -s -m 5 -o /dev/null -w '%{http_code} %{time_total}\n' \
		    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: $1-$i" \
		    -H 'X-Redwingfork-Deadline-Ms: 1500' \
		    "http://$NET.1:8104/safe/$1-$i" >>"$DIR/times-$1" &
		PIDS="$PIDS $!"
		LAST=$!
	done
}

load first 8
sleep 0.02
control POST /searcher/one-0/crash
sleep 0.4
load second 12
sleep 0.02
control POST /searcher/one-1/crash
sleep 0.05
before=$(metric 1 rwf_links_opened_total)
load third 8
sleep 1
opened=$(($(metric 1 rwf_links_opened_total) - before))
wait $LAST
sleep 0.7
expect "answers" "$(cat "$DIR"/times-* | wc -l)" 28
slow=$(cat "$DIR/times-second" "$DIR/times-third" |
    awk -v aim=$AIM_MS '$2 * 1000 > aim' | wc -l)
expect "requests that were held longer than their aim" "$slow" 0
[ "$opened" -le $MAX_CONNECTIONS ] ||
    fail "$opened connections opened in a second to targets that are down"
await "a request is served when the targets are back" served
echo "ok: $opened connections opened while all targets were down"
