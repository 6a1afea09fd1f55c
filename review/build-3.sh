#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. All of
# them are Python in review/lib-3 and tests/cluster.py; this only checks them.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast, glob
for name in ["tests/cluster.py", *glob.glob("review/lib-3/*.py"), *glob.glob("review/1[1-5]/*.py")]:
    ast.parse(open(name).read(), name)
P
