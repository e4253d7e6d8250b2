#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the gateway.
# Their stand-ins are Python programs, so they are only checked for syntax. The
# gateway itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for program in common2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$program" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$program"
done
