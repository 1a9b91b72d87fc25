#!/bin/sh
# The stand-ins are Python modules: load each of them with the built dependencies.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review:. python3 -c "import celerypulley.stand_ins.fleet_store, harness"
