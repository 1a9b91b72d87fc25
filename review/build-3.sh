#!/bin/sh
# Builds what the scripts of the third review start: the programs of the deploy file
# and, in Python, their stand-ins. It needs no network once target/deps is there.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
    sh -c "$build"
fi
python3 -m compileall -q celerypulley review/harness_3.py review/1[1-5]
PYTHONPATH=target/deps:. python3 -c "import review.harness_3"
