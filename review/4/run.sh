#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
set -euo pipefail
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
