#!/usr/bin/env bash
# Checks formatting; --fix rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | while read -r file; do [ -e "$file" ] && echo "$file"; done |
  xargs -r -P 4 -n 16 clang-format "${mode[@]}"
