#!/usr/bin/env bash
# Build the stand-ins of this review's scripts, which need the libraries that the
# build of the deploy file installs. They are Python, so loading them is enough.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD/src:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import cell_3'
