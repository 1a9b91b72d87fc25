"""Crashes of servers in the key-value store, where they outlast all hosts at once.

The store has the marks of requests that crashed two servers or more. A mark is a key of
its own, so that hosts write it in any order and more than once. It ends with its lease.
Hosts read the marks once, at their start; later ones come by gossip.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.crash_counts import MARK_LIFE_MS, CrashCounts
from celerypulley.links.key_value import (
    KeyValueStore,
    LeaseExpiredError,
    StoreUnavailableError,
    Write,
)

__all__ = ["CRASH_PREFIX", "CrashMarkStore"]

CRASH_PREFIX = "crashes/"
_READ_RETRY_MS = 100.0  # a host that starts waits for it
_WRITE_RETRY_MS = 1_000.0
_log = DecisionLog("strikes")


class CrashMarkStore(Service):
    """Restore the marks of crashes at the start, and store those that must last."""

    def __init__(
        self,
        store: KeyValueStore,
        crash_counts: CrashCounts,
        clock: Clock,
        prefix: str = CRASH_PREFIX,
    ) -> None:
        """Keep the marks of `crash_counts` in `store`, in keys that begin so."""
        super().__init__()
        self.store = store
        self.crash_counts = crash_counts
        self.clock = clock
        self.prefix = prefix
        # Waits so many seconds or more before a retry; may be replaced.
        self.wait_to_retry: Callable[[float], Awaitable[None]] = asyncio.sleep
        self._changed: dict[str, None] = {}
        self._has_changed = asyncio.Event()
        # Whether this host has written or else deleted a mark, by fingerprint.
        self._is_written: dict[str, dict[bytes, bool]] = {}
        crash_counts.is_restored = False
        crash_counts.on_change.append(self._on_change)

    def _on_change(self, fingerprint: str) -> None:
        self._changed[fingerprint] = None
        self._has_changed.set()

    @Service.task
    async def _run(self) -> None:
        await self._restore()
        while not self.should_stop:
            await self._has_changed.wait()
            self._has_changed.clear()
            while self._changed:
                fingerprint = next(iter(self._changed))
                del self._changed[fingerprint]
                try:
                    await self._update(fingerprint)
                except (StoreUnavailableError, LeaseExpiredError) as error:
                    self._changed.setdefault(fingerprint)
                    _log.write("crashes not stored", str(error))
                    await self.wait_to_retry(_jittered_s(_WRITE_RETRY_MS))

    async def _restore(self) -> None:
        while True:
            try:
                batch = await self.store.read_prefix(self.prefix)
                break
            except StoreUnavailableError:
                await self.wait_to_retry(_jittered_s(_READ_RETRY_MS))
        restored = [self.apply(item.key, item.value) for item in batch.items]
        for fingerprint in dict.fromkeys(filter(None, restored)):
            _log.write(
                "crashes restored",
                "read from the store at the start",
                fingerprint=fingerprint,
                crashes=self.crash_counts.count(fingerprint),
            )
        self.crash_counts.is_restored = True

    def apply(self, key: str, value: bytes | None) -> str:
        """Add the mark of a key, or clear it if the key has no value any more.

        Return its fingerprint, an empty text if the key or value is invalid.
        """
        is_cleared = value is None
        now_ms = self.clock.wall_ms()
        try:
            fingerprint, mark = self._decode_key(key)
            age_ms = 0 if is_cleared else max(0, now_ms - int(value))
            self.crash_counts.merge({fingerprint: [(mark, age_ms, is_cleared)]})
        except ValueError as error:
            _log.write("invalid entry ignored", f"{key}: {error}")
            return ""
        return fingerprint

    async def _update(self, fingerprint: str) -> None:
        """Write the marks of a request that must last, and delete those cleared."""
        ages_ms = self.crash_counts.ages_to_store(fingerprint)
        is_written = self._is_written.get(fingerprint, {})
        to_write = {
            mark: age_ms
            for mark, age_ms in ages_ms.items()
            if age_ms is not None and not is_written.get(mark, False)
        }
        to_delete = [
            mark
            for mark, age_ms in ages_ms.items()
            if age_ms is None and is_written.get(mark, True)
        ]
        if to_write or to_delete:
            lease = await self.store.grant_lease(MARK_LIFE_MS) if to_write else 0
            now_ms = self.clock.wall_ms()
            writes = [
                Write(
                    self._key(fingerprint, mark),
                    b"%d" % (now_ms - age_ms),
                    lease=lease,
                )
                for mark, age_ms in to_write.items()
            ]
            await self.store.write(
                writes, [self._key(fingerprint, mark) for mark in to_delete]
            )
            _log.write(
                "crashes stored",
                "the request crashed two servers or more, or was cleared of them",
                fingerprint=fingerprint,
                written=len(to_write),
                deleted=len(to_delete),
            )
        if not ages_ms:
            self._is_written.pop(fingerprint, None)
            return
        self._is_written[fingerprint] = {
            mark: age_ms is not None for mark, age_ms in ages_ms.items()
        }

    def _key(self, fingerprint: str, mark: bytes) -> str:
        return f"{self.prefix}{fingerprint}/{mark.hex()}"

    def _decode_key(self, key: str) -> tuple[str, bytes]:
        """Return fingerprint and mark; raise ValueError if there is none."""
        fingerprint, _, mark = key.removeprefix(self.prefix).partition("/")
        return fingerprint, bytes.fromhex(mark)


def _jittered_s(pause_ms: float) -> float:
    return pause_ms * random.uniform(0.5, 1.5) / 1000
