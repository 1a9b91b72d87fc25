"""Histories of remembered turns, found by the turn's name alone.

A turn is durable before the end of its answer: on the disks of keepers in two
failure domains, or else, with its whole history, in the key-value service. So a
name that neither knows names no turn.
"""

import asyncio
import random
from collections import OrderedDict
from urllib.parse import quote

import attrs
import msgpack

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.hosts.keeper_pool import KeeperPool
from celerypulley.hosts.record_shelf import TurnRecord
from celerypulley.links.key_value import KeyValueStore, StoreUnavailableError, Write

__all__ = ["TURN_PREFIX", "EndedTurn", "TurnArchive"]

TURN_PREFIX = "turns/"
_KEPT_BYTES = 12 * 1024 * 1024  # a tenth of a host's 128 to 150 MB (site sheets)
_KEEP_SLACK_MS = 60_000.0  # clocks of hosts differ, and a reader may be late
_RETRY_MS = 40.0  # ten answers' time of a healthy service
_DISKS_FIRST_MS = 60.0  # then the service is tried besides
_MAX_NAME_CHARS = 100  # keys have at most 200 bytes, with prefix and organisation
_log = DecisionLog("archive")


@attrs.frozen
class EndedTurn:
    """A turn that an engine has ended, ready to be kept."""

    organisation: str
    name: str
    previous: str
    input: bytes = attrs.field(repr=False)
    output: bytes = attrs.field(repr=False)
    history: bytes = attrs.field(repr=False)
    retain_ms: float


class TurnArchive:
    """Write and read the history up to and including each turn."""

    def __init__(
        self, store: KeyValueStore, pool: KeeperPool | None, clock: Clock
    ) -> None:
        """Without a `pool`, everything lies in `store`."""
        self.store = store
        self.pool = pool
        self.clock = clock
        self.kept_on_disks = 0
        self.kept_in_store = 0
        self._recent: OrderedDict[str, bytes] = OrderedDict()
        self._recent_bytes = 0

    async def load(self, organisation: str, turn: str) -> bytes | None:
        """Return the history that ends with `turn`, None where there is no such turn.

        Raise StoreUnavailableError where it cannot be known.
        """
        key = _key(organisation, turn)
        if key is None:
            return None
        pieces: list[bytes] = []
        wanted = key
        while wanted:
            known = self._recent.get(wanted)
            if known is not None:
                self._recent.move_to_end(wanted)
                pieces.append(known)
                break
            is_sure = True
            if self.pool is not None:
                chain = await self.pool.find(wanted)
                is_sure = chain.is_sure
                if chain.found:
                    parts = [given + output for given, output in chain.parts]
                    pieces.append(b"".join(parts))
                    wanted = chain.missing
                    continue
            older = await self._read_store(wanted)
            if older is None and wanted == key and is_sure:
                return None
            if older is None:
                raise StoreUnavailableError(f"{wanted} is not found for sure")
            pieces.append(older)
            break
        history = b"".join(reversed(pieces))
        self._remember(key, history)
        return history

    async def _read_store(self, key: str) -> bytes | None:
        item = await self.store.read(key)
        if item is None or item.value is None:
            return None
        try:
            _kept_until_ms, history = msgpack.unpackb(item.value)
        except (ValueError, msgpack.UnpackException) as error:
            raise StoreUnavailableError(f"{key} is unreadable: {error}") from error
        return history

    async def save(self, turn: EndedTurn) -> None:
        """Return when a turn is durable; the caller bounds the time."""
        key = _key(turn.organisation, turn.name)
        if key is None:
            _log.write(
                "not kept", "the turn's name is too long for a key", request=turn.name
            )
            return
        kept_until_ms = self.clock.wall_ms() + turn.retain_ms + _KEEP_SLACK_MS
        previous = _key(turn.organisation, turn.previous) if turn.previous else ""
        record = TurnRecord(key, kept_until_ms, previous or "", turn.input, turn.output)
        await self._make_durable(record, turn)
        self._remember(key, turn.history)

    async def _make_durable(self, record: TurnRecord, turn: EndedTurn) -> None:
        if self.pool is None:
            await self._write_store(record, turn)
            return
        disks = asyncio.create_task(self.pool.put(record))
        store: asyncio.Task | None = None
        try:
            await asyncio.wait([disks], timeout=_DISKS_FIRST_MS / 1000)
            if disks.done() and disks.result():
                self.kept_on_disks += 1
                return
            store = asyncio.create_task(self._write_store(record, turn))
            await asyncio.wait([disks, store], return_when=asyncio.FIRST_COMPLETED)
            if disks.done() and disks.result():
                self.kept_on_disks += 1
                return
            await store
        finally:
            disks.cancel()
            if store is not None:
                store.cancel()

    async def _write_store(self, record: TurnRecord, turn: EndedTurn) -> None:
        """Write until the service has it: a turn's history never changes."""
        value = msgpack.packb((record.kept_until_ms, turn.history))
        tries = 0
        while True:
            tries += 1
            try:
                await self.store.write([Write(record.key, value)])
                break
            except StoreUnavailableError as error:
                if tries == 1:
                    _log.write("write again", str(error), request=turn.name)
                await asyncio.sleep(_RETRY_MS * random.uniform(0.5, 1.5) / 1000)
        self.kept_in_store += 1

    def _remember(self, key: str, history: bytes) -> None:
        previous = self._recent.pop(key, b"")
        self._recent[key] = history
        self._recent_bytes += len(history) - len(previous)
        while self._recent_bytes > _KEPT_BYTES:
            _, dropped = self._recent.popitem(last=False)
            self._recent_bytes -= len(dropped)


def _key(organisation: str, turn: str) -> str | None:
    if not turn or len(turn) > _MAX_NAME_CHARS:
        return None
    key = f"{TURN_PREFIX}{quote(organisation, safe='')}/{quote(turn, safe='')}"
    return key if len(key) <= 200 else None
