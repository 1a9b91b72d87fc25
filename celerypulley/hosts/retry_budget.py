"""A budget that bounds retries to a share of the requests."""

from celerypulley.clock import Clock

__all__ = ["RetryBudget"]

_SHARE = 0.1
_MIN_RETRIES_PER_S = 1.0
_MAX_SAVED = 50.0


class RetryBudget:
    """Allow one retry for each ten requests, and one a second besides."""

    def __init__(self, clock: Clock) -> None:
        """Start with a few retries saved."""
        self.clock = clock
        self._saved = 5.0
        self._updated_ms = clock.now_ms()

    def note_request(self) -> None:
        """Save a part of a retry for each request."""
        self._saved = min(_MAX_SAVED, self._saved + _SHARE)

    def take(self) -> bool:
        """Take one retry; return False where none is saved."""
        now_ms = self.clock.now_ms()
        gained = (now_ms - self._updated_ms) / 1000 * _MIN_RETRIES_PER_S
        self._saved = min(_MAX_SAVED, self._saved + gained)
        self._updated_ms = now_ms
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
