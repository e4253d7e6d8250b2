#!/usr/bin/env bash
# Builds everything: scripts/build.sh [BUILD_DIR [CMAKE_OPTION...]]
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets builds of several checkouts share cached objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
dir=${1:-build}
shift || true
cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
ninja -C "$dir" --quiet
