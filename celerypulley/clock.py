"""One clock type, in milliseconds."""

import time
from collections.abc import Callable

import attrs

__all__ = ["Clock"]

_NS_PER_MS = 1_000_000


def _read_boot_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@attrs.frozen
class Clock:
    """Read monotonic and wall time in milliseconds.

    Monotonic time goes on while the machine is suspended: a lease or a confirmed
    version grows older meanwhile.

    The readers are parameters, so that a test can move time by hand.
    """

    read_monotonic_ns: Callable[[], int] = _read_boot_ns
    read_wall_ns: Callable[[], int] = time.time_ns

    def now_ms(self) -> float:
        """Return monotonic time; only differences within one process mean anything."""
        return self.read_monotonic_ns() / _NS_PER_MS

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch."""
        return self.read_wall_ns() // _NS_PER_MS
