#!/bin/sh
# Builds the stand-ins of the second review into build/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for n in 6 7 8 9 10; do
	[ -f review/$n/play.c ] || continue
	cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o build/review-2/case-$n \
	    review/$n/play.c review/standin-2/*.c -lpthread
done
