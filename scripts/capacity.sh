#!/usr/bin/env bash
# Measures the costs per host of docs/CAPACITY.md: scripts/capacity.sh [--sizes 15,30,60,120] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
for bench in build/bin/bench-*; do
  [ "$(basename "$bench")" = bench-worker_choice ] && continue # Does not depend on the number of hosts.
  echo "== $(basename "$bench")"
  "$bench"
done
echo "== idle entry hosts"
exec python3 scripts/local/capacity.py --bin build/bin "$@"
