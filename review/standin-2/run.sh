#!/bin/sh
# Runs the case of the folder $1: exits 1 if the rule was broken, 0 if it held
# and 2 if the case could not run.  TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
n=$(basename "$1")
[ -x target/opt/bin/rwfront ] && [ -x build/review-2/case-"$n" ] || exit 2
dir=$(mktemp -d) || exit 2
timeout -k 2 115 build/review-2/case-"$n" "review/$n/record.txt" "$dir"
rc=$?
[ "${KEEP:-0}" = 0 ] && rm -rf "$dir" || echo "$dir"
[ $rc -le 2 ] || rc=2
exit $rc
