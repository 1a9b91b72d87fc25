"""Ports of runs of the tests that go on beside each other."""

import itertools
import subprocess
import sys

from tools import cluster

CHOOSE = "from tools.cluster import free_port; print(free_port(), flush=True); input()"


def test_two_runs_choose_the_same_port(monkeypatch):
    """The other run hasn't listened yet on the port that it chose."""
    other = subprocess.Popen(
        [sys.executable, "-c", CHOOSE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    port = int(other.stdout.readline())
    monkeypatch.setattr(cluster, "_CANDIDATE_PORTS", itertools.count(port))
    assert cluster.free_port() != port
    other.communicate("\n")
    monkeypatch.setattr(cluster, "_CANDIDATE_PORTS", itertools.count(port))
    assert cluster.free_port() == port
