#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
exec timeout --signal=TERM --kill-after=5 118 python3 review/7/case.py
