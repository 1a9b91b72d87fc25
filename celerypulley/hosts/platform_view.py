"""A host's cached view of the key-value store: members, owners, configuration."""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.failure_domains.member import MEMBERS_PREFIX, Member
from celerypulley.failure_domains.owner_table import (
    OWNERS_PREFIX,
    ShardEntry,
    parse_entry_key,
)
from celerypulley.links.platform_link import (
    KeyValue,
    PlatformLink,
    PlatformUnavailableError,
    WatchCompactedError,
)
from celerypulley.programs.identifier import ShardId

__all__ = ["CONFIGURATION_HEAD_KEY", "PlatformView"]

CONFIGURATION_HEAD_KEY = "celerypulley/configuration/head"
_WATCHED_PREFIX = "celerypulley/"
_RETRY_MIN_S = 0.2
_RETRY_MAX_S = 3.0
_CONFIRM_PERIOD_S = 4.0
_WATCH_GRACE_S = 1.0
_log = DecisionLog("platform")


class PlatformView(Service):
    """Follow the key-value store by a single watch, which is one pending call.

    While the store is unavailable, the view keeps its last state; `confirmed_ms` is
    when that was last known to be the newest. A read every few seconds confirms that
    the watch has delivered every change.
    """

    def __init__(self, platform: PlatformLink, clock: Clock) -> None:
        """Start empty; the first snapshot fills the view."""
        super().__init__()
        self.platform = platform
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.former_members: dict[str, Member] = {}
        self.missing_since_ms: dict[str, float] = {}
        self.entries: dict[ShardId, ShardEntry] = {}
        self.configuration_head: KeyValue | None = None
        # Called with the items whose keys begin so.
        self.listeners: dict[str, Callable[[KeyValue], object]] = {}
        self.confirmed_ms = NEVER_MS
        self.connected_since_ms: float | None = None
        self.changed = asyncio.Event()
        self.generation = 0
        self.changed_shards: set[ShardId] = set()
        self._seen_revision = 0
        self._watch_task: asyncio.Task | None = None
        self._random = random.Random()

    def confirmed_ago_ms(self) -> float:
        """Return how long ago the view was last known to be current."""
        return elapsed_ms(self.confirmed_ms, self.clock.now_ms(), "view of the store")

    async def wait_for_change(self, timeout_ms: float) -> bool:
        """Return whether anything changed within `timeout_ms`."""
        changed = self.changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True

    def observe_entry(self, shard: ShardId, entry: ShardEntry) -> None:
        """Apply an entry that this host wrote or read, if it is newer."""
        known = self.entries.get(shard)
        if known is None or entry.revision > known.revision:
            self.entries[shard] = entry
            self.changed_shards.add(shard)
            self._notify()

    @Service.task
    async def _follow(self) -> None:
        wait_s = _RETRY_MIN_S
        while not self.should_stop:
            self._watch_task = asyncio.create_task(self._snapshot_and_watch())
            try:
                await asyncio.wait({self._watch_task})
                self._watch_task.result()
            except asyncio.CancelledError:
                _log.write("reading a new snapshot", "the watch could not be confirmed")
                self.connected_since_ms = None
            except WatchCompactedError as error:
                _log.write("reading a new snapshot", str(error))
                wait_s = _RETRY_MIN_S
            except PlatformUnavailableError as error:
                if self.connected_since_ms is not None:
                    _log.write("key-value store unavailable", str(error))
                    wait_s = _RETRY_MIN_S
                self.connected_since_ms = None
            await self.sleep(self._random.uniform(wait_s / 2, wait_s))
            wait_s = min(wait_s * 2, _RETRY_MAX_S)

    async def _snapshot_and_watch(self) -> None:
        snapshot = await self.platform.read_prefix(_WATCHED_PREFIX)
        self._apply_snapshot(snapshot.items)
        self._seen_revision = snapshot.revision
        self.connected_since_ms = self.clock.now_ms()
        _log.write(
            "key-value store connected", "snapshot read", keys=len(snapshot.items)
        )
        async for batch in self.platform.watch(_WATCHED_PREFIX, snapshot.revision + 1):
            for item in batch:
                self._apply(item)
                self._seen_revision = max(self._seen_revision, item.revision)
            if batch:
                self._notify()
        raise PlatformUnavailableError("the watch ended")

    @Service.task
    async def _confirm(self) -> None:
        while not self.should_stop:
            await self.sleep(self._random.uniform(0.8, 1.2) * _CONFIRM_PERIOD_S)
            if self.connected_since_ms is None:
                continue
            try:
                await self._confirm_once()
            except PlatformUnavailableError:
                self._cancel_watch()

    async def _confirm_once(self) -> None:
        requested_ms = self.clock.now_ms()
        seen = self._seen_revision
        if not await self.platform.has_changed_since(_WATCHED_PREFIX, seen):
            self.confirmed_ms = requested_ms
            return
        await self.sleep(_WATCH_GRACE_S)
        if self._seen_revision == seen:
            self._cancel_watch()
            return
        self.confirmed_ms = requested_ms

    def _cancel_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()

    def _apply_snapshot(self, items: tuple[KeyValue, ...]) -> None:
        before = set(self.members)
        self.former_members.update(self.members)
        self.members.clear()
        for item in items:
            self._apply(item)
        holders = {entry.owner for entry in self.entries.values()}
        holders |= {entry.replica for entry in self.entries.values() if entry.replica}
        for name in (before | holders) - set(self.members):
            self._mark_missing(name)
        self.confirmed_ms = self.clock.now_ms()
        self._notify()

    def _apply(self, item: KeyValue) -> None:
        if item.key.startswith(MEMBERS_PREFIX):
            self._apply_member(item)
            return
        if item.key.startswith(OWNERS_PREFIX) and item.value is not None:
            shard = parse_entry_key(item.key)
            known = self.entries.get(shard)
            if known is None or item.revision > known.revision:
                self.entries[shard] = ShardEntry.decode(item.value, item.revision)
                self.changed_shards.add(shard)
            return
        for prefix, listener in self.listeners.items():
            if item.key.startswith(prefix):
                listener(item)
                return
        if item.key != CONFIGURATION_HEAD_KEY or item.value is None:
            return
        if (
            self.configuration_head is None
            or item.revision > self.configuration_head.revision
        ):
            self.configuration_head = item

    def _apply_member(self, item: KeyValue) -> None:
        name = item.key.removeprefix(MEMBERS_PREFIX)
        if item.value is None:
            member = self.members.pop(name, None)
            if member is not None:
                self.former_members[name] = member
            self._mark_missing(name)
            return
        self.members[name] = Member.decode(item.value)
        self.missing_since_ms.pop(name, None)

    def _mark_missing(self, name: str) -> None:
        self.missing_since_ms.setdefault(name, self.clock.now_ms())

    def missing_for_ms(self, name: str) -> float:
        """Return how long a member has been missing while the store was available.

        0 if it is present or the store is unavailable.
        """
        if name in self.members or self.connected_since_ms is None:
            return 0.0
        since_ms = self.missing_since_ms.setdefault(name, self.clock.now_ms())
        return self.clock.now_ms() - max(since_ms, self.connected_since_ms)

    def pop_changed_entries(self) -> dict[ShardId, ShardEntry]:
        """Return the entries that changed since the last call."""
        changed = {shard: self.entries[shard] for shard in self.changed_shards}
        self.changed_shards.clear()
        return changed

    def missing_members(self, longer_than_ms: float) -> set[str]:
        """Return the members that have been missing for at least `longer_than_ms`."""
        return {
            name
            for name in self.missing_since_ms
            if self.missing_for_ms(name) >= longer_than_ms
        }

    def _notify(self) -> None:
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()
