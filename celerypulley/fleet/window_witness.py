"""Requests that hosts admitted lately, as storage hosts hear of them.

Hosts copy the last window from each other when they start. If all of them end at one
moment, the storage hosts outlive them. So hosts send what they admitted to one storage
host of some failure domains, too, and a host that starts asks these witnesses.
"""

from collections import deque
from collections.abc import Iterable

from celerypulley.clock import Clock
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import FleetGossip, PeerCounts
from celerypulley.fleet.fleet_members import FleetMember
from celerypulley.fleet.window_table import count_by_step, counted_total

__all__ = ["WINDOW_KIND", "WindowWitness", "choose_witnesses"]

WINDOW_KIND = "window"
_MAX_WITNESSES = 3  # two may be lost together with all hosts
_PLACEMENT_KEY = "requests of the last window"


def choose_witnesses(storage_hosts: Iterable[FleetMember]) -> list[str]:
    """Return the storage hosts that hear of requests, each in another failure domain.

    Hosts that know the same storage hosts choose the same.
    """
    by_domain: dict[str, list[str]] = {}
    for storage_host in storage_hosts:
        by_domain.setdefault(storage_host.domain, []).append(storage_host.name)
    witnesses = []
    for domain in sorted(by_domain)[:_MAX_WITNESSES]:
        name = rendezvous(_PLACEMENT_KEY, by_domain[domain])
        if name is not None:
            witnesses.append(name)
    return witnesses


class WindowWitness:
    """The requests that all hosts admitted in the last window, by organisation."""

    def __init__(
        self, datagrams: FleetDatagrams, window_ms: float, clock: Clock
    ) -> None:
        """Hear the messages of hosts, and answer those that start."""
        self.datagrams = datagrams
        self.window_ms = window_ms
        self.clock = clock
        self._started_ms = clock.now_ms()
        self._recent: dict[str, deque[tuple[float, float]]] = {}
        gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 0, clock)
        gossip.on_message.append(self._on_peer_counts)
        datagrams.handlers[WINDOW_KIND] = self._handle_request

    def _on_peer_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        now_ms = self.clock.now_ms()
        for organisation, total in peer.admitted.items():
            known = counted_total(organisation, peer, previous, self.window_ms)
            if total > known:
                recent = self._recent.setdefault(organisation, deque())
                recent.append((now_ms, total - known))
                self._drop_old(recent, now_ms)

    def _drop_old(self, recent: deque[tuple[float, float]], now_ms: float) -> None:
        while recent and recent[0][0] <= now_ms - self.window_ms:
            recent.popleft()

    def knows_window(self) -> bool:
        """Return whether this storage host has heard all messages of the window."""
        age_ms = elapsed_ms(self._started_ms, self.clock.now_ms(), "window witness")
        return age_ms >= self.window_ms

    def window_counts(self) -> dict[str, list[float]]:
        """Return the requests of the last window, as a host's meter does."""
        now_ms = self.clock.now_ms()
        for organisation, recent in list(self._recent.items()):
            self._drop_old(recent, now_ms)
            if not recent:
                del self._recent[organisation]
        return count_by_step(self._recent, now_ms, self.window_ms)

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        if not self.knows_window():
            return [False, {}]
        return [True, self.window_counts()]
