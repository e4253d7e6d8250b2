#!/usr/bin/env bash
# Runs clang-tidy over one file, unless the same preprocessed text passed before: scripts/tidy-file.sh FILE
set -euo pipefail
file=$1
text=$(python3 - "$TIDY_DIR" "$file" <<'PY'
import json, os, shlex, subprocess, sys
directory, file = sys.argv[1], os.path.abspath(sys.argv[2])
entries = json.load(open(os.path.join(directory, "compile_commands.json")))
entry = next((e for e in entries if os.path.abspath(os.path.join(e["directory"], e["file"])) == file), None)
if entry is None:
    sys.exit("no compile command for " + file)
words = shlex.split(entry["command"])
words = [w for w in words if not w.endswith("ccache")]
for flag in ("-o", "-MF", "-MT"):
    if flag in words:
        at = words.index(flag)
        del words[at:at + 2]
words = [w for w in words if w not in ("-c", "-MD")]
text = subprocess.run(words + ["-E", "-P", "-C"], cwd=entry["directory"], check=True,
                      stdout=subprocess.PIPE, stderr=subprocess.DEVNULL).stdout
# Removes the path of the checkout, so that checkouts share cache entries.
sys.stdout.buffer.write(text.replace(os.getcwd().encode(), b"."))
PY
)
checks=$(clang-tidy --dump-config "$file" 2>/dev/null; clang-tidy --version)
key=$(printf '%s\n%s\n%s' "$file" "$checks" "$text" | sha256sum | cut -d' ' -f1)
[ -e "$TIDY_CACHE/$key" ] && exit 0
clang-tidy --quiet -p "$TIDY_DIR" "$file" 2>/dev/null
touch "$TIDY_CACHE/$key"
