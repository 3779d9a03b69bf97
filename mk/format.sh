#!/bin/sh
# Runs clang-format over the hand-written sources: "-i" formats in place,
# no argument only checks.
set -eu

mode=${1:---dry-run -Werror}
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '^lib/wire/gen/' |
    xargs -r -P "$(nproc)" -n 8 clang-format $mode
