#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given: scripts/check-tidy.sh [BUILD_DIR [FILE...]]
# Skips a file that passed before if the file, its headers and the checks are unchanged.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-build}
shift || true
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cpp')
[ ${#files[@]} -gt 0 ] || exit 0
export TIDY_DIR=$dir
export TIDY_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/masticgap-tidy
mkdir -p "$TIDY_CACHE"
printf '%s\n' "${files[@]}" | xargs -P "${TIDY_JOBS:-$(nproc)}" -n 1 scripts/tidy-file.sh
