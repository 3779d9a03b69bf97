#!/bin/sh
# Runs the linter given as argument, tidy or cppcheck, over the hand-written
# sources.
set -eu

includes="-Itests/rwfscn -Itests/standin -Itests/unit -Itests/rwfsite -Iplatform"
for d in lib/*/; do includes="$includes -I$d"; done
pkgs=$(pkg-config --cflags libuv libh2o libtirpc jansson libxxhash)
sources=$(git ls-files -co --exclude-standard '*.c' | grep -v '^lib/wire/gen/')

case ${1:-} in
tidy)
	# shellcheck disable=SC2086
	echo "$sources" | xargs -P "$(nproc)" -n 2 sh -c '
	    clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE \
	    -DH2O_USE_LIBUV=1 '"$includes $pkgs"' 2>/dev/null || {
	    echo "tidy: failed: $*"; exit 1; }' tidy
	;;
cppcheck)
	# shellcheck disable=SC2086
	echo "$sources" | xargs cppcheck --quiet --std=c11 -j "$(nproc)" \
	    --enable=warning,portability --error-exitcode=1 --inline-suppr \
	    --suppress=missingIncludeSystem --suppress=uninitMemberVar \
	    --suppress=normalCheckLevelMaxBranches -D_GNU_SOURCE $includes
	;;
*)
	echo "usage: lint.sh tidy|cppcheck" >&2
	exit 2
	;;
esac
