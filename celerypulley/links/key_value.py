"""The key-value service as the product needs it: typed calls and errors."""

from collections import Counter
from typing import Protocol

import attrs

__all__ = [
    "ConditionFailedError",
    "HistoryExpiredError",
    "Item",
    "KeyValueStore",
    "LeaseExpiredError",
    "StoreUnavailableError",
    "WatchBatch",
    "Write",
]


@attrs.frozen
class Item:
    """One key as it was last written; `value` is None where it was removed."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class WatchBatch:
    """Changes in order, and the revision from which to go on."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Write:
    """A value to write; `expected` is the revision that the key must have.

    An expected revision of 0 means that the key must not exist, None that any
    revision will do. `lease` 0 keeps the key until it is deleted.
    """

    key: str
    value: bytes
    expected_revision: int | None = None
    lease: int = 0


class StoreUnavailableError(Exception):
    """No usable answer came.

    `may_have_run` is False only where the service said that nothing was done or
    no byte of the call was sent.
    """

    def __init__(self, detail: str, may_have_run: bool = True) -> None:
        """Keep what happened."""
        super().__init__(detail)
        self.may_have_run = may_have_run


class ConditionFailedError(Exception):
    """A write found another revision; `items` are the keys as they are now."""

    def __init__(self, items: dict[str, Item]) -> None:
        """Keep the current items by key; a missing key does not exist."""
        super().__init__("another revision was found")
        self.items = items


class HistoryExpiredError(Exception):
    """The service no longer has the changes that a watch asked for."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


class KeyValueStore(Protocol):
    """A linearizable store with conditions, leases and watches.

    Every call raises StoreUnavailableError where no usable answer came. `calls`
    counts them by kind.
    """

    calls: Counter[str]

    async def read(self, key: str) -> Item | None:
        """Return the newest item of a key, or None."""

    async def read_prefix(self, prefix: str) -> WatchBatch:
        """Return all items of a prefix and a revision to watch from."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Return the changes after a revision, waiting at most `wait_ms`.

        Raise HistoryGoneError where they are no longer known.
        """

    async def write(self, writes: list[Write], deletes: list[str] | None = None) -> int:
        """Write all or nothing and return the revision.

        Raise ConditionFailedError or LeaseGoneError where nothing was written.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseGoneError where it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease with its keys; one that has ended already does no harm."""
