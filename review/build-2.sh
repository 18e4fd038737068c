#!/usr/bin/env bash
# Check that the stand-ins of cases 6 to 10 start with the libraries in
# target/deps. They are Python sources of this repository; nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src python3 -c 'import lycheerelay_standins.platform'
PYTHONPATH=target/deps:src:review python3 -c 'import cell_2'
