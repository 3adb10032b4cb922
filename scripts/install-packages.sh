#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need. Must run as root.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq g++ cmake ninja-build pkg-config curl clang-format clang-tidy \
  libcxxtools-dev libnng-dev prometheus-cpp-dev libdocopt-dev libeasyloggingpp-dev librapidcheck-dev libxxhash-dev \
  libmsgpack-cxx-dev nlohmann-json3-dev libpcg-cpp-dev libboost-dev libgtest-dev >/dev/null
