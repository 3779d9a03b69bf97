#!/bin/sh
# Builds the stand-ins of the third review into build/review-3, one program for
# each case with a script.
set -eu

cd "$(dirname "$0")/.."
mkdir -p build/review-3
for n in 11 12 13 14 15; do
	[ -f review/$n/scenario.c ] || continue
	gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
	    -o build/review-3/case-$n review/$n/scenario.c review/standin-3/rv3.c
done
