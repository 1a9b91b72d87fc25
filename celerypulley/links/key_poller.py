"""Reads one key again and again, so that its age is known.

A watch brings changes sooner, but an answer without changes proves little: a service
that drops its history tells watches nothing for a while.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_value import Item, KeyValueStore, StoreUnavailableError

__all__ = ["KeyPoller"]

_POLL_INTERVAL_MS = (
    1_500.0  # three reads within the shortest bound on withdrawn keys, 5 s
)
_READ_TIMEOUT_S = 0.5  # twice the answer of a service sixty times slower than 4 ms
_RETRY_DELAY_MS = 150.0  # many tries within the bound on withdrawn keys
_log = DecisionLog("confirmer")


class KeyPoller(Service):
    """Hand each read item on, and keep when the newest read was asked for."""

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        clock: Clock,
        on_item: Callable[[Item], None],
    ) -> None:
        """Read `key`; a key that does not exist is confirmed too."""
        super().__init__()
        self.store = store
        self.key = key
        self.clock = clock
        self.on_item = on_item
        self.is_store_unavailable = False
        self._confirmed_ms = float("-inf")
        self._wake_up = asyncio.Event()

    def age_ms(self) -> float:
        """Return how long ago the newest read was asked for."""
        return self.clock.now_ms() - self._confirmed_ms

    def poll_now(self) -> None:
        """Read now instead of at the period's end."""
        self._wake_up.set()

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            asked_ms = self.clock.now_ms()
            try:
                async with asyncio.timeout(_READ_TIMEOUT_S):
                    item = await self.store.read(self.key)
            except (StoreUnavailableError, TimeoutError) as error:
                self._record_failure(repr(error))
                await asyncio.sleep(_RETRY_DELAY_MS * random.uniform(0.5, 1.5) / 1000)
                continue
            if item is not None:
                self.on_item(item)
            self._record_success(asked_ms)
            pause_ms = _POLL_INTERVAL_MS * random.uniform(0.9, 1.0)
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake_up.wait(), pause_ms / 1000)
            self._wake_up.clear()

    def _record_failure(self, reason: str) -> None:
        if self.is_store_unavailable:
            return
        self.is_store_unavailable = True
        _log.write("dependency lost", reason, key=self.key)

    def _record_success(self, requested_ms: float) -> None:
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            silent_ms = min(self.age_ms(), 1e9)
            _log.write(
                "dependency regained",
                f"not confirmed for {silent_ms:.0f} ms",
                key=self.key,
            )
        self._confirmed_ms = requested_ms
