#!/usr/bin/env bash
# Runs the case: exit status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/../standin-2" PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=6 112 python3 "$here/check.py"
