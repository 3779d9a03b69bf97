#!/bin/sh
# Runs the experiments in virtual time and writes docs/measurements: one text
# and one CSV file for each, and a plot.  RWF_SEED sets the seed.
set -eu

cd "$(dirname "$0")/.."
load=build/opt/bin/rwfload
out=docs/measurements
mkdir -p $out

# Runs one experiment: NAME COMMAND...
experiment() {
	name=$1
	shift
	timeout 100 $load "$@" --csv "$out/$name.csv" >"$out/$name.txt"
	echo "bench: $name"
}

# Draws NAME with the script SCRIPT.
draw() {
	gnuplot -e "csv='$out/$1.csv'; svg='$out/$1.svg'" "cmd/rwfload/$2.gp"
}

experiment admission admission
experiment admission-seoul admission --profile seoul
experiment overload overload
experiment overload-seoul overload --profile seoul
experiment overload-even overload --stragglers 0 --shards 3
draw admission admission
draw overload overload
draw overload-even overload

# Ours against a naive tier: text, then CSV.
for format in txt csv; do
	option=
	[ $format = txt ] || option=--csv
	# shellcheck disable=SC2086
	timeout 100 $load compare --seconds 20 $option \
	    >"$out/stragglers.$format"
done
echo "bench: stragglers"
