#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. They are Python on the libraries of the
# deploy file's build, so that only a check is left: they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review/support_2"
export PYTHONDONTWRITEBYTECODE=1 LOGURU_AUTOINIT=0
python3 -c "import deployment_2, store_2"
