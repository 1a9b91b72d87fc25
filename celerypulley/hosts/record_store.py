"""The records of one storage host: on disk, and the newest also in memory."""

import asyncio
import heapq
from collections import OrderedDict
from concurrent.futures import ThreadPoolExecutor

import attrs
import msgpack

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.storage_messages import KeptChain, RecordPage
from celerypulley.storage.record_journal import RecordJournal, RecordPlace
from celerypulley.storage.turn_records import TurnRecord

__all__ = ["RecordStore", "StoredRecord"]

_PAGE_BYTES = 256 * 1024  # 4 to 140 ms on a link of 600 to 15 Mbit/s
_CHAIN_BYTES = 1024 * 1024  # of one reply; the rest of a chain is asked for again
_EXPIRY_PERIOD_MS = 10_000.0
_ENTRY_BYTES = 1_024  # of a record without its content: key, place and dictionaries
_MEMORY_BYTES = 32 * 1024 * 1024  # of a store that is given no limit
_log = DecisionLog("shelf")


@attrs.define(eq=False)
class StoredRecord:
    """What is known of a record on disk; `content` only while it is in memory, too.

    It is kept until `kept_until_ms`, for longer than its content says if a later turn
    of its chain is.
    """

    kept_until_ms: float
    previous: str
    place: RecordPlace
    content: TurnRecord | None


@attrs.define(eq=False)
class _PendingWrite:
    records: list[TurnRecord]
    done: asyncio.Future


class RecordStore:
    """Store records durably; one sync serves all pending writes.

    `records` has an entry for each record. Contents are dropped from memory, oldest
    first, when they and the entries exceed the limit, and read from disk again when
    they are asked for. `held_bytes` is the sum of those in memory.
    """

    def __init__(
        self, journal: RecordJournal, clock: Clock, memory_bytes: int = _MEMORY_BYTES
    ) -> None:
        """Read the records in `journal`; hold at most `memory_bytes` of them."""
        self.journal = journal
        self.clock = clock
        self.memory_bytes = memory_bytes
        self.records: dict[str, StoredRecord] = {}
        self.syncs = 0
        self.held_bytes = 0
        self._content_bytes: OrderedDict[str, int] = OrderedDict()  # of each in memory
        self._pending_writes: list[_PendingWrite] = []
        self._writer_task: asyncio.Task | None = None
        self._executor = ThreadPoolExecutor(1, "journal")
        self._last_expiry_ms = clock.now_ms()
        for place, raw in journal.read_all():
            try:
                self._apply(TurnRecord.from_row(msgpack.unpackb(raw)), place)
            except (ValueError, msgpack.UnpackException) as error:
                _log.write("record skipped", f"invalid on disk: {error}")

    def has_room(self) -> bool:
        """Return whether there is memory for the entries of further records."""
        return len(self.records) * _ENTRY_BYTES < self.memory_bytes

    async def write(self, records: list[TurnRecord]) -> None:
        """Write records; return when they are on disk, raise OSError if that fails."""
        pending_write = _PendingWrite(
            records, asyncio.get_running_loop().create_future()
        )
        self._pending_writes.append(pending_write)
        if self._writer_task is None or self._writer_task.done():
            self._writer_task = asyncio.create_task(self._write_all())
        await pending_write.done

    async def _write_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending_writes:
            batch, self._pending_writes = self._pending_writes, []
            records = [record for each in batch for record in each.records]
            rows = [msgpack.packb(record.to_row()) for record in records]
            error = None
            places: list[RecordPlace] = []
            try:
                places = await loop.run_in_executor(
                    self._executor, self.journal.append, rows
                )
            except OSError as caught:
                _log.write("write failed", repr(caught), records=len(records))
                error = caught
            del rows
            self.syncs += 1
            for record, place in zip(records, places, strict=False):
                self._apply(record, place)
            for each in batch:
                if each.done.done():
                    continue
                if error is not None:
                    each.done.set_exception(error)
                else:
                    each.done.set_result(None)
            self._drop_expired()

    def _apply(self, record: TurnRecord, place: RecordPlace) -> None:
        """Apply a record, and retain the earlier turns of its chain for as long."""
        known = self.records.get(record.key)
        if known is None or known.kept_until_ms < record.kept_until_ms:
            self.records[record.key] = StoredRecord(
                record.kept_until_ms, record.previous, place, record
            )
            self._count_content(record)
        previous = self.records.get(record.previous)
        while previous is not None and previous.kept_until_ms < record.kept_until_ms:
            previous.kept_until_ms = record.kept_until_ms
            previous = self.records.get(previous.previous)

    def _count_content(self, record: TurnRecord) -> None:
        """Count a content that is in memory, and drop the oldest beyond the limit."""
        self._forget_content(record.key)
        self._content_bytes[record.key] = record.size_bytes()
        self.held_bytes += record.size_bytes()
        limit_bytes = self.memory_bytes - len(self.records) * _ENTRY_BYTES
        while self.held_bytes > limit_bytes and self._content_bytes:
            key = next(iter(self._content_bytes))
            self._forget_content(key)
            dropped = self.records.get(key)
            if dropped is not None:
                dropped.content = None

    def _forget_content(self, key: str) -> None:
        self.held_bytes -= self._content_bytes.pop(key, 0)

    def read(self, key: str) -> TurnRecord:
        """Return a record as it is retained now; raise KeyError, or OSError."""
        kept_until_ms = self.records[key].kept_until_ms
        return attrs.evolve(self._content(key), kept_until_ms=kept_until_ms)

    def _content(self, key: str) -> TurnRecord:
        """Return a record as it was written; raise KeyError, or OSError."""
        stored = self.records[key]
        if stored.content is not None:
            return stored.content
        try:
            return TurnRecord.from_row(msgpack.unpackb(self.journal.read(stored.place)))
        except (ValueError, msgpack.UnpackException) as error:
            raise OSError(f"{key} is invalid on disk: {error}") from error

    def _drop_expired(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self._last_expiry_ms < _EXPIRY_PERIOD_MS:
            return
        self._last_expiry_ms = now_ms
        wall_ms = self.clock.wall_ms()
        expired = [
            k for k, each in self.records.items() if each.kept_until_ms < wall_ms
        ]
        for key in expired:
            del self.records[key]
            self._forget_content(key)
        segments = {each.place.segment for each in self.records.values()}
        files = self.journal.drop_unused(segments)
        if expired:
            _log.write("deleted", "records expired", records=len(expired), files=files)

    def chain_bytes(self, key: str) -> int:
        """Return about how long the reply is that `chain` returns."""
        size = 0
        while key in self.records and size < _CHAIN_BYTES:
            stored = self.records[key]
            size += stored.place.length_bytes
            key = stored.previous
        return size

    def chain(self, key: str, is_complete: bool) -> KeptChain:
        """Return the newest part of the chain ending with `key` that is stored here.

        It ends with the turn that exceeds `_CHAIN_BYTES`. Raise OSError if it can't be
        read from disk.
        """
        parts = []
        size = 0
        kept_until_ms = float("inf")
        while key in self.records and size < _CHAIN_BYTES:
            record = self._content(key)
            parts.append([record.input, record.output])
            # Other disks may retain a part for only as long as it was written for.
            kept_until_ms = min(kept_until_ms, record.kept_until_ms)
            size += record.size_bytes()
            key = record.previous
        parts.reverse()
        found = bool(parts)
        return KeptChain(
            found, parts, key, is_complete, kept_until_ms if found else 0.0
        )

    def page_bytes(self) -> int:
        """Return about how long a page is at most, if its last record isn't long."""
        return 2 * _PAGE_BYTES

    def page(self, after: str, is_complete: bool) -> RecordPage:
        """Return the next page of records, those with keys above `after`."""
        rows = []
        size = 0
        keys = sorted(key for key in self.records if key > after)
        for key in keys:
            if size > _PAGE_BYTES:
                return RecordPage(rows, True, is_complete)
            record = self.read(key)
            rows.append(record.to_row())
            size += record.size_bytes()
        return RecordPage(rows, False, is_complete)

    def keys_after(self, after: str, count: int) -> list[str]:
        """Return the next keys above `after` in order, at most `count`."""
        return heapq.nsmallest(count, (key for key in self.records if key > after))

    def missing_keys(self, keys: list[str]) -> list[str]:
        """Return those of `keys` that have no record here."""
        return [key for key in keys if key not in self.records]
