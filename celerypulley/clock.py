"""Monotonic and wall-clock time in milliseconds."""

import time
from collections.abc import Callable

import attrs

__all__ = ["NEVER_MS", "Clock"]

_NS_PER_MS = 1_000_000
# The time of what has not happened. Monotonic time may be 0, soon after a boot.
NEVER_MS = float("-inf")


def _read_boot_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@attrs.frozen
class Clock:
    """A clock that reads monotonic and wall-clock time in milliseconds.

    Monotonic time includes the time for which the machine is suspended, because
    leases and confirmed versions age meanwhile.

    The time sources are parameters, so that tests can control the time.
    """

    read_monotonic_ns: Callable[[], int] = _read_boot_ns
    read_wall_ns: Callable[[], int] = time.time_ns

    def now_ms(self) -> float:
        """Return monotonic time; only differences within one process are meaningful."""
        return self.read_monotonic_ns() / _NS_PER_MS

    def wall_ms(self) -> int:
        """Return the wall-clock time since the Unix epoch."""
        return self.read_wall_ns() // _NS_PER_MS
