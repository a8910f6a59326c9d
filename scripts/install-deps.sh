#!/bin/sh
# Installs the Debian packages that the build, the tests and the linter need.
# Does nothing when all are installed, so that repeated runs need no network.
set -eu

packages="gcc g++ cmake ninja-build pkg-config clang clang-format clang-tidy
valgrind curl libev-dev libzmq3-dev libmicrohttpd-dev libcurl4-openssl-dev
libglib2.0-dev libgtest-dev libjansson-dev libmsgpack-dev libxxhash-dev
libgsl-dev uthash-dev libhttp-parser-dev zlib1g-dev"

missing=
for package in $packages; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing="$missing $package"
    fi
done
[ -z "$missing" ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086  # the list is split into words on purpose
apt-get install -y -qq --no-install-recommends $missing >/dev/null
