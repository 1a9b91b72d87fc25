"""The clock of a run of the tests."""

import pytest

from celerypulley import elapsed_time
from tests.harness import CLOCK_BASE_S


@pytest.fixture(autouse=True)
def negative_times(monkeypatch):
    """Fail a test in which a bucket, lease or age has met a negative time."""
    backwards = []

    def collect(place: str, since_ms: float, now_ms: float) -> None:
        backwards.append((place, since_ms, now_ms))

    monkeypatch.setattr(elapsed_time, "_report_backwards", collect)
    yield backwards
    assert not backwards, f"time went backwards: {backwards[:5]}"


def pytest_terminal_summary(terminalreporter):
    terminalreporter.write_line(
        f"clocks of the tests started at CLOCK_BASE_S={CLOCK_BASE_S:g}"
    )
