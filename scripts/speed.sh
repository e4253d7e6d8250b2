#!/usr/bin/env bash
# Measures the latency that an entry host adds and its look-up rate: scripts/speed.sh [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
exec python3 scripts/local/speed.py --bin build/bin "$@"
