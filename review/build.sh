#!/usr/bin/env bash
# The stand-ins that the scripts start are Python modules (standins/hosted_*.py, scripts/lib/hosted.py, review/lib/), so
# there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import glob

for path in sorted(glob.glob("standins/hosted_*.py") + ["scripts/lib/hosted.py"] + glob.glob("review/**/*.py", recursive=True)):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
