#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves out the disruption.
set -u

CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$CASE/../.." || exit 2
. review/common.sh

start_standin
start_front 1 1 2
FIRST=$!
start_front 2 1 2
# The platform stops the daemon when the case asks for it.
while kill -0 "$STANDIN" 2>/dev/null; do
	if grep -q '^term$' "$DIR/standin.out"; then
		kill -TERM "$FIRST"
		break
	fi
	sleep 0.02
done
finish
