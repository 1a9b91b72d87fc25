"""Durable histories of turns, found by the name of the turn.

A turn is durable before its response ends: on disks of storage hosts in two failure
domains or else, with its whole history, in the key-value store. So a turn that neither
of them knows does not exist.

A turn on disks continues the records of the turn before it where those are kept for
long enough. Otherwise its whole history is stored again.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from urllib.parse import quote

import attrs
import msgpack

from celerypulley.client_limits.byte_semaphore import ByteSemaphore
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.hosts.storage_host_pool import ChainResult, StorageHostPool
from celerypulley.links.key_value import KeyValueStore, StoreUnavailableError, Write
from celerypulley.storage.turn_records import (
    TurnRecord,
    keep_until_ms,
    may_continue_records,
    records_of_history,
)

__all__ = ["TURN_PREFIX", "CompletedTurn", "TurnArchive"]

TURN_PREFIX = "turns/"
# A tenth of the memory of a host, which has 128 to 150 MB (site sheets).
_CACHE_BYTES = 12 * 1024 * 1024
_CACHE_ENTRY_BYTES = 512  # of a history beside its content: its key of 200 characters
_RETRY_MS = 40.0  # ten response times of a healthy store
_STORE_HEDGE_DELAY_MS = 60.0  # the store is tried in parallel after this time
_MAX_NAME_CHARS = 100  # keys have at most 200 bytes, with prefix and organisation
_SAVING_BYTES = 8 * 1024 * 1024  # of an archive that is given no limit
_HISTORY_COPIES = 3  # for the cache, and encoded twice for the store
_log = DecisionLog("archive")


@attrs.frozen
class CompletedTurn:
    """A turn that an engine has completed.

    `prompt` is what the engine was sent: the history of earlier turns and `input`. The
    turn must be available for `retention_ms` after it is saved. Without
    `may_use_storage_hosts` only the store keeps it.
    """

    organisation: str
    name: str
    previous: str
    input: bytes = attrs.field(repr=False)
    output: bytes = attrs.field(repr=False)
    prompt: bytes = attrs.field(repr=False)
    retention_ms: float
    may_use_storage_hosts: bool = True

    @property
    def history(self) -> bytes:
        """Return a copy of the history that ends with this turn."""
        return self.prompt + self.output


@attrs.frozen
class _History:
    """A turn's history, and the wall-clock time until which all of it is kept."""

    content: bytes = attrs.field(repr=False)
    kept_until_ms: float


class TurnArchive:
    """Save turns and load their histories, up to and including each turn."""

    def __init__(
        self,
        store: KeyValueStore,
        pool: StorageHostPool | None,
        clock: Clock,
        saving_bytes: int = _SAVING_BYTES,
    ) -> None:
        """Save turns through `pool`, or in `store` where there is no pool.

        Turns that are being saved hold at most `saving_bytes`, others wait.
        """
        self.store = store
        self.pool = pool
        self.clock = clock
        self.saved_on_storage_hosts = 0
        self.saved_in_store = 0
        self.histories_rewritten = 0
        self._cache: OrderedDict[str, _History] = OrderedDict()
        self._cached_bytes = 0
        self._saves = ByteSemaphore(saving_bytes)

    @property
    def saving_bytes(self) -> int:
        """Return what turns hold that are being saved."""
        return self._saves.held_bytes

    async def load(
        self,
        organisation: str,
        turn: str,
        on_bytes: Callable[[int], None] = lambda _count: None,
    ) -> bytes | None:
        """Return the history that ends with `turn`, None if there is no such turn.

        `on_bytes` is told the size of each part that has come; what it raises ends the
        search. Raise StoreUnavailableError where it cannot be determined.
        """
        key = _turn_key(organisation, turn)
        if key is None:
            return None
        pieces: list[bytes] = []
        kept_until_ms = float("inf")
        next_key = key
        while next_key:
            cached = self._cache.get(next_key)
            if cached is not None:
                self._cache.move_to_end(next_key)
                on_bytes(len(cached.content))
                pieces.append(cached.content)
                kept_until_ms = min(kept_until_ms, cached.kept_until_ms)
                break
            chain, stored = await self._search(next_key)
            if chain is not None and chain.found:
                on_bytes(sum(len(each) for part in chain.parts for each in part))
                pieces.append(b"".join(each for part in chain.parts for each in part))
                kept_until_ms = min(kept_until_ms, chain.kept_until_ms)
                next_key = chain.missing
                continue
            if stored is not None:
                on_bytes(len(stored.content))
                pieces.append(stored.content)
                kept_until_ms = min(kept_until_ms, stored.kept_until_ms)
                break
            if next_key == key and await self._is_ruled_out(chain):
                return None
            raise StoreUnavailableError(
                f"cannot find {next_key} or rule out that it exists"
            )
        history = pieces[0] if len(pieces) == 1 else b"".join(reversed(pieces))
        self._cache_history(key, _History(history, kept_until_ms))
        return history

    async def _search(self, key: str) -> tuple[ChainResult | None, _History | None]:
        """Return what storage hosts have of a chain, or else its stored history.

        The store is read while a storage host delays the search. Raise
        StoreUnavailableError if it is needed and can't be read.
        """
        if self.pool is None:
            return None, await self._read_store(key)
        search = asyncio.create_task(self.pool.find_chain(key))
        read: asyncio.Task | None = None
        try:
            await asyncio.wait([search], timeout=_STORE_HEDGE_DELAY_MS / 1000)
            if search.done() and search.result().found:
                return search.result(), None
            read = asyncio.create_task(self._read_store(key))
            await asyncio.wait([search, read], return_when=asyncio.FIRST_COMPLETED)
            if read.done() and not read.exception() and read.result() is not None:
                return None, read.result()
            chain = await search
            return chain, None if chain.found else await read
        finally:
            search.cancel()
            if read is not None and not read.cancel() and not read.cancelled():
                read.exception()  # otherwise reported as not retrieved

    async def _is_ruled_out(self, chain: ChainResult | None) -> bool:
        """Return whether a turn that was not found anywhere does not exist."""
        if self.pool is None or chain is None:
            return self.pool is None
        return chain.is_confirmed and await self.pool.are_all_disks(chain.disks)

    async def _read_store(self, key: str) -> _History | None:
        item = await self.store.read(key)
        if item is None or item.value is None:
            return None
        try:
            kept_until_ms, history = msgpack.unpackb(item.value)
        except (ValueError, msgpack.UnpackException) as error:
            raise StoreUnavailableError(f"{key} is invalid: {error}") from error
        return _History(history, kept_until_ms)

    async def save(self, turn: CompletedTurn) -> None:
        """Save a turn and return when it is durable.

        It retries until then, so the caller has to set a timeout.
        """
        key = _turn_key(turn.organisation, turn.name)
        if key is None:
            _log.write(
                "turn not saved", "its name is too long for a key", request=turn.name
            )
            return
        held_bytes = _HISTORY_COPIES * (len(turn.prompt) + len(turn.output))
        await self._saves.acquire(held_bytes)
        try:
            records = self._plan_records(key, turn)
            await self._make_durable(records, turn)
            kept_until_ms = records[-1].kept_until_ms
            self._cache_history(key, _History(turn.history, kept_until_ms))
        finally:
            self._saves.release(held_bytes)

    def _plan_records(self, key: str, turn: CompletedTurn) -> list[TurnRecord]:
        """Return the records of a turn, the last of which has its key.

        It has been loaded here, so that the cache tells how long its history is kept.
        """
        wall_ms = self.clock.wall_ms()
        previous_key = _turn_key(turn.organisation, turn.previous)
        previous = self._cache.get(previous_key) if previous_key is not None else None
        if previous_key is not None and previous is not None:
            kept_until_ms = previous.kept_until_ms
            if may_continue_records(kept_until_ms, wall_ms, turn.retention_ms):
                return [
                    TurnRecord(
                        key, kept_until_ms, previous_key, turn.input, turn.output
                    )
                ]
        kept_until_ms = keep_until_ms(wall_ms, turn.retention_ms, len(turn.prompt))
        if turn.previous:
            self.histories_rewritten += 1
            _log.write(
                "history stored again",
                "its records are not kept for long enough",
                request=turn.name,
                is_history_known=previous is not None,
                size_bytes=len(turn.prompt),
            )
        return records_of_history(key, kept_until_ms, turn.prompt, turn.output)

    async def _make_durable(
        self, records: list[TurnRecord], turn: CompletedTurn
    ) -> None:
        if self.pool is None or not turn.may_use_storage_hosts:
            await self._write_store(records[-1], turn)
            return
        storage_write = asyncio.create_task(self._write_storage_hosts(records))
        store_write: asyncio.Task | None = None
        try:
            await asyncio.wait([storage_write], timeout=_STORE_HEDGE_DELAY_MS / 1000)
            if storage_write.done() and storage_write.result():
                self.saved_on_storage_hosts += 1
                return
            store_write = asyncio.create_task(self._write_store(records[-1], turn))
            await asyncio.wait(
                [storage_write, store_write], return_when=asyncio.FIRST_COMPLETED
            )
            if storage_write.done() and storage_write.result():
                self.saved_on_storage_hosts += 1
                return
            await store_write
        finally:
            storage_write.cancel()
            if store_write is not None:
                store_write.cancel()

    async def _write_storage_hosts(self, records: list[TurnRecord]) -> bool:
        """Write records in order; return whether enough storage hosts have them."""
        assert self.pool is not None, "there are storage hosts"
        for record in records:
            if not await self.pool.write(record):
                return False
        return True

    async def _write_store(self, record: TurnRecord, turn: CompletedTurn) -> None:
        """Write the history to the store, and retry until it succeeds.

        Repeated writes do no harm, since the history of a turn never changes.
        """
        value = msgpack.packb((record.kept_until_ms, turn.history))
        attempts = 0
        while True:
            attempts += 1
            try:
                await self.store.write([Write(record.key, value)])
                break
            except StoreUnavailableError as error:
                if attempts == 1:
                    _log.write("retrying write", str(error), request=turn.name)
                await asyncio.sleep(_RETRY_MS * random.uniform(0.5, 1.5) / 1000)
        self.saved_in_store += 1

    def _cache_history(self, key: str, history: _History) -> None:
        previous = self._cache.pop(key, None)
        if previous is not None:
            self._cached_bytes -= _CACHE_ENTRY_BYTES + len(previous.content)
        self._cache[key] = history
        self._cached_bytes += _CACHE_ENTRY_BYTES + len(history.content)
        while self._cached_bytes > _CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._cached_bytes -= _CACHE_ENTRY_BYTES + len(dropped.content)


def _turn_key(organisation: str, turn: str) -> str | None:
    if not turn or len(turn) > _MAX_NAME_CHARS:
        return None
    # Bytes of the name that are not UTF-8 are surrogates.
    quoted = quote(turn, safe="", errors="surrogateescape")
    key = f"{TURN_PREFIX}{quote(organisation, safe='')}/{quoted}"
    return key if len(key) <= 200 else None
