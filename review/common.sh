# Functions of the cases' scripts.  The including script sets CASE, the folder
# of the case, and is in the root of the repository.
#
# A case's stand-in prints the port of its store, waits until the daemons are
# ready, and exits with the verdict.

# The platform's bounds of a small deployment, see deploy/rwfront.settings.
DRAIN_MS=3000
HEARTBEAT_MS=1200
GRACE_S=6
RETRY_RATIO=0.2
RETRY_SLACK=113
RETRY_WINDOW_S=10
CPU_SHARE=0.17
MEMORY_MB=182
MAX_FDS=2870
# Only a deployment with tenants has values for these.
STRICT_REVOKE=
REVOKE_MS=
QUOTA_WINDOW_S=
QUOTA_OVERSHOOT=
QUOTA_SLACK=
# Whether the whole system starts for the first time.
BOOTSTRAP=true

PIDS=
DIR=$(mktemp -d) || exit 2
# Runs at once have addresses of their own.
NET=127.$((20 + $$ % 200)).$(($$ / 200 % 250))

# Ends the processes that this run has started.
clean_up() {
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$DIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# Prints the port that the stand-in names NAME.
port() {
	sed -n "s/^$1=\([0-9]*\)\$/\1/p" "$DIR/standin.out"
}

# Starts the case's stand-in; its id is in STANDIN.  It says which ports are to
# be used: its store's, and those of the daemons.
start_standin() {
	: >"$DIR/standin.out"
	review/build/case-"$(basename "$CASE")" "$NET" "${TROUBLE:-1}" \
	    "$CASE/record.txt" >>"$DIR/standin.out" &
	STANDIN=$!
	PIDS="$PIDS $STANDIN"
	for _ in $(seq 50); do
		STORE=$(port store)
		CALLERS=$(port callers)
		READY=$(port ready)
		PEERS=$(port peers)
		[ -z "$STORE" ] || return 0
		sleep 0.1
	done
	exit 2
}

# Writes the settings of daemon N, whose seeds are the machines $2 to $3.
write_settings() {
	seeds=
	for i in $(seq "$2" "$3"); do seeds="$seeds${seeds:+,}$NET.$i:8106"; done
	cat >"$DIR/front-$1.new" <<EOF
RWF_NAME=front-zone-a-$1
RWF_DC=zone-a
RWF_CALLERS=$NET.$1:$CALLERS
RWF_READY=$NET.$1:$READY
RWF_PEERS=$NET.$1:$PEERS
RWF_FIRST_START=$BOOTSTRAP
RWF_SEEDS=$seeds
RWF_STORE=127.0.0.1:$STORE
RWF_MAX_FILES=$MAX_FDS
RWF_TARGET_DRAIN_MS=$DRAIN_MS
RWF_TARGET_HEARTBEAT_MS=$HEARTBEAT_MS
RWF_STOP_S=$GRACE_S
RWF_EXTRA_RATIO=$RETRY_RATIO
RWF_EXTRA_SLACK=$RETRY_SLACK
RWF_EXTRA_WINDOW_S=$RETRY_WINDOW_S
RWF_CORES=$CPU_SHARE
RWF_MEMORY_MB=$MEMORY_MB
RWF_STRICT_REVOCATION=$STRICT_REVOKE
RWF_REVOCATION_MS=$REVOKE_MS
RWF_QUOTA_WINDOW_S=$QUOTA_WINDOW_S
RWF_QUOTA_OVERSHOOT=$QUOTA_OVERSHOOT
RWF_QUOTA_SLACK=$QUOTA_SLACK
EOF
	mv "$DIR/front-$1.new" "$DIR/front-$1.settings"
}

# Starts daemon N, whose seeds are the machines $2 to $3, with the command of
# the deploy file.
start_front() {
	write_settings "$1" "$2" "$3"
	REDWINGFORK_BOOT=$DIR/front-$1.settings target/opt/bin/rwfront \
	    >"$DIR/front-$1.log" 2>&1 &
	PIDS="$PIDS $!"
}

# Waits for the stand-in and exits with its verdict.
finish() {
	wait "$STANDIN"
	status=$?
	[ -z "${KEEP_LOGS:-}" ] || cp "$DIR"/front-*.log "$KEEP_LOGS"
	tail -n 5 "$CASE/record.txt"
	exit $status
}
