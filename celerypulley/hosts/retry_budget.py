"""A budget that limits retries to a share of the requests."""

from celerypulley.clock import Clock
from celerypulley.elapsed_time import elapsed_ms

__all__ = ["RetryBudget"]

_RETRIES_PER_REQUEST = 0.1
_MIN_RETRIES_PER_S = 1.0
_MAX_AVAILABLE = 50.0


class RetryBudget:
    """Allow one retry for every ten requests, plus one per second."""

    def __init__(self, clock: Clock) -> None:
        """Start with a few retries available."""
        self.clock = clock
        self._available = 5.0
        self._updated_ms = clock.now_ms()

    def record_request(self) -> None:
        """Add the share of a retry that each request allows."""
        self._available = min(_MAX_AVAILABLE, self._available + _RETRIES_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Use one retry; return False if none is available."""
        now_ms = self.clock.now_ms()
        since_ms = elapsed_ms(self._updated_ms, now_ms, "retry budget")
        gained = since_ms / 1000 * _MIN_RETRIES_PER_S
        self._available = min(_MAX_AVAILABLE, self._available + gained)
        self._updated_ms = now_ms
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
