#!/bin/sh
# Checks that the stand-ins of the cases can be loaded; Python needs no other build.
cd "$(dirname "$0")/.." || exit 1
set -e
PYTHONPATH=target/deps python3 - <<'END'
import standins.kvstore
import standins.linecaller
import standins.linegroup

import review.fleet
import review.service
END
for case in review/[4-8]/case.py; do
    [ -e "$case" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
