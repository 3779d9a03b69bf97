#!/bin/sh
# Runs the soak for the seeds of tests/soak/seeds, or for those given.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=build/${VARIANT:-asan}/bin
mkdir -p build/soak
seeds=${*:-$(sed 's/#.*//' tests/soak/seeds)}
failed=0
for seed in $seeds; do
	rm -rf "build/soak/$seed"
	timeout 120 $BIN/rwfsoak --bin $BIN --work "build/soak/$seed" \
	    --seed "$seed" || failed=1
done
exit $failed
