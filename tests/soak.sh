#!/bin/sh
# Runs the soak for the seeds of tests/soak/seeds, or for those given, four at
# once.
set -u

cd "$(dirname "$0")/.." || exit 1
BIN=build/${VARIANT:-asan}/bin
mkdir -p build/soak
seeds=${*:-$(sed 's/#.*//' tests/soak/seeds)}
# shellcheck disable=SC2086
printf '%s\n' $seeds | BIN=$BIN xargs -P 4 -I{} sh -c 'rm -rf build/soak/{};
    timeout 120 "$BIN/rwfsoak" --bin "$BIN" --work build/soak/{} --seed {}'
