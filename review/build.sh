#!/bin/sh
# Checks the stand-ins of the cases. They are plain Python 3 (standard library only) and need no compiler;
# no case starts a stand-in of the project's own.
set -eu
cd "$(dirname "$0")"
for file in common/standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "review: stand-ins are ready"
