#!/usr/bin/env bash
# Builds masticgap and runs a complete deployment on loopback:
# scripts/run-local.sh [tahi|peachline|small] [--seconds N] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
exec python3 scripts/local/run_local.py --bin build/bin "$@"
