# Functions of the scripts that use rwfbroken.  The including script sets BIN.

mkdir "$DIR/broken"

# Fields of an answer that a target signs.
SIGNED='X-Redwingfork-Request-Id: %%I\r\nX-Redwingfork-Server-Stamp: b.%%I\r\n'

# Lets the server answer with the bytes that printf makes of HEAD, and then with
# those of UNIT without end: HEAD [UNIT].
answer() {
	printf "$1" >"$DIR/broken/answer"
	printf "${2:-}" >"$DIR/broken/repeat"
}

# Starts the server, on HOST:PORT or any port; its port is in PORT.
start_broken() {
	$BIN/rwfbroken "$DIR/broken" "$@" >"$DIR/broken.out" &
	PIDS="$PIDS $!"
	await "the broken server starts" grep -q '^port=' "$DIR/broken.out"
	PORT=$(sed -n 's/^port=//p' "$DIR/broken.out")
}

# Writes the entry of the server as the target ID of SERVICE: ID SERVICE.
publish_broken() {
	curl -s -m 5 -X PUT "http://127.0.0.1:$CONTROL/item/servers/$1" --data \
	    "{\"service\":\"$2\",\"address\":\"127.0.0.1:$PORT\",\"zone\":\"dc-a\",
	    \"version\":\"v1\",\"capacity\":8,\"state\":\"ready\",
	    \"warmupLeftMs\":0,\"sequence\":1,\"born\":1}"
}

# Number of times the server was sent request ID.
sent() { grep -c "^request $1\$" "$DIR/broken.out"; }

# Prints the most bytes of one answer that were read, in MB.
taken() {
	awk '/^closed/ && $3 > most { most = $3 } END { print int(most / 1e6) }' \
	    "$DIR/broken.out"
}

# Prints the highest resident memory of process PID so far, in MB.
peak() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/$1/status"; }

# Checks that process PID lives, with less than MB of memory, and that it read
# at most 32 MB of an answer: PID MB WHAT.
check_bounded() {
	kill -0 "$1" 2>/dev/null || fail "$3: the process has ended"
	[ "$(peak "$1")" -lt "$2" ] || fail "$3: $(peak "$1") MB of memory"
	[ "$(taken)" -le 32 ] || fail "$3: $(taken) MB were read of one answer"
}
