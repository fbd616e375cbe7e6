#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; checks that they can be read. The daemons come
# from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */run.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
