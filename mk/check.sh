#!/bin/sh
# Installs what is missing, builds every variant, runs every test and linter.
# Each step's output goes to build/check/STEP.log and is printed when the step
# fails.  A step named in KNOWN-RED.txt may fail without failing the run.
set -u

cd "$(dirname "$0")/.." || exit 1
sh mk/deps.sh || exit 1
logs=build/check
rm -rf $logs
mkdir -p $logs
jobs=$(nproc)

# Runs one step: NAME COMMAND...; records the outcome in $logs/NAME.status.
step() {
	name=$1
	shift
	start=$(date +%s)
	if timeout 400 "$@" >"$logs/$name.log" 2>&1 </dev/null; then
		status=passed
	elif grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
		status=known-red
	else
		status=failed
	fi
	echo "$status" >"$logs/$name.status"
	echo "$status $name ($(($(date +%s) - start)) s)"
	if [ $status = failed ]; then
		tail -n 60 "$logs/$name.log" | sed "s/^/    /"
	fi
	[ $status != failed ]
}

# Runs the steps of the lines of $logs/list, $1 at once.
run_list() {
	export logs
	xargs -P "$1" -L 1 sh -c "$(sed -n '/^step() {/,/^}/p' "$0")
step \"\$@\"" step <$logs/list
}

finish() {
	passed=$(cat $logs/*.status | grep -c '^passed$')
	failed=$(cat $logs/*.status | grep -c '^failed$')
	red=$(cat $logs/*.status | grep -c '^known-red$')
	[ "$red" -eq 0 ] || echo "known red: $red (see KNOWN-RED.txt)"
	echo "$passed passed, $failed failed"
	[ "$failed" -eq 0 ]
	exit
}

step build-opt make -j"$jobs" VARIANT=opt tests || finish
step build-asan make -j"$jobs" VARIANT=asan tests || finish
step build-fuzz make -j"$jobs" VARIANT=fuzz build || finish
step format sh mk/format.sh
step cppcheck sh mk/lint.sh cppcheck

# Unit tests and scenarios run in virtual time, so they may share the machine,
# also with the linter.
echo "tidy sh mk/lint.sh tidy" >$logs/list
for t in build/asan/test/test_*; do
	[ -x "$t" ] && [ -f "$t" ] || continue
	case $t in *.d) continue ;; esac
	echo "unit-$(basename "$t") $t"
done >>$logs/list
for f in build/fuzz/fuzz/fuzz_*; do
	[ -x "$f" ] && [ -f "$f" ] || continue
	n=$(basename "$f")
	echo "$n $f -seed=1 -runs=20000 -max_len=4096 -verbosity=0" \
	    "-artifact_prefix=$logs/"
done >>$logs/list
for s in tests/scenarios/*.scn; do
	[ -f "$s" ] || continue
	echo "scenario-$(basename "$s" .scn) build/asan/bin/rwfscn $s"
done >>$logs/list
for m in tests/spin/*.sh; do
	[ -f "$m" ] || continue
	echo "spin-$(basename "$m" .sh) sh $m"
done >>$logs/list
run_list "$jobs"

# Tests with real processes run alone, one after another.
for s in tests/process/*.sh; do
	[ -f "$s" ] || continue
	step "process-$(basename "$s" .sh)" sh "$s"
done
# Each seed is a step, so that one known fault does not cover others.
for seed in $(sed 's/#.*//' tests/soak/seeds); do
	echo "soak-$seed sh tests/soak.sh $seed"
done >$logs/list
run_list 4
[ ! -f tests/demo.sh ] || step demo sh tests/demo.sh
step demo-platform sh tests/demo-platform.sh
finish
