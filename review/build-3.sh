#!/bin/sh
# Builds what the scripts in review/11 to review/15 start. Their stand-ins are
# in Python and need no build; this checks that they can run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in common3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
