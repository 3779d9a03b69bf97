# Functions of the scripts that check real programs.  The including script sets
# BIN.  DIR is a new directory, and every process whose id is in PIDS is ended
# at the exit.

DIR=$(mktemp -d)
PIDS=""

cleanup() {
	trap - EXIT
	for pid in $PIDS; do
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

fail() {
	echo "FAILED: $1"
	grep -h -A 14 'ERROR: AddressSanitizer' "$DIR"/*.log
	tail -n 20 "$DIR"/*.log
	exit 1
}

# Checks that WHAT, ACTUAL is EXPECTED.
expect() {
	[ "$2" = "$3" ] || fail "$1: '$2' instead of '$3'"
	echo "ok: $1"
}

# Waits until the command succeeds, for 15 s.
await() {
	what=$1
	shift
	for _ in $(seq 150); do
		"$@" && return
		sleep 0.1
	done
	fail "$what"
}
