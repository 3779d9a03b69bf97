#!/bin/sh
# Builds the stand-ins of the cases that have a script, into review/build.  The
# daemon itself is built by the command of the deploy file.
set -eu

cd "$(dirname "$0")"
mkdir -p build
for c in */case.c; do
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -pthread \
	    -Istandin -o "build/case-$(dirname "$c")" "$c" standin/*.c
done
