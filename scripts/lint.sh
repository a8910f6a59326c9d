#!/bin/sh
# Checks formatting of all C and C++ files and runs clang-tidy over the C
# sources. Usage: scripts/lint.sh BUILD_DIR
set -eu
build=$1

cmake -S . -B "$build" -G Ninja >/dev/null
git ls-files '*.c' '*.h' '*.cc' | xargs -r clang-format --dry-run -Werror
git ls-files '*.c' | grep -v '^fuzz/' |
    xargs -r -n 4 -P 4 clang-tidy -p "$build" --quiet
scripts/names.sh
scripts/layers.sh
echo "lint: clean"
