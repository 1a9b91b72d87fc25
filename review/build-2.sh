#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the project's programs:
# the stand-ins of review/harness_2.py and the project's own store, in Python. The
# packages that they need are those of the deploy file's build line. No network is used.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review"
python3 - <<'END'
import pathlib

names = ["harness_2.py", *(f"{number}/case.py" for number in range(6, 11))]
for path in [pathlib.Path("review", name) for name in names]:
    compile(path.read_bytes(), str(path), "exec")
import harness_2

print("stand-ins built:", ", ".join(each for each in harness_2.__all__))
END
