"""What hosts tell each other: counts, by datagrams that may be lost.

Every message repeats the totals that changed lately, so that lost ones do no harm.
Nothing that must last is told this way.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import attrs
from mode import Service

from celerypulley.clock import Clock
from celerypulley.links.fleet_datagrams import FleetDatagrams

__all__ = ["FleetGossip", "PeerCounts"]

# A twentieth of the window over which rates are judged, 5 s.
_PERIOD_MS = 250.0
_MIN_PERIOD_MS = 25.0  # a host that spends fast speaks at most this often
_PERIOD_MS_PER_PEER = 8.0  # larger fleets speak less often: messages grow with n
_MAX_MISSED_MESSAGES = 3
# A host tells that it misses another before it acts on that, so that the other one
# stops to lead first, also where messages are lost in one direction only.
_MISSED_BEFORE_ANNOUNCED = 1
_CHANGE_REPEATS = 4  # as many messages in a row as may be missing, and one
_FULL_EVERY_MESSAGES = (
    20  # a host that has just started hears all totals within seconds
)
_ORPHAN_RETENTION_MS = 120_000.0  # twice the longest time that turns are kept, 60 s
_KIND = "counts"


@attrs.frozen
class PeerCounts:
    """The newest message of one start of a host.

    `admitted` are totals since its start by organisation, `in_flight` its calls
    under way by server, `strikes` its lost servers by request fingerprint.
    `unsecured` are tokens that it used while the store was away, by budget. Hosts
    with the same `view` know the same members; `unheard` are those that it misses.
    """

    host: str
    incarnation: str
    number: int
    received_ms: float
    admitted: dict[str, int] = attrs.Factory(dict)
    in_flight: dict[str, int] = attrs.Factory(dict)
    crash_counts: dict[str, int] = attrs.Factory(dict)
    unrecorded: dict[str, int] = attrs.Factory(dict)
    view: int = 0
    unreachable: frozenset[str] = frozenset()


class FleetGossip(Service):
    """Send this host's counts to every member, and keep the newest of each."""

    def __init__(
        self,
        datagrams: FleetDatagrams,
        read_own_counts: Callable[[], tuple[dict, dict, dict, dict]],
        read_view: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Send `read_own()`: admitted, in flight, strikes, unsecured; and the view."""
        super().__init__()
        self.datagrams = datagrams
        self.read_own_counts = read_own_counts
        self.read_view = read_view
        self.clock = clock
        self.peers: dict[str, PeerCounts] = {}
        self.on_message: list[Callable[[PeerCounts, PeerCounts | None], None]] = []
        self._number = 0
        self._recent_totals: deque[dict[str, int]] = deque(maxlen=_CHANGE_REPEATS)
        self._orphaned_usage: dict[str, tuple[int, float]] = {}
        self._send_now = asyncio.Event()
        datagrams.handlers[_KIND] = self._on_counts

    @property
    def members(self) -> dict[str, tuple[str, int]]:
        """Return the members' addresses, this host's among them."""
        return self.datagrams.addresses

    def period_ms(self) -> float:
        """Return the time between two messages."""
        return max(_PERIOD_MS, _PERIOD_MS_PER_PEER * len(self.members))

    def is_reachable(self, host: str, missed: int = _MAX_MISSED_MESSAGES) -> bool:
        """Return whether at most `missed` messages in a row of a host are missing."""
        if host == self.datagrams.host:
            return True
        peer = self.peers.get(host)
        if peer is None:
            return False
        elapsed_ms = self.clock.now_ms() - peer.received_ms
        return elapsed_ms < (missed + 1) * self.period_ms()

    def last_received_ms(self, host: str) -> float:
        """Return when a host was last heard; before all time if it never was."""
        peer = self.peers.get(host)
        return peer.received_ms if peer else float("-inf")

    def unrecorded_on_other_hosts(self, key: str) -> int:
        """Return what other hosts used of a budget and did not add to its counter.

        A budget has one home at a time, so the largest account of it is the newest.
        What a host had told before it started anew counts for some time.
        """
        reported = [peer.unrecorded.get(key, 0) for peer in self.peers.values()]
        orphaned, until_ms = self._orphaned_usage.get(key, (0, 0.0))
        if self.clock.now_ms() < until_ms:
            reported.append(orphaned)
        return max(reported, default=0)

    def has_quorum(self) -> bool:
        """Return whether more than half of the members agree with this host on them.

        They are heard, hear this host and know the same members. At most one part of a
        divided fleet does.
        """
        view = self.read_view()
        agreeing = sum(self._agrees(host, view) for host in self.members)
        return agreeing * 2 > len(self.members)

    def _agrees(self, host: str, view: int) -> bool:
        if host == self.datagrams.host:
            return True
        if not self.is_reachable(host):
            return False
        peer = self.peers[host]
        return peer.view == view and self.datagrams.host not in peer.unreachable

    def unreachable_domains(self, domains: dict[str, str]) -> frozenset[str]:
        """Return the failure domains of members (`domains`) none of which is heard.

        They are probably cut off from this host.
        """
        reachable = {each for host, each in domains.items() if self.is_reachable(host)}
        return frozenset(set(domains.values()) - reachable)

    def _on_counts(self, host: str, payload: list) -> None:
        (
            incarnation,
            number,
            admitted,
            in_flight,
            crash_counts,
            unrecorded,
            view,
            unreachable,
        ) = payload
        tables = (admitted, in_flight, crash_counts, unrecorded)
        if not all(isinstance(table, dict) for table in tables):
            raise ValueError("counts are tables")
        if not isinstance(incarnation, str) or not isinstance(number, int):
            raise ValueError("a start has a name, a message a number")
        if not isinstance(unreachable, list):
            raise ValueError("unheard members are a list")
        counts = (
            in_flight,
            crash_counts,
            unrecorded,
            view,
            frozenset(map(str, unreachable)),
        )
        previous = self.peers.get(host)
        if previous is not None and previous.incarnation == incarnation:
            if number <= previous.number:
                return
            # A message leaves out the totals that have not changed lately.
            admitted = {**previous.admitted, **admitted}
        now_ms = self.clock.now_ms()
        self._replace_counts(
            PeerCounts(host, incarnation, number, now_ms, admitted, *counts), previous
        )

    def _replace_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        self.peers[peer.host] = peer
        if previous is not None and previous.incarnation != peer.incarnation:
            until_ms = self.clock.now_ms() + _ORPHAN_RETENTION_MS
            for key, tokens in previous.unrecorded.items():
                self._orphaned_usage[key] = (tokens, until_ms)
        for listener in self.on_message:
            listener(peer, previous)

    def announce_soon(self) -> None:
        """Send the next message without waiting for the period's end."""
        self._send_now.set()

    @Service.task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_MIN_PERIOD_MS / 1000)
            pause_ms = self.period_ms() * random.uniform(0.9, 1.1) - _MIN_PERIOD_MS
            with suppress(TimeoutError):
                await asyncio.wait_for(self._send_now.wait(), pause_ms / 1000)
            self._send_now.clear()
            self._clear_unreachable_calls()
            self.announce()

    def announce(self) -> None:
        """Send one message to every member."""
        self._number += 1
        admitted, *counts = self.read_own_counts()
        message = [self.datagrams.instance_id, self._number]
        message += [
            self._changed_totals(admitted),
            *counts,
            self.read_view(),
            self._unreachable_members(),
        ]
        self.datagrams.broadcast(_KIND, message)

    def _unreachable_members(self) -> list[str]:
        return [
            host
            for host in self.members
            if not self.is_reachable(host, _MISSED_BEFORE_ANNOUNCED)
        ]

    def _changed_totals(self, admitted: dict[str, int]) -> dict[str, int]:
        """Return the totals that changed in the last messages, now and then all.

        Each change is told several times, since messages may be lost.
        """
        if self._number % _FULL_EVERY_MESSAGES == 1:
            changed = dict(admitted)
        else:
            changed = {
                organisation: total
                for organisation, total in admitted.items()
                if any(old.get(organisation) != total for old in self._recent_totals)
            }
        self._recent_totals.append(dict(admitted))
        return changed

    def _clear_unreachable_calls(self) -> None:
        """Count no calls for a host that is not heard any more."""
        for host, peer in list(self.peers.items()):
            if peer.in_flight and not self.is_reachable(host):
                self._replace_counts(attrs.evolve(peer, in_flight={}), peer)
