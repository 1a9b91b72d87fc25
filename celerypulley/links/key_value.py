"""The interface of the key-value store: typed calls and errors."""

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
    """One key as it was last written; `value` is None if it was removed.

    A `lease` of 0 means that the key stays until it is deleted.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@attrs.frozen
class WatchBatch:
    """Changes in order, and the revision from which to continue."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Write:
    """A value to write; `expected_revision` is the revision that the key must have.

    An expected revision of 0 means that the key must not exist, None that any
    revision is accepted. A `lease` of 0 keeps the key until it is deleted.
    """

    key: str
    value: bytes
    expected_revision: int | None = None
    lease: int = 0


class StoreUnavailableError(Exception):
    """The key-value store gave no usable response.

    `may_have_run` is False only if the store reported that nothing was done or no
    byte of the call was sent.
    """

    def __init__(self, detail: str, may_have_run: bool = True) -> None:
        """Set the message to `detail`; see the class for `may_have_run`."""
        super().__init__(detail)
        self.may_have_run = may_have_run


class ConditionFailedError(Exception):
    """A write found another revision; `items` are the keys as they are now."""

    def __init__(self, items: dict[str, Item]) -> None:
        """Store the current `items` by key; keys that do not exist are left out."""
        super().__init__("a key does not have the expected revision")
        self.items = items


class HistoryExpiredError(Exception):
    """The store no longer has the changes that a watch requested."""


class LeaseExpiredError(Exception):
    """The lease has expired or was ended."""


class KeyValueStore(Protocol):
    """A linearizable store with conditional writes, leases and watches.

    Every call raises StoreUnavailableError if it gets no usable response. `calls`
    counts the calls by kind, `calls_by_purpose` by kind and first part of the key.
    """

    calls: Counter[str]
    calls_by_purpose: Counter[tuple[str, str]]

    async def read(self, key: str) -> Item | None:
        """Return the current item of a key, or None if it does not exist."""

    async def read_prefix(self, prefix: str) -> WatchBatch:
        """Return all items of a prefix and the revision to watch from."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Return the changes after revision `after`; wait at most `wait_ms` for one.

        Raise HistoryExpiredError if the store no longer has them.
        """

    async def write(self, writes: list[Write], deletes: list[str] | None = None) -> int:
        """Apply all writes and deletes or none, and return the revision.

        Raise ConditionFailedError or LeaseExpiredError if none was applied.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease of `ttl_ms` and return its number."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has expired."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys; an expired lease is not an error."""

    def check_connections(self) -> None:
        """Replace the open connections if a new one is answered while they are not."""
