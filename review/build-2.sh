#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can be started: they are Python modules of this
# repository and need no step but the deploy file's build, which installs their libraries.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
PYTHONPATH="$top/target/deps:$top:$top/review" python3 -c "import small_deployment"
