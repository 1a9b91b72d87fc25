"""Whether an entry that was removed may only have lapsed while the store was away.

An entry lapses after three check-in intervals of silence. Its server has checked in at
most one interval before an outage, so a shorter outage than two intervals ends none,
and an entry that is removed then is gone.
"""

from celerypulley.clock import NEVER_MS

__all__ = ["EntryRetention"]

_LAPSE_INTERVALS = 1.75  # two, less the time by which a check-in may be late
# Entries that lapsed are written again within this time of the store's return.
_GRACE_MS = 2_000.0


class EntryRetention:
    """Follows for how long nobody on this host knew the store to be available."""

    def __init__(self, check_in_ms: float) -> None:
        """Assume that servers check in every `check_in_ms`."""
        self.min_outage_ms = check_in_ms * _LAPSE_INTERVALS
        self._confirmed_ms = NEVER_MS
        self._returned_ms = NEVER_MS

    def record_confirmation(self, confirmed_ms: float, now_ms: float) -> None:
        """Record that the store was available at `confirmed_ms`, which may be past."""
        if confirmed_ms <= self._confirmed_ms:
            return
        unconfirmed_ms = confirmed_ms - self._confirmed_ms
        if self._confirmed_ms != NEVER_MS and unconfirmed_ms >= self.min_outage_ms:
            self._returned_ms = now_ms
        self._confirmed_ms = confirmed_ms

    def retains(self, now_ms: float) -> bool:
        """Return whether removed entries may be written again."""
        if self._confirmed_ms == NEVER_MS:
            return False
        if now_ms - self._confirmed_ms >= self.min_outage_ms:
            return True
        return now_ms - self._returned_ms < _GRACE_MS
