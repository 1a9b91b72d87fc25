"""The desired state in force on this host, evacuated domains, and their age."""

from collections.abc import Callable

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import DesiredState
from celerypulley.contracts.evacuations import Evacuations
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.links.key_poller import KeyPoller
from celerypulley.links.key_value import Item, KeyValueStore, WatchBatch
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["DesiredStateCache"]

_WATCH_WAIT_MS = 20_000  # at most 30 s are allowed; changes arrive at once
_log = DecisionLog("desired-state")


class DesiredStateCache:
    """Follow the desired state in the store; older versions are ignored.

    A version that can't be read is ignored, too, but no read confirms the one before it
    any more, since that may hold keys which the newer version has withdrawn.

    The functions in `on_change` are called with each new version. `evacuations` are the
    failure domains that the operator has marked to get no requests.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        key: str,
        decode: Callable[[bytes], DesiredState],
        clock: Clock,
        evacuation_prefix: str = "",
    ) -> None:
        """Follow `key`, which begins with `prefix`.

        Keys that begin with `evacuation_prefix`, which begins with `prefix`, end with
        the name of an evacuated domain. Without it no domain is evacuated.
        """
        self.key = key
        self.decode = decode
        self.evacuation_prefix = evacuation_prefix
        self.evacuations = Evacuations()
        self.clock = clock
        self.state: DesiredState | None = None
        self._readable_revision = 0
        self._unreadable_since_ms: float | None = None
        self.on_change: list[Callable[[DesiredState], None]] = []
        self.follower = PrefixFollower(
            "desired-state",
            store,
            prefix,
            _WATCH_WAIT_MS,
            clock,
            self._on_snapshot,
            self._on_item,
        )
        self.confirmer = KeyPoller(
            store,
            key,
            clock,
            self._on_item,
            prefix,
            self._on_read if evacuation_prefix else None,
        )

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return self.state.version if self.state else 0

    def age_ms(self) -> float:
        """Return how long ago the version in force was confirmed as the newest one."""
        age_ms = self.confirmer.age_ms()
        since_ms = self._unreadable_since_ms
        if since_ms is None:
            return age_ms
        return max(age_ms, elapsed_ms(since_ms, self.clock.now_ms(), "desired state"))

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        for item in items:
            self._on_item(item)

    def _on_read(self, batch: WatchBatch) -> None:
        """Apply a read of all keys, which shows also which domains aren't evacuated."""
        prefix = self.evacuation_prefix
        marks = {
            item.key.removeprefix(prefix): item.revision
            for item in batch.items
            if item.key.startswith(prefix)
        }
        self.evacuations.apply_read(marks, batch.revision)
        self._on_snapshot(batch.items)

    def _on_item(self, item: Item) -> None:
        prefix = self.evacuation_prefix
        if prefix and item.key.startswith(prefix):
            domain = item.key.removeprefix(prefix)
            is_evacuated = item.value is not None
            self.evacuations.apply_event(domain, item.revision, is_evacuated)
            return
        if item.key != self.key or item.value is None:
            return
        try:
            state = self.decode(item.value)
        except ValueError as error:
            self._on_unreadable(item.revision, str(error))
            return
        if item.revision >= self._readable_revision:
            self._readable_revision = item.revision
            self._unreadable_since_ms = None
        if self.state is not None and state.version <= self.state.version:
            return
        self.state = state
        _log.write("version in force", "newer than the last", version=state.version)
        for listener in self.on_change:
            listener(state)

    def _on_unreadable(self, revision: int, reason: str) -> None:
        if revision < self._readable_revision:
            return
        if self._unreadable_since_ms is None:
            _log.write("invalid version ignored", reason, revision=revision)
            self._unreadable_since_ms = self.clock.now_ms()
