"""Time between two readings of one monotonic clock, which is never negative."""

from celerypulley.decision_log import DecisionLog

__all__ = ["elapsed_ms"]

_log = DecisionLog("clock")
_reported_places: set[str] = set()


def elapsed_ms(since_ms: float, now_ms: float, place: str) -> float:
    """Return the time from `since_ms` to `now_ms` in milliseconds, 0 if negative.

    Readings that go backwards belong to two clocks, or to one of them before and after
    a boot. They are logged once for each `place`, the name of what measures the time.
    """
    if now_ms >= since_ms:
        return now_ms - since_ms
    _report_backwards(place, since_ms, now_ms)
    return 0.0


def _report_backwards(place: str, since_ms: float, now_ms: float) -> None:
    if place in _reported_places:
        return
    _reported_places.add(place)
    _log.write(
        "time went backwards",
        f"{place}: {now_ms:.3f} ms was read after {since_ms:.3f} ms",
    )
