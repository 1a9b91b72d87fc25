"""The records of one storage host: by key in memory, and in a journal on disk."""

import asyncio
import heapq
from concurrent.futures import ThreadPoolExecutor

import attrs
import msgpack

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.storage_messages import RecordPage, StoredChain
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["RecordStore", "TurnRecord"]

_PAGE_BYTES = 256 * 1024  # 4 to 140 ms on a link of 600 to 15 Mbit/s
_EXPIRY_PERIOD_MS = 10_000.0
_log = DecisionLog("shelf")


@attrs.frozen
class TurnRecord:
    """One turn: its input and output, and the key of the turn that it continues."""

    key: str
    kept_until_ms: float
    previous: str
    input: bytes = attrs.field(repr=False)
    output: bytes = attrs.field(repr=False)

    def to_row(self) -> list:
        """Return the record as a list, the form used in messages and on disk."""
        return [self.key, self.kept_until_ms, self.previous, self.input, self.output]

    def size_bytes(self) -> int:
        """Return the size of the input and output."""
        return len(self.input) + len(self.output)

    @classmethod
    def from_row(cls, row: object) -> "TurnRecord":
        """Return the record in a row; raise ValueError if it is invalid."""
        if not isinstance(row, list) or len(row) != 5:
            raise ValueError("record must be a list of five fields")
        key, kept_until_ms, previous, turn_input, output = row
        keys_ok = isinstance(key, str) and isinstance(previous, str)
        bodies_ok = isinstance(turn_input, bytes) and isinstance(output, bytes)
        if not keys_ok or not bodies_ok or not isinstance(kept_until_ms, int | float):
            raise ValueError("record has fields of the wrong type")
        return cls(key, kept_until_ms, previous, turn_input, output)


@attrs.define(eq=False)
class _PendingWrite:
    records: list[TurnRecord]
    done: asyncio.Future


class RecordStore:
    """Store records durably; one sync serves all pending writes."""

    def __init__(self, journal: RecordJournal, clock: Clock) -> None:
        """Read the records in `journal`."""
        self.journal = journal
        self.clock = clock
        self.records: dict[str, TurnRecord] = {}
        self.syncs = 0
        self._pending_writes: list[_PendingWrite] = []
        self._writer_task: asyncio.Task | None = None
        self._executor = ThreadPoolExecutor(1, "journal")
        self._last_expiry_ms = clock.now_ms()
        self._segment_of: dict[str, int] = {}
        for segment, raw in journal.read_all():
            try:
                self._apply(TurnRecord.from_row(msgpack.unpackb(raw)), segment)
            except (ValueError, msgpack.UnpackException) as error:
                _log.write("record skipped", f"invalid on disk: {error}")

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
            segment = 0
            try:
                segment = await loop.run_in_executor(
                    self._executor, self.journal.append, rows
                )
            except OSError as caught:
                _log.write("write failed", repr(caught), records=len(records))
                error = caught
            self.syncs += 1
            if error is None:
                for record in records:
                    self._apply(record, segment)
            for each in batch:
                if each.done.done():
                    continue
                if error is not None:
                    each.done.set_exception(error)
                else:
                    each.done.set_result(None)
            self._drop_expired()

    def _apply(self, record: TurnRecord, segment: int) -> None:
        """Apply a record, and retain the earlier turns of its chain for as long."""
        previous_copy = self.records.get(record.key)
        if previous_copy is None or previous_copy.kept_until_ms < record.kept_until_ms:
            self.records[record.key] = record
            self._segment_of[record.key] = segment
        previous = self.records.get(record.previous)
        while previous is not None and previous.kept_until_ms < record.kept_until_ms:
            extended = attrs.evolve(previous, kept_until_ms=record.kept_until_ms)
            self.records[extended.key] = extended
            previous = self.records.get(extended.previous)

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
            del self._segment_of[key]
        files = self.journal.drop_unused(set(self._segment_of.values()))
        if expired:
            _log.write("deleted", "records expired", records=len(expired), files=files)

    def chain(self, key: str, is_complete: bool) -> StoredChain:
        """Return the part of the chain ending with `key` that is stored here."""
        parts = []
        record = self.records.get(key)
        found = record is not None
        missing = "" if found else key
        while record is not None:
            parts.append([record.input, record.output])
            missing = record.previous
            record = self.records.get(record.previous)
            if record is not None:
                missing = ""
        parts.reverse()
        return StoredChain(found, parts, missing, is_complete)

    def page(self, after: str, is_complete: bool) -> RecordPage:
        """Return the next page of records, those with keys above `after`."""
        rows = []
        size = 0
        keys = sorted(key for key in self.records if key > after)
        for key in keys:
            if size > _PAGE_BYTES:
                return RecordPage(rows, True, is_complete)
            record = self.records[key]
            rows.append(record.to_row())
            size += record.size_bytes()
        return RecordPage(rows, False, is_complete)

    def keys_after(self, after: str, count: int) -> list[str]:
        """Return the next keys above `after` in order, at most `count`."""
        return heapq.nsmallest(count, (key for key in self.records if key > after))

    def missing_keys(self, keys: list[str]) -> list[str]:
        """Return those of `keys` that have no record here."""
        return [key for key in keys if key not in self.records]
