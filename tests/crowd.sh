# Functions of the scripts that set crowds of clients on real processes.  The
# including script sets BIN, and ONLY to a part of the names of the crowds that
# are to run, and has included site.sh.

# Settings of the processes under test.
MEMORY_MB=64
MAX_FILES=600
# Limits of a body: the configuration of rwfsite, and lib/net.
FRONT_BODY=262144
RWFD_BODY=1048576

# Prints the bytes that were received for the process with the addresses $1, as
# egrep reads them in /proc/net/tcp, and that it has not read yet.
unread() {
	grep -E " ($1) [0-9A-F:]* 0[1-9B]" /proc/net/tcp | awk '
	function hex(s,  i, n) {
		for (i = 1; i <= length(s); i++)
			n = n * 16 + index("0123456789ABCDEF", substr(s, i, 1)) - 1
		return n
	}
	{ split($5, q, ":"); sum += hex(q[2]) }
	END { print sum + 0 }'
}

# Prints 127.A.B.C:PORT, or 127.A.B.C: for any port, as in /proc/net/tcp.
in_table() {
	echo "$1" | awk -F '[.:]' '{
		printf "%02X%02X%02X%02X:%s", $4, $3, $2, $1,
		    $5 == "" ? "[0-9A-F]*" : sprintf("%04X", $5) }'
}

# Records the most memory and descriptors of process PID in $DIR/watch.PID,
# until it ends: PID ADDRESSES.
watch() {
	while kill -0 "$1" 2>/dev/null; do
		rss=$(awk '/^VmRSS/ { print $2 * 1024 }' "/proc/$1/status")
		echo "$((${rss:-0} + $(unread "$2")))" \
		    "$(ls "/proc/$1/fd" 2>/dev/null | wc -l)"
		sleep 0.1
	done >"$DIR/watch.$1" 2>/dev/null
}

start_watch() {
	watch "$1" "$2" &
	PIDS="$PIDS $!"
}

# Prints the most memory of process PID in bytes: resident, and with the bytes
# that it has not read.
most_memory() {
	{
		awk '/^VmHWM/ { print $2 * 1024 }' "/proc/$1/status"
		cat "$DIR/watch.$1"
	} | awk '$1 > m { m = $1 } END { printf "%.0f", m }'
}

most_files() { awk '$2 > m { m = $2 } END { print m + 0 }' "$DIR/watch.$1"; }

# Sets a crowd on the address TO, and checks the process PID and an ordinary
# request, the command ASK, while the crowd stays and after it:
# WHAT PID TO ASK rwfcrowd's options and kind.
crowd() {
	case $1 in
	*"$ONLY"*) ;;
	*) return ;;
	esac
	name=$1
	pid=$2
	to=$3
	ask=$4
	shift 4
	: >"$DIR/crowd.out"
	$BIN/rwfcrowd "$@" "$to" >"$DIR/crowd.out" &
	crowd=$!
	PIDS="$PIDS $crowd"
	for _ in $(seq 300); do
		grep -q sent "$DIR/crowd.out" && break
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	sleep 1
	check_held "$pid" "$name"
	await "$name: an ordinary request beside the crowd" "$ask"
	kill "$crowd"
	wait "$crowd" 2>/dev/null
	await "$name: an ordinary request after the crowd" "$ask"
	check_held "$pid" "$name"
	echo "ok: $name, $(($(most_memory "$pid") / 1000000)) MB and" \
	    "$(most_files "$pid") descriptors at most"
}

# Checks that process PID lives, and its bounds: PID WHAT.
check_held() {
	kill -0 "$1" 2>/dev/null || fail "$2: the process has ended"
	[ "$(most_memory "$1")" -le $((MEMORY_MB * 1000000)) ] ||
	    fail "$2: $(most_memory "$1") bytes, $MEMORY_MB MB allowed"
	[ "$(most_files "$1")" -le $MAX_FILES ] ||
	    fail "$2: $(most_files "$1") descriptors, $MAX_FILES allowed"
}

# Starts rwfront, with its stand-ins; its id is in FRONT.
start_crowded_front() {
	MORE_SETTINGS="RWF_MEMORY_MB=$MEMORY_MB
RWF_MAX_FILES=$MAX_FILES"
	start_site --shards 8 --singles 2
	start_front 1 1
	FRONT=$PID
	start_watch "$FRONT" "$(in_table "$NET.1")"
	await "rwfront is ready" ready 1
	await "queries are served" front_serves
	CALLERS=$NET.1:8104
	READY=$NET.1:8108
	PEERS=$NET.1:7380
}

front_serves() { [ "$(request "own-$(date +%N)" /all/x 1)" = 200 ]; }
front_reports() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	    "http://$READY/metrics")" = 200 ]
}
front_copies() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	    "http://$PEERS/view?after=0")" = 200 ]
}
# A request with the largest body that is allowed.
front_takes_body() {
	head -c $FRONT_BODY /dev/zero >"$DIR/large"
	[ "$(curl -s -m 9 -o /dev/null -w '%{http_code}' \
	    -H 'Host: site.example' -H "X-Redwingfork-Request-Id: l-$(date +%N)" \
	    -H 'X-Redwingfork-Deadline-Ms: 5000' -H 'Expect:' \
	    --data-binary "@$DIR/large" "http://$CALLERS/safe/x")" = 200 ]
}

# Starts rwfd, with its stand-ins; its id is in RWFD.
start_crowded_rwfd() {
	$BIN/rwfplat >"$DIR/plat.out" &
	PIDS="$PIDS $!"
	$BIN/rwftarget --service partsdesk --searchers 4 --replicas 2 \
	    >"$DIR/targets.out" &
	PIDS="$PIDS $!"
	await "rwfplat starts" grep -q '^control' "$DIR/plat.out"
	await "rwftarget starts" grep -q '^ready' "$DIR/targets.out"
	RWF_MEMORY_MB=$MEMORY_MB RWF_MAX_FILES=$MAX_FILES $BIN/rwfd --vm mid-1 \
	    --dc midrand-a --addr 127.0.0.1 --rpc-port 0 --http-port 0 \
	    --admin-port 0 --log-level warn --platform \
	    "127.0.0.1:$(sed -n 's/^port //p' "$DIR/plat.out")" \
	    >"$DIR/rwfd.out" 2>"$DIR/rwfd.log" &
	RWFD=$!
	PIDS="$PIDS $RWFD"
	await "rwfd starts" grep -q listening "$DIR/rwfd.out"
	HTTP=$(sed -n 's/.*http=\([0-9.:]*\).*/\1/p' "$DIR/rwfd.out")
	ADMIN=$(sed -n 's/.*admin=\([0-9.:]*\).*/\1/p' "$DIR/rwfd.out")
	RPC=$(sed -n 's/.*rpc=\([0-9.:]*\).*/\1/p' "$DIR/rwfd.out")
	start_watch "$RWFD" \
	    "$(in_table "$HTTP")|$(in_table "$ADMIN")|$(in_table "$RPC")"
	docs="http://127.0.0.1:$(sed -n 's/^control //p' "$DIR/plat.out")/control/docs"
	echo '{"vms":[{"name":"mid-1","dc":"midrand-a","addr":"127.0.0.1",
	    "rpc":'"${RPC##*:}"',"state":"live"}]}' | curl -s -T - "$docs/vms"
	sed -n 's/^map //p' "$DIR/targets.out" |
	    curl -s -T - "$docs/map/partsdesk"
	echo 'service partsdesk # crowd: test' | curl -s -T - "$docs/rules"
	await "searches are served" rwfd_serves
}

rwfd_serves() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	    -H 'X-Caller-Class: counter' --data 'red lens 210 mm' \
	    "http://$HTTP/v1/search/partsdesk")" = 200 ]
}
rwfd_reports() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	    "http://$ADMIN/metrics")" = 200 ]
}
