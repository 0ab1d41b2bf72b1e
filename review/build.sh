#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python of this folder alone, run by the interpreter that runs the
# controllers, so that there is nothing to compile; this checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.standin.cluster"
