"""Messages between hosts and the storage hosts that hold turn records."""

from celerypulley.links.codec import message

__all__ = [
    "FindMissing",
    "GetChain",
    "GetKeptChain",
    "GetState",
    "KeptChain",
    "ListRecords",
    "MissingKeys",
    "RecordPage",
    "RecordsNotRead",
    "RecordsNotStored",
    "RecordsStored",
    "StorageState",
    "StoreRecords",
    "StoredChain",
    "payload_bytes",
]


@message(70)
class StoreRecords:
    """Store records, each [key, kept_until_ms, previous key or "", input, output]."""

    records: list


@message(71)
class RecordsStored:
    """Every record of the request is on this storage host's disk."""


@message(72)
class RecordsNotStored:
    """The records were not stored; `reason` says why."""

    reason: str


@message(73)
class GetChain:
    """Request the chain that ends with a record, as earlier versions do."""

    key: str


@message(74)
class StoredChain:
    """The reply to GetChain: a KeptChain without the time until which it is kept."""

    found: bool
    parts: list
    missing: str
    is_complete: bool


@message(75)
class ListRecords:
    """Request a page of the records whose keys follow `after`."""

    after: str


@message(76)
class RecordPage:
    """A page of records in the order of their keys; `more` tells whether more follow.

    `is_complete` is as in KeptChain.
    """

    records: list
    more: bool
    is_complete: bool


@message(77)
class FindMissing:
    """Request those of some keys of which no record is stored here."""

    keys: list


@message(78)
class MissingKeys:
    """The requested keys of which this storage host has no record."""

    keys: list


@message(79)
class GetState:
    """Request the state of a storage host."""


@message(80)
class StorageState:
    """The disk that a storage host uses, and what it knows of copies.

    `is_complete` is as in KeptChain; `is_draining` tells whether it refuses
    records. `compared_with` is a digest of the disks that last responded to it, 0
    unless each of its records was then found to have enough copies on them. `covered`
    are absent disks whose records all have copies elsewhere.
    """

    disk_id: str
    is_complete: bool
    is_draining: bool
    compared_with: int
    covered: list


@message(81)
class RecordsNotRead:
    """The requested records couldn't be read from the disk; `reason` says why."""

    reason: str


@message(82)
class GetKeptChain:
    """Request the chain that ends with a record, and until when it is kept."""

    key: str


@message(83)
class KeptChain:
    """The newest part of a chain, as far as this storage host has it.

    `found` tells whether the requested record is stored here. `parts` are [input,
    output] pairs, oldest first; `missing` is the key before them, or "" if the chain
    is complete. `is_complete` tells whether this storage host has every record that
    it ever acknowledged. Each part has been written to be kept until
    `kept_until_ms`, a wall-clock time, or for longer; it is 0 without any.
    """

    found: bool
    parts: list
    missing: str
    is_complete: bool
    kept_until_ms: float

    def without_time(self) -> StoredChain:
        """Return the reply for earlier versions."""
        return StoredChain(self.found, self.parts, self.missing, self.is_complete)


def payload_bytes(request: StoreRecords) -> int:
    """Return the size of the texts in a request, whatever its rows hold."""
    size = 0
    for row in request.records:
        if not isinstance(row, list | tuple):
            continue
        size += sum(len(each) for each in row if isinstance(each, bytes | str))
    return size
