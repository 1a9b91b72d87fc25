"""Requests that hosts admitted lately, as storage hosts hear of them.

Hosts copy the last window from each other when they start. If all of them end at one
moment, the storage hosts outlive them. So hosts send what they admitted to one storage
host of some failure domains, too, and a host that starts asks these witnesses. They
save it on their disks, since they may end at the same moment.
"""

import asyncio
from collections import deque
from collections.abc import Iterable

import attrs

from celerypulley.clock import Clock
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import FleetGossip, PeerCounts
from celerypulley.fleet.fleet_members import FleetMember
from celerypulley.fleet.window_table import (
    WindowReport,
    WindowRow,
    WindowSource,
    WindowTable,
    count_by_step,
    counted_total,
    spread_counts,
)

__all__ = ["WINDOW_KIND", "WindowWitness", "choose_witnesses"]

WINDOW_KIND = "window"
_MAX_WITNESSES = 3  # two may be lost together with all hosts
_PLACEMENT_KEY = "requests of the last window"
# Of one organisation, what is lost at a loss of power: a part of the overrun of a limit
# that the site sheets allow, or of its slack.
_UNSAVED_FRACTION = 0.03
_UNSAVED_COUNT = 8


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


@attrs.define(eq=False)
class _Recent:
    """One organisation's requests in the window, with times and counts."""

    rows: deque[tuple[float, float]] = attrs.Factory(deque)
    in_window: float = 0.0
    unsaved: float = 0.0

    def record(self, at_ms: float, count: float) -> None:
        """Count requests that are not saved yet."""
        self.rows.append((at_ms, count))
        self.in_window += count
        self.unsaved += count

    def drop_until(self, at_ms: float) -> None:
        """Drop the requests that were counted until `at_ms`."""
        while self.rows and self.rows[0][0] <= at_ms:
            self.in_window -= self.rows.popleft()[1]


class WindowWitness:
    """The requests that all hosts admitted in the last window, by organisation.

    `has_unsaved` is set while some are not saved, `is_save_urgent` while that are many.
    """

    def __init__(
        self, datagrams: FleetDatagrams, window_ms: float, clock: Clock
    ) -> None:
        """Hear the messages of hosts, and answer those that start."""
        self.datagrams = datagrams
        self.window_ms = window_ms
        self.clock = clock
        self.has_unsaved = asyncio.Event()
        self.is_save_urgent = asyncio.Event()
        self._started_ms = clock.now_ms()
        self._source = WindowSource.NONE
        self._recent: dict[str, _Recent] = {}
        gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 0, clock)
        gossip.on_message.append(self._on_peer_counts)
        datagrams.handlers[WINDOW_KIND] = self._handle_request

    def _on_peer_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        now_ms = self.clock.now_ms()
        for organisation, total in peer.admitted.items():
            known = counted_total(organisation, peer, previous, self.window_ms)
            if total <= known:
                continue
            recent = self._recent.setdefault(organisation, _Recent())
            recent.record(now_ms, total - known)
            recent.drop_until(now_ms - self.window_ms)
            self.has_unsaved.set()
            tolerated = max(_UNSAVED_COUNT, _UNSAVED_FRACTION * recent.in_window)
            if recent.unsaved >= tolerated:
                self.is_save_urgent.set()

    def restore(self, rows: list[WindowRow]) -> None:
        """Count what was saved before the start, the newest row as just counted."""
        self._source = WindowSource.RESTORED
        newest_ms = rows[-1].at_ms if rows else 0.0
        for row in rows:
            age_ms = elapsed_ms(row.at_ms, newest_ms, "saved window")
            if age_ms >= self.window_ms:
                continue
            for organisation, count in row.counts.items():
                recent = self._recent.setdefault(organisation, _Recent())
                recent.record(self._started_ms - age_ms, count)

    def copy_window(self, table: WindowTable) -> None:
        """Replace what is known by counts of hosts, which include it.

        Requests count from the newest moment of their part of the window.
        """
        now_ms = self.clock.now_ms()
        self._source = WindowSource.HEARD
        self._recent.clear()
        for organisation, counts in table.items():
            recent = self._recent[organisation] = _Recent()
            for at_ms, count in spread_counts(counts, now_ms, self.window_ms):
                recent.record(at_ms, count)
        self.has_unsaved.set()
        self.is_save_urgent.set()

    def rows(self) -> list[WindowRow]:
        """Return the requests of the last window, oldest first."""
        self._drop_old()
        counts: dict[float, dict[str, float]] = {}
        for organisation, recent in self._recent.items():
            for at_ms, count in recent.rows:
                row = counts.setdefault(at_ms, {})
                row[organisation] = row.get(organisation, 0.0) + count
        return [WindowRow(at_ms, counts[at_ms]) for at_ms in sorted(counts)]

    def take_unsaved(self) -> dict[str, float]:
        """Return the requests that are not saved yet; they count as saved now."""
        self.has_unsaved.clear()
        self.is_save_urgent.clear()
        unsaved = {}
        for organisation, recent in self._recent.items():
            if recent.unsaved:
                unsaved[organisation] = recent.unsaved
                recent.unsaved = 0.0
        return unsaved

    def _drop_old(self) -> None:
        until_ms = self.clock.now_ms() - self.window_ms
        for organisation, recent in list(self._recent.items()):
            recent.drop_until(until_ms)
            if not recent.rows and not recent.unsaved:
                del self._recent[organisation]

    def knows_window(self) -> bool:
        """Return whether this storage host has heard all messages of the window."""
        return self.window_source() is WindowSource.HEARD

    def window_source(self) -> WindowSource:
        """Return what this storage host knows the last window from."""
        age_ms = elapsed_ms(self._started_ms, self.clock.now_ms(), "window witness")
        return WindowSource.HEARD if age_ms >= self.window_ms else self._source

    def window_counts(self) -> dict[str, list[float]]:
        """Return the requests of the last window, as a host's meter does."""
        self._drop_old()
        rows = {name: recent.rows for name, recent in self._recent.items()}
        return count_by_step(rows, self.clock.now_ms(), self.window_ms)

    def report(self) -> WindowReport:
        """Return what this storage host knows of the window."""
        source = self.window_source()
        if source is WindowSource.NONE:
            return WindowReport(source)
        return WindowReport(source, self.window_counts())

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        return self.report().to_payload()
