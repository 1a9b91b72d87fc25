"""The desired state in force on this host, and its age."""

from collections.abc import Callable

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import DesiredState
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_poller import KeyPoller
from celerypulley.links.key_value import Item, KeyValueStore
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["DesiredStateCache"]

_WATCH_WAIT_MS = 20_000  # at most 30 s are allowed; changes arrive at once
_log = DecisionLog("desired-state")


class DesiredStateCache:
    """Follow the desired state in the store; older versions are ignored.

    The functions in `on_change` are called with each new version.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        key: str,
        decode: Callable[[bytes], DesiredState],
        clock: Clock,
    ) -> None:
        """Follow `key`, which begins with `prefix`."""
        self.key = key
        self.decode = decode
        self.state: DesiredState | None = None
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
        self.confirmer = KeyPoller(store, key, clock, self._on_item)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return self.state.version if self.state else 0

    def age_ms(self) -> float:
        """Return how long ago the version in force was confirmed as the newest one."""
        return self.confirmer.age_ms()

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        for item in items:
            self._on_item(item)

    def _on_item(self, item: Item) -> None:
        if item.key != self.key or item.value is None:
            return
        try:
            state = self.decode(item.value)
        except ValueError as error:
            _log.write("invalid version ignored", str(error), revision=item.revision)
            return
        if self.state is not None and state.version <= self.state.version:
            return
        self.state = state
        _log.write("version in force", "newer than the last", version=state.version)
        for listener in self.on_change:
            listener(state)
