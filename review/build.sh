#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs, so this only checks that they compile
# and that the gateway of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))'
test -x target/bin/masticgap-gateway
