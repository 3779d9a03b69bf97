#!/bin/sh
# Runs the soak for the seeds of tests/soak/seeds, or for those given, JOBS (4)
# at once.  The logs of a run that fails are kept, and their path is printed.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=${BIN:-build/${VARIANT:-asan}/bin}
OUT=${OUT:-build/soak}
kept=$OUT/failed
# Bounds of what is kept: runs, and bytes of each log.  A run of a failed seed
# writes about 100 KB for each daemon.
KEEP_RUNS=${KEEP_RUNS:-20}
KEEP_BYTES=${KEEP_BYTES:-2000000}

# Copies the logs of the run of seed $1 in the directory $2 to those kept, and
# removes the oldest that are too many.  Of a long log the first and the last
# half of KEEP_BYTES are kept.
keep_logs() {
	name=$1-$(date +%Y%m%dT%H%M%S)-$$
	to=$OUT/keeping-$name
	half=$((KEEP_BYTES / 2))
	mkdir -p "$to" "$kept"
	for f in "$2"/*; do
		[ -f "$f" ] || continue
		if [ "$(wc -c <"$f")" -gt "$KEEP_BYTES" ]; then
			{
				head -c $half "$f"
				printf '\n[bytes are left out here]\n'
				tail -c $half "$f"
			} >"$to/$(basename "$f")"
		else
			cp "$f" "$to/"
		fi
	done
	# Only whole copies are there for others to count and remove.
	mv "$to" "$kept/$name"
	echo "seed $1: logs kept in $kept/$name"
	# shellcheck disable=SC2012
	ls -1dt "$kept"/*/ 2>/dev/null | tail -n +$((KEEP_RUNS + 1)) |
	    while read -r old; do rm -rf "$old"; done
}

# Runs the soak of seed $1 in a directory of its own.
run_seed() {
	work=$OUT/$1-$$
	rm -rf "$work"
	mkdir -p "$work"
	timeout 120 "$BIN/rwfsoak" --bin "$BIN" --work "$work" --seed "$1" \
	    >"$work/soak.log" 2>&1
	status=$?
	cat "$work/soak.log"
	[ $status -eq 0 ] || echo "seed $1: exit status $status"
	[ $status -eq 0 ] || keep_logs "$1" "$work"
	rm -rf "$work"
	return $status
}

mkdir -p "$OUT"
if [ "${1:-}" = --one ]; then
	run_seed "$2"
	exit
fi
seeds=${*:-$(sed 's/#.*//' tests/soak/seeds)}
# shellcheck disable=SC2086
printf '%s\n' $seeds |
    BIN=$BIN OUT=$OUT xargs -P "${JOBS:-4}" -I{} sh tests/soak.sh --one {}
