# Functions of the scripts that run whole tiers on loopback.  The including
# script sets LOGS, a directory that is made anew, and BIN.  Ports are free
# ones, and every process started here is ended at the exit.

HOST=127.0.0.1
PIDS=""        # stand-ins
DAEMON_PIDS="" # daemons
RULES_LIMIT=4  # seconds for rules to be in force everywhere

rm -rf "$LOGS"
mkdir -p "$LOGS"

cleanup() {
	trap - EXIT
	for pid in $DAEMON_PIDS $PIDS; do
		kill "$pid" 2>/dev/null
	done
	for pid in $DAEMON_PIDS $PIDS; do
		# A process that ignores SIGTERM for 12 s is killed.
		for _ in $(seq 120); do
			kill -0 "$pid" 2>/dev/null || continue 2
			sleep 0.1
		done
		kill -9 "$pid" 2>/dev/null
	done
}
trap cleanup EXIT
trap 'exit 1' INT TERM HUP

say() {
	echo
	echo "== $*"
}

fail() {
	echo "$(basename "$0" .sh): FAILED: $*" >&2
	echo "logs are in $LOGS" >&2
	exit 1
}

# Starts NAME COMMAND...: output in $LOGS/NAME.out and .log, pid in $PID.
start() {
	name=$1
	shift
	"$@" >"$LOGS/$name.out" 2>"$LOGS/$name.log" </dev/null &
	PID=$!
}

# Waits until file $2 has a line that matches $1, for 5 s.
wait_line() {
	for _ in $(seq 100); do
		grep -q "$1" "$2" 2>/dev/null && return 0
		sleep 0.05
	done
	fail "no line '$1' in $2"
}

# Prints the word after $1 on the line of $2 that begins with it.
word_after() {
	sed -n "s/^$1 //p" "$2"
}

start_platform() {
	start "$1-plat" $BIN/rwfplat
	PIDS="$PIDS $PID"
	wait_line '^control' "$LOGS/$1-plat.out"
}

# Starts targets: REGION SERVICE OPTION...
start_targets() {
	region=$1
	service=$2
	shift 2
	start "$service" $BIN/rwftarget --profile "$region" \
	    --service "$service" "$@"
	PIDS="$PIDS $PID"
	wait_line '^ready' "$LOGS/$service.out"
}

# Starts a daemon: REGION VM DC.
start_daemon() {
	start "$2" $BIN/rwfd --vm "$2" --dc "$3" --addr $HOST --rpc-port 0 \
	    --http-port 0 --admin-port 0 \
	    --platform "$HOST:$(word_after port "$LOGS/$1-plat.out")" \
	    --trace-file "$LOGS/$2.trace" --trace-sample 0
	DAEMON_PIDS="$DAEMON_PIDS $PID"
	wait_line 'listening' "$LOGS/$2.out"
}

# Prints address KIND (http, admin, rpc) of daemon VM.
address() {
	sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$LOGS/$1.out"
}

# Publishes standard input: REGION KEY.
publish() {
	control=$(word_after control "$LOGS/$1-plat.out")
	curl -sf -X PUT --data-binary @- \
	    "http://$HOST:$control/control/docs/$2" >/dev/null ||
	    fail "publish $2"
}

# Publishes the VM list of REGION: VM DC ...
publish_vms() {
	region=$1
	shift
	list=""
	while [ $# -gt 0 ]; do
		rpc=$(address "$1" rpc)
		list="$list${list:+,}{\"name\":\"$1\",\"dc\":\"$2\",
		    \"addr\":\"$HOST\",\"rpc\":${rpc##*:},\"state\":\"live\"}"
		shift 2
	done
	echo "{\"vms\":[$list]}" | publish "$region" vms
}

publish_maps() {
	word_after map "$LOGS/$2.out" | publish "$1" "map/$2"
}

# Publishes the rules of REGION, with the further line $2 if it is given.
publish_rules() {
	{
		cat "$LOGS/$1.rules"
		[ $# -lt 2 ] || echo "$2"
	} >"$LOGS/$1.published"
	$BIN/rwfctl check "$LOGS/$1.published" >/dev/null ||
	    fail "rules of $1 are refused"
	publish "$1" rules <"$LOGS/$1.published"
}

admins() {
	list=""
	for vm in "$@"; do
		list="$list${list:+,}$(address "$vm" admin)"
	done
	echo "$list"
}

# Waits until rwfctl finds version $1 in force in all daemons $2.
wait_rules() {
	since=$(date +%s%N)
	until $BIN/rwfctl rules -d "$2" >"$LOGS/rules.txt" 2>&1 &&
	    grep -q "^version $1," "$LOGS/rules.txt"; do
		[ $(($(date +%s%N) - since)) -lt $((RULES_LIMIT * 1000000000)) ] ||
		    fail "rules version $1 not in force after $RULES_LIMIT s"
		sleep 0.1
	done
	echo "in force in all daemons after" \
	    "$((($(date +%s%N) - since) / 1000000)) ms"
}

wait_ready() {
	for vm in "$@"; do
		for _ in $(seq 100); do
			curl -sf -o /dev/null "http://$(address "$vm" http)/ready" &&
			    continue 2
			sleep 0.05
		done
		fail "$vm is not ready after 5 s"
	done
}

# Sends a search: VM SERVICE CLASS TEXT; the answer is in $LOGS/answer.
search() {
	curl -s -m 2 -o $LOGS/answer -w '%{http_code} %{time_total}' \
	    -H "X-Caller-Class: $3" ${TRACEPARENT:+-H "traceparent: $TRACEPARENT"} \
	    --data-binary "$4" "http://$(address "$1" http)/v1/search/$2" \
	    >$LOGS/status
}

# Prints the last answer: status, coverage, records, latency.
print_answer() {
	read -r status seconds <$LOGS/status
	coverage=$(grep -o '"coverage":{[^}]*}' $LOGS/answer)
	records=$(grep -o '"score"' $LOGS/answer | wc -l)
	echo "$1: status $status, ${coverage:-$(cat $LOGS/answer)}," \
	    "$records records, $seconds s"
}

is_complete() {
	grep -q '^200 ' $LOGS/status && grep -q '"complete":true' $LOGS/answer
}

# Repeats a search until it is complete, for 12 s: leases need 4.3 s after the
# start, because a daemon that starts cannot know what it acknowledged before.
wait_complete() {
	for _ in $(seq 60); do
		search "$@"
		is_complete && return 0
		sleep 0.2
	done
	print_answer "$1 $2"
	fail "no complete answer of $2 after 12 s"
}

# Prints the sum of the numbers NAME in the statistics of SERVICE at DC.
stat_sum() {
	control=$(word_after control "$LOGS/$1.out")
	curl -sf "http://$HOST:$control/control/stats${3:+?dc=$3}" |
	    grep -o "\"$2\":[0-9]*" | awk -F: '{ s += $2 } END { print s + 0 }'
}

# Prints the highest of the numbers NAME in the statistics of SERVICE.
stat_max() {
	control=$(word_after control "$LOGS/$1.out")
	curl -sf "http://$HOST:$control/control/stats" | grep -o "\"$2\":[0-9]*" |
	    awk -F: '$2 > m { m = $2 } END { print m + 0 }'
}

# Sends COUNT searches, and sets $ANSWERED, $COMPLETE and $COVERAGE (the part
# of all shards that the answers cover, in 1/1000): COUNT VM SERVICE CLASS.
search_many() {
	ANSWERED=0
	COMPLETE=0
	covered=0
	shards=0
	for i in $(seq "$1"); do
		search "$2" "$3" "$4" "part $i"
		if ! grep -q '^200 ' $LOGS/status; then
			echo "search $i: $(cat $LOGS/status): $(cat $LOGS/answer)"
			continue
		fi
		ANSWERED=$((ANSWERED + 1))
		c=$(sed -n 's/.*"covered":\([0-9]*\).*/\1/p' $LOGS/answer)
		n=$(sed -n 's/.*"shards":\([0-9]*\).*/\1/p' $LOGS/answer)
		covered=$((covered + c))
		shards=$((shards + n))
		if grep -q '"complete":true' $LOGS/answer; then
			COMPLETE=$((COMPLETE + 1))
			[ "$c" -eq "$n" ] || fail "an answer is not complete"
		fi
	done
	COVERAGE=$((shards > 0 ? 1000 * covered / shards : 0))
}

