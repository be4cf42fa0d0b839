#!/usr/bin/env bash
# Installs the build dependencies on Debian 12; does nothing when they are present.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy libboost-dev
  libboost-coroutine-dev libboost-context-dev libboost-thread-dev
  libboost-system-dev libwebsocketpp-dev nlohmann-json3-dev libabsl-dev
  libeasyloggingpp-dev catch2 libxxhash-dev liblua5.4-dev libssl-dev libbenchmark-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
