#!/bin/sh
# The logs of a soak that fails are kept, their path is printed, and their size
# is bounded.  Guards against a rare failure whose evidence the next run, or
# another run of the same seed, removes.
set -u

cd "$(dirname "$0")/../.." || exit 1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

check() { # WHAT EXPECTED FOUND
	[ "$2" = "$3" ] && return
	echo "$1: '$3' instead of '$2'"
	failed=1
}

# A stand-in for the soak that writes a short and a long log, and fails for odd
# seeds.
mkdir "$work/bin"
cat >"$work/bin/rwfsoak" <<'END'
#!/bin/sh
while [ $# -gt 0 ]; do
	case $1 in
	--work) dir=$2 ;;
	--seed) seed=$2 ;;
	esac
	shift
done
echo "first line of $seed" >"$dir/vm-0.log"
{
	echo "first line of $seed"
	head -c 100000 /dev/zero | tr '\0' x
	printf '\nlast line of %s\n' "$seed"
} >"$dir/vm-1.log"
echo "seed $seed: result"
exit $((seed % 2))
END
chmod +x "$work/bin/rwfsoak"

kept() {
	find "$work/out/failed" -mindepth 1 -maxdepth 1 2>/dev/null | wc -l
}

run() {
	BIN=$work/bin OUT=$work/out KEEP_RUNS=3 KEEP_BYTES=10000 \
	    sh tests/soak.sh "$@" >"$work/stdout"
}

run 2 4
check "status of runs that pass" 0 $?
check "runs kept of those that pass" 0 "$(kept)"

if run 2 5 5; then
	check "status of runs that fail" "not 0" 0
fi
check "runs of one seed at once that are kept" 2 "$(kept)"
check "paths printed" 2 "$(grep -c '^seed 5: logs kept in ' "$work/stdout")"
path=$(sed -n 's/^seed 5: logs kept in //p' "$work/stdout" | head -n 1)
check "short log" "first line of 5" "$(cat "$path/vm-0.log")"
check "start of a long log" "first line of 5" "$(head -n 1 "$path/vm-1.log")"
check "end of a long log" "last line of 5" "$(tail -n 1 "$path/vm-1.log")"
check "output of the soak" "seed 5: result" "$(cat "$path/soak.log")"
[ "$(wc -c <"$path/vm-1.log")" -le 10100 ] ||
	check "bytes of a long log" "at most 10100" "$(wc -c <"$path/vm-1.log")"

run 1 3 7 9 11
check "runs kept of many that fail" 3 "$(kept)"
check "directories of runs that have ended" failed "$(ls "$work/out")"
exit $failed
