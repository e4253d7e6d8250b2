#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given: scripts/check-tidy.sh [BUILD_DIR [FILE...]]
# Skips a file that passed before if the file, its headers and the checks are unchanged. Names and leaves out files
# that CMake does not compile.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-build}
shift || true
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files '*.cpp')
compiled=$(python3 -c 'import json, os, sys
for entry in json.load(open(sys.argv[1])):
    print(os.path.relpath(os.path.join(entry["directory"], entry["file"])))' "$dir/compile_commands.json")
known=()
for file in "${files[@]}"; do
  if grep -qxF -- "$(realpath --relative-to=. "$file")" <<<"$compiled"; then
    known+=("$file")
  else
    echo "left out, CMake does not compile it: $file"
  fi
done
files=("${known[@]}")
[ ${#files[@]} -gt 0 ] || exit 0
export TIDY_DIR=$dir
export TIDY_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/masticgap-tidy
mkdir -p "$TIDY_CACHE"
printf '%s\n' "${files[@]}" | xargs -P "${TIDY_JOBS:-$(nproc)}" -n 1 scripts/tidy-file.sh
