#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs of standins/ and scripts/lib; nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c "import sys; sys.path.insert(0, 'review/lib-2'); import cases"
