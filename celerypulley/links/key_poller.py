"""Poll one key, or the keys of a prefix, so that the age of cached state is known.

A watch reports changes sooner, but a response without changes proves little: a store
that drops its history reports no changes to watches for a while.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.links.key_value import (
    Item,
    KeyValueStore,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = ["POLL_INTERVAL_MS", "RETRY_DELAY_MS", "KeyPoller"]

POLL_INTERVAL_MS = 1_500.0  # three reads within the shortest revocation limit, 5 s
_READ_TIMEOUT_S = 0.5  # twice the response time of a store sixty times slower than 4 ms
_MAX_WAIT_S = 2.0  # a poll of one key may fail although the store serves others
RETRY_DELAY_MS = 150.0  # many attempts within the revocation limit
_log = DecisionLog("confirmer")


class KeyPoller(Service):
    """Pass what is read to a handler, and track the age of the last read."""

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        clock: Clock,
        on_item: Callable[[Item], None],
        prefix: str = "",
        on_read: Callable[[WatchBatch], None] | None = None,
    ) -> None:
        """Poll `key` and pass its item to `on_item`.

        With `on_read` all keys that begin with `prefix` are read instead, and each read
        is passed to it. A read that finds no such key counts as a confirmation.

        `ask_peer`, `pause_ms` and `retry_ms` may be replaced before the start.
        `ask_peer()` returns how long ago, in ms, a peer confirmed the state of this
        host when it answered, or None if the store has to be read. `pause_ms()` is the
        time to the next poll and `retry_ms()` that to the next one after a failure.
        `on_confirmed` is called with the time at which the store was available.
        """
        super().__init__()
        self.store = store
        self.key = key
        self.clock = clock
        self.on_item = on_item
        self.prefix = prefix
        self.on_read = on_read
        self.ask_peer: Callable[[], Awaitable[float | None]] = _ask_nobody
        self.pause_ms: Callable[[], float] = lambda: POLL_INTERVAL_MS
        self.retry_ms: Callable[[], float] = lambda: RETRY_DELAY_MS
        self.on_confirmed: Callable[[float], None] = lambda _confirmed_ms: None
        self._is_available = asyncio.Event()
        self._is_available.set()
        self._confirmed_ms = NEVER_MS
        self._wake_up = asyncio.Event()

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the last read failed, and no peer has confirmed since."""
        return not self._is_available.is_set()

    def age_ms(self) -> float:
        """Return the time in ms since the last successful read was sent."""
        return elapsed_ms(self._confirmed_ms, self.clock.now_ms(), "polled key")

    def poll_now(self) -> None:
        """Read the key now instead of at the end of the interval."""
        self._wake_up.set()

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            requested_ms = self.clock.now_ms()
            peer_age_ms = await self.ask_peer()
            if peer_age_ms is not None:
                self._record_success(requested_ms - peer_age_ms)
                await self._pause()
                continue
            requested_ms = self.clock.now_ms()
            try:
                async with asyncio.timeout(_READ_TIMEOUT_S):
                    await self._read()
            except (StoreUnavailableError, TimeoutError) as error:
                self._record_failure(repr(error))
                await asyncio.sleep(self.retry_ms() * random.uniform(0.5, 1.5) / 1000)
                continue
            self._record_success(requested_ms)
            await self._pause()

    async def _read(self) -> None:
        if self.on_read is not None:
            self.on_read(await self.store.read_prefix(self.prefix))
            return
        item = await self.store.read(self.key)
        if item is not None:
            self.on_item(item)

    async def wait_to_retry(self, delay_s: float) -> None:
        """Wait for `delay_s`, and while the store is known to be unavailable.

        Others that call the store wait here after a failure, so that a host makes one
        call at a time to learn that the store is back, not one for each of them.
        """
        self.poll_now()
        await asyncio.sleep(delay_s)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._is_available.wait(), _MAX_WAIT_S)

    async def _pause(self) -> None:
        pause_ms = self.pause_ms() * random.uniform(0.9, 1.0)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._wake_up.wait(), pause_ms / 1000)
        self._wake_up.clear()

    def _record_failure(self, reason: str) -> None:
        if self.is_store_unavailable:
            return
        self._is_available.clear()
        _log.write("key-value store unavailable", reason, key=self.key)

    def _record_success(self, confirmed_ms: float) -> None:
        if self.is_store_unavailable:
            self._is_available.set()
            unconfirmed_ms = min(self.age_ms(), 1e9)
            _log.write(
                "key-value store available again",
                f"not confirmed for {unconfirmed_ms:.0f} ms",
                key=self.key,
            )
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        self.on_confirmed(confirmed_ms)


async def _ask_nobody() -> None:
    return None
