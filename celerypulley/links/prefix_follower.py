"""Follow a prefix of the key-value store: read a snapshot, then watch for changes.

Each response to a watch proves what was current when the watch was sent, so short
waits limit the age of a host's cached state. Waits may be long while a peer tells which
change it saw last: a watch that misses changes is then noticed without a call.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.links.key_value import (
    HistoryExpiredError,
    Item,
    KeyValueStore,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = ["PrefixFollower"]

_RETRY_DELAY_MS = 100.0  # a store that responds in 4 ms is back before the next attempt
_MAX_RETRY_DELAY_MS = 250.0  # a twentieth of the shortest revocation limit, 5 s
_OUTAGE_AFTER_MS = 1_000.0  # time without a confirmation that counts as an outage
_CHECKED_WAIT_MS = 20_000  # at most 30 s are allowed
_CHECK_TTL_MS = 4_000.0  # a peer is asked every second
_TRUST_PERIOD_S = 0.2
_BEHIND_LIMIT_MS = 500.0  # after a change reached a peer it reaches this host, too
_PROBE_WAIT_MS = 1  # the shortest watch; it returns as soon as the store is back


class PrefixFollower(Service):
    """Pass the items of a prefix to handlers, and track the age of their state.

    `last_change_revision` is the revision of the last change that was seen.
    """

    def __init__(
        self,
        name: str,
        store: KeyValueStore,
        prefix: str,
        wait_ms: int,
        clock: Clock,
        on_snapshot: Callable[[tuple[Item, ...]], None],
        on_change: Callable[[Item], None],
        read_pause_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Follow `prefix` with watches of at most `wait_ms`.

        `on_snapshot` receives all items after every full read, `on_change` each later
        change. `name` appears in the log. After a response, the next watch begins
        `read_pause_ms()` later and returns at once what has changed meanwhile.
        """
        super().__init__()
        self.name = name
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.clock = clock
        self.on_snapshot = on_snapshot
        self.on_change = on_change
        self.read_pause_ms = read_pause_ms
        # Waits so many seconds or more before a retry; may be replaced.
        self.wait_to_retry: Callable[[float], Awaitable[None]] = asyncio.sleep
        # Called with the time at which the store was available; may be replaced.
        self.on_confirmed: Callable[[float], None] = lambda _confirmed_ms: None
        self.confirmed_ms = NEVER_MS
        self.last_change_revision = 0
        self._checked_ms = NEVER_MS
        self._peer_revision = 0
        self._behind_since_ms = NEVER_MS
        self._revision: int | None = None
        self._has_failed = False
        self.is_store_unavailable = False
        self._log = DecisionLog("follower")

    def age_ms(self) -> float:
        """Return the time in ms since the store confirmed the handlers' state."""
        return elapsed_ms(self.confirmed_ms, self.clock.now_ms(), "followed prefix")

    def check(self, peer_revision: int) -> None:
        """Compare the last change that a peer knows with what is known here.

        A watch that stays behind is sent again.
        """
        was_behind = self._is_behind()
        self._checked_ms = self.clock.now_ms()
        self._peer_revision = peer_revision
        if not was_behind:
            self._behind_since_ms = self._checked_ms

    def _is_behind(self) -> bool:
        return self._revision is not None and self._revision < self._peer_revision

    def _is_checked(self) -> bool:
        """Return whether a peer says what it knows."""
        return self.clock.now_ms() - self._checked_ms <= _CHECK_TTL_MS

    def _is_trusted(self, sent_ms: float) -> bool:
        """Return whether a peer confirms that a pending watch misses no changes."""
        if not self._is_checked():
            return False
        behind_ms = self.clock.now_ms() - max(sent_ms, self._behind_since_ms)
        return not self._is_behind() or behind_ms < _BEHIND_LIMIT_MS

    async def _watch_while_trusted(self, revision: int) -> WatchBatch | None:
        """Return the response to a long watch, None if it is not trusted any more."""
        sent_ms = self.clock.now_ms()
        watch = asyncio.create_task(
            self.store.watch(self.prefix, revision, _CHECKED_WAIT_MS)
        )
        try:
            while self._is_trusted(sent_ms):
                await asyncio.wait([watch], timeout=_TRUST_PERIOD_S)
                if watch.done():
                    return watch.result()
        finally:
            watch.cancel()
        self._log.write(
            "watch sent again",
            "no peer confirms that it misses no changes",
            follower=self.name,
            revision=revision,
        )
        # The next one may get another connection that is lost.
        self.store.check_connections()
        return None

    @Service.task
    async def _follow(self) -> None:
        pause_ms = _RETRY_DELAY_MS
        while not self.should_stop:
            try:
                confirmed_ms = await self._poll_once()
            except HistoryExpiredError as error:
                self._log.write("snapshot read again", str(error), follower=self.name)
                self._revision = None
                # A store that drops its history again and again is not read in a loop.
                await asyncio.sleep(_jittered_s(_RETRY_DELAY_MS))
                continue
            except StoreUnavailableError as error:
                self._has_failed = True
                self._record_failure(str(error))
                await self.wait_to_retry(_jittered_s(pause_ms))
                # The failure may count as an outage only after the wait.
                self._record_failure(str(error))
                pause_ms = min(_MAX_RETRY_DELAY_MS, pause_ms * 2)
                continue
            pause_ms = _RETRY_DELAY_MS
            self._has_failed = False
            self._record_success(confirmed_ms)
            await asyncio.sleep(self.read_pause_ms() / 1000)

    async def _poll_once(self) -> float:
        """Read or watch once; return the time at which the result was current."""
        requested_ms = self.clock.now_ms()
        if self._revision is None:
            batch = await self.store.read_prefix(self.prefix)
            self.on_snapshot(batch.items)
            self._revision = batch.revision
            self._record_changes(batch)
            return requested_ms
        # After a failure, a long watch would confirm the recovery only at its end.
        wait_ms = _PROBE_WAIT_MS if self._has_failed else self.wait_ms
        if self._is_checked() and not self._has_failed:
            wait_ms = _CHECKED_WAIT_MS
            batch = await self._watch_while_trusted(self._revision)
            if batch is None:
                return self.confirmed_ms
        else:
            batch = await self.store.watch(self.prefix, self._revision, wait_ms)
        for item in batch.items:
            self.on_change(item)
        self._record_changes(batch)
        self._revision = max(self._revision, batch.revision)
        waited_ms = self.clock.now_ms() - requested_ms
        # A response without changes after the whole wait was made at its end.
        if not batch.items and waited_ms >= wait_ms:
            return requested_ms + wait_ms
        return requested_ms

    def _record_changes(self, batch: WatchBatch) -> None:
        newest = max((item.revision for item in batch.items), default=0)
        self.last_change_revision = max(self.last_change_revision, newest)

    def _record_failure(self, reason: str) -> None:
        if self.is_store_unavailable or self.age_ms() < _OUTAGE_AFTER_MS:
            return
        self.is_store_unavailable = True
        self._log.write("key-value store unavailable", reason, follower=self.name)

    def _record_success(self, confirmed_ms: float) -> None:
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            self._log.write(
                "key-value store available again",
                f"not confirmed for {self.age_ms():.0f} ms",
                follower=self.name,
                revision=self._revision,
            )
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
        self.on_confirmed(confirmed_ms)


def _jittered_s(pause_ms: float) -> float:
    return pause_ms * random.uniform(0.5, 1.5) / 1000
