#!/bin/sh
# Installs the Debian packages that building and testing need.
set -eu

PACKAGES="gcc make pkg-config libuv1-dev libh2o-dev libtirpc-dev rpcsvc-proto
libjansson-dev libxxhash-dev liblog4c-dev libhttp-parser-dev libcmocka-dev libssl-dev zlib1g-dev
clang clang-format clang-tidy libclang-rt-14-dev cppcheck spin gnuplot-nox
curl procps"

missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0

if [ "$(id -u)" -ne 0 ]; then
	echo "deps: install as root:$missing" >&2
	exit 1
fi
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends $missing >/dev/null
