#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps:src:review PYTHONDONTWRITEBYTECODE=1
python3 -c 'import cell_2' || exit 2
exec python3 "review/$case_number/case.py"
