#!/bin/sh
# The stand-ins are Python and use the libraries of the deploy build.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 -c 'import standins'
