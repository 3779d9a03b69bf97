# Functions of the scripts that run rwfront against the stand-ins of the users'
# store and searchers.  The including script sets BIN.

. tests/checks.sh

# Processes of several runs at once listen on addresses of their own.
NET=127.19.$(($$ % 250))

# Starts the stand-ins: OPTION...
start_site() {
	$BIN/rwfsite "$@" >"$DIR/site.out" 2>"$DIR/site.log" &
	PIDS="$PIDS $!"
	await "the stand-ins start" grep -q '^store=' "$DIR/site.out"
	STORE=$(sed -n 's/^store=\([0-9]*\).*/\1/p' "$DIR/site.out")
	CONTROL=$(sed -n 's/.*control=\([0-9]*\).*/\1/p' "$DIR/site.out")
}

# Writes the settings of daemon N with the processor share CORES, in DC or dc-a,
# and the lines of MORE_SETTINGS.
settings() {
	cat >"$DIR/vm-$1.settings" <<EOF
RWF_NAME=vm-$1
RWF_DC=${3:-dc-a}
RWF_CALLERS=$NET.$1:8104
RWF_READY=$NET.$1:8108
RWF_PEERS=$NET.$1:7380
RWF_STORE=127.0.0.1:$STORE
RWF_SOURCE=$NET.$1
RWF_SEEDS=$NET.1:1,$NET.2:1
RWF_CORES=$2
RWF_EXTRA_SLACK=1000
${MORE_SETTINGS:-}
EOF
}

# Starts daemon N with the processor share CORES, in DC or dc-a; its id is in
# PID.
start_front() {
	settings "$1" "$2" "${3:-dc-a}"
	$BIN/rwfront -c -s "$DIR/vm-$1.settings" || fail "settings are checked"
	$BIN/rwfront -s "$DIR/vm-$1.settings" >"$DIR/vm-$1.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}

# Calls the control port of the stand-ins: METHOD PATH [BODY].
control() {
	curl -s -m 5 -X "$1" "http://127.0.0.1:$CONTROL$2" --data "${3:-}"
}

# Sends request ID for PATH to daemon N and prints the status.
request() {
	curl -s -m 9 -o "$DIR/body" -D "$DIR/head" -w '%{http_code}' \
	    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: $1" \
	    -H 'X-Redwingfork-Deadline-Ms: 1500' "http://$NET.$3:8104$2"
}

# Prints the number of missing parts that the last answer states.
missing() {
	sed -n 's/^X-Redwingfork-Missing-Parts: \([0-9]*\).*/\1/p' "$DIR/head"
}

ready() {
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
	    "http://$NET.$1:8108/ready")" = 200 ]
}

metric() {
	curl -s -m 2 "http://$NET.$1:8108/metrics" | sed -n "s/^$2 //p"
}

# Prints the log lines of request ID in all logs.
lines() {
	$BIN/rwfctl request "$1" "$DIR"/vm-*.log
}
