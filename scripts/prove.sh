#!/usr/bin/env bash
# Runs the process proofs: scripts/prove.sh [--list] [--quick] [--seed N] [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --list ]; then
  scripts/install-packages.sh
  scripts/build.sh build
fi
exec python3 scripts/local/prove.py --bin build/bin "$@"
