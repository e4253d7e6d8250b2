#!/usr/bin/env bash
# Runs the fault soak: scripts/soak.sh [--seed N] [--seeds N] [--first N] [--minutes N] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
exec python3 scripts/local/soak.py --bin build/bin "$@"
