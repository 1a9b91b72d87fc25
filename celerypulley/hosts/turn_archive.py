"""Histories of remembered turns: one value a turn, found by the turn's name.

A turn is written before the end of its answer, so a name that the service does not
know names no turn.
"""

import asyncio
import random
from collections import OrderedDict
from urllib.parse import quote

import msgpack

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_value import KeyValueStore, StoreUnavailableError, Write

__all__ = ["TURN_PREFIX", "TurnArchive"]

TURN_PREFIX = "turns/"
_KEPT_BYTES = 12 * 1024 * 1024  # a tenth of a host's 128 to 150 MB (site sheets)
_KEEP_SLACK_MS = 60_000.0  # clocks of hosts differ, and a reader may be late
_RETRY_MS = 40.0  # ten answers' time of a healthy service
_MAX_NAME_CHARS = 100  # keys have at most 200 bytes, with prefix and organisation
_log = DecisionLog("archive")


class TurnArchive:
    """Write and read the history up to and including each turn."""

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        """Keep the newest histories of this host in memory besides."""
        self.store = store
        self.clock = clock
        self._recent: OrderedDict[str, bytes] = OrderedDict()
        self._recent_bytes = 0

    async def load(self, organisation: str, turn: str) -> bytes | None:
        """Return the history that ends with `turn`, None where there is no such turn.

        Raise StoreUnavailableError where it cannot be known.
        """
        key = _key(organisation, turn)
        if key is None:
            return None
        known = self._recent.get(key)
        if known is not None:
            self._recent.move_to_end(key)
            return known
        item = await self.store.read(key)
        if item is None or item.value is None:
            return None
        _kept_until_ms, history = msgpack.unpackb(item.value)
        self._remember(key, history)
        return history

    async def save(
        self, organisation: str, turn: str, history: bytes, retain_ms: float
    ) -> None:
        """Write a history until the service has it; the caller bounds the time.

        Writing again is harmless: a turn's history never changes.
        """
        key = _key(organisation, turn)
        if key is None:
            return
        kept_until_ms = self.clock.wall_ms() + round(retain_ms + _KEEP_SLACK_MS)
        write = Write(key, msgpack.packb((kept_until_ms, history)))
        tries = 0
        while True:
            tries += 1
            try:
                await self.store.write([write])
                break
            except StoreUnavailableError as error:
                if tries == 1:
                    _log.write("write again", str(error), request=turn)
                await asyncio.sleep(_RETRY_MS * random.uniform(0.5, 1.5) / 1000)
        self._remember(key, history)

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
