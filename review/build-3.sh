#!/usr/bin/env bash
# Prepares what the scripts of the third review start beside target/endiveroad. All stand-ins are Python programs of the
# project (standins/, scripts/lib/) and of review/lib-3; they need no build, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - standins/hosted_*.py scripts/lib/hosted.py review/lib-3/*.py review/1[1-5]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
