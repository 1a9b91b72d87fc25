"""Messages between hosts and the keepers of turn records."""

from celerypulley.links.codec import message

__all__ = [
    "GetChain",
    "StoredChain",
    "RecordsStored",
    "ListRecords",
    "RecordsNotStored",
    "StoreRecords",
    "RecordPage",
]


@message(70)
class StoreRecords:
    """Keep records: each is [key, kept_until_ms, previous key or "", input, output]."""

    records: list


@message(71)
class RecordsStored:
    """Every record of the question is on this keeper's disk."""


@message(72)
class RecordsNotStored:
    """The records were not kept, and why."""

    reason: str


@message(73)
class GetChain:
    """Ask for the chain that ends with a record."""

    key: str


@message(74)
class StoredChain:
    """The newest part of a chain that is known here.

    `found` says whether the record itself is known. `parts` are [input, output],
    oldest first; `missing` is the key before them, "" where the chain is whole.
    `is_complete` says that nothing this keeper acknowledged is missing here.
    """

    found: bool
    parts: list
    missing: str
    is_complete: bool


@message(75)
class ListRecords:
    """Ask for a page of records, those after a key."""

    after: str


@message(76)
class RecordPage:
    """A page of records in the order of their keys, and whether more follow."""

    records: list
    more: bool
    is_complete: bool
