#!/usr/bin/env bash
# Installs the Debian packages that masticgap is built with, if any is missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache python3 clang-format clang-tidy
  libboost1.81-dev libcereal-dev libgflags-dev libgoogle-glog-dev doctest-dev
  libxxhash-dev libzstd-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
