#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start beside the controllers: the project's own control service and agents, which
# are Python and need what the deploy file's build installs, and the stand-ins in `standin-2/`, which need nothing more.
# Compiles all of it below target/ to show that it can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/deps -nt requirements.txt ] || python3 -m pip install -q -U --target target/deps -r requirements.txt
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m compileall -q run.py tidebend review/standin-2 review/[4-8]
python3 run.py up --help > /dev/null
