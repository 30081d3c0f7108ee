#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. They are Python modules, the project's store
# among them, and need only what the build line of deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "import review.harness"
