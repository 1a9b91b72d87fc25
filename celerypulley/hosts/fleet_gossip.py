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
_MISSED_MESSAGES = 3
# A host tells that it misses another before it acts on that, so that the other one
# stops to lead first, also where messages are lost in one direction only.
_MISSED_BEFORE_TOLD = 1
_TOLD_TIMES = 4  # as many messages in a row as may be missing, and one
_WHOLE_EVERY = 20  # a host that has just started hears all totals within seconds
_ORPHANED_MS = 120_000.0  # twice the longest time that turns are kept, 60 s
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
    start: str
    number: int
    heard_ms: float
    admitted: dict[str, int] = attrs.Factory(dict)
    in_flight: dict[str, int] = attrs.Factory(dict)
    strikes: dict[str, int] = attrs.Factory(dict)
    unsecured: dict[str, int] = attrs.Factory(dict)
    view: int = 0
    unheard: frozenset[str] = frozenset()


class FleetGossip(Service):
    """Send this host's counts to every member, and keep the newest of each."""

    def __init__(
        self,
        datagrams: FleetDatagrams,
        read_own: Callable[[], tuple[dict, dict, dict, dict]],
        read_view: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Send `read_own()`: admitted, in flight, strikes, unsecured; and the view."""
        super().__init__()
        self.datagrams = datagrams
        self.read_own = read_own
        self.read_view = read_view
        self.clock = clock
        self.peers: dict[str, PeerCounts] = {}
        self.on_message: list[Callable[[PeerCounts, PeerCounts | None], None]] = []
        self._number = 0
        self._told: deque[dict[str, int]] = deque(maxlen=_TOLD_TIMES)
        self._orphaned: dict[str, tuple[int, float]] = {}
        self._hurry = asyncio.Event()
        datagrams.handlers[_KIND] = self._take

    @property
    def members(self) -> dict[str, tuple[str, int]]:
        """Return the members' addresses, this host's among them."""
        return self.datagrams.addresses

    def period_ms(self) -> float:
        """Return the time between two messages."""
        return max(_PERIOD_MS, _PERIOD_MS_PER_PEER * len(self.members))

    def heard_lately(self, host: str, missed: int = _MISSED_MESSAGES) -> bool:
        """Return whether at most `missed` messages in a row of a host are missing."""
        if host == self.datagrams.host:
            return True
        peer = self.peers.get(host)
        if peer is None:
            return False
        silent_ms = self.clock.now_ms() - peer.heard_ms
        return silent_ms < (missed + 1) * self.period_ms()

    def heard_ms(self, host: str) -> float:
        """Return when a host was last heard; before all time if it never was."""
        peer = self.peers.get(host)
        return peer.heard_ms if peer else float("-inf")

    def unsecured_elsewhere(self, key: str) -> int:
        """Return what other hosts used of a budget and did not add to its counter.

        A budget has one home at a time, so the largest account of it is the newest.
        What a host had told before it started anew counts for some time.
        """
        told = [peer.unsecured.get(key, 0) for peer in self.peers.values()]
        orphaned, until_ms = self._orphaned.get(key, (0, 0.0))
        if self.clock.now_ms() < until_ms:
            told.append(orphaned)
        return max(told, default=0)

    def leads(self) -> bool:
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
        if not self.heard_lately(host):
            return False
        peer = self.peers[host]
        return peer.view == view and self.datagrams.host not in peer.unheard

    def silent_domains(self, domains: dict[str, str]) -> frozenset[str]:
        """Return the failure domains of members (`domains`) none of which is heard.

        They are probably cut off from this host.
        """
        heard = {each for host, each in domains.items() if self.heard_lately(host)}
        return frozenset(set(domains.values()) - heard)

    def _take(self, host: str, payload: list) -> None:
        start, number, admitted, in_flight, strikes, unsecured, view, unheard = payload
        tables = (admitted, in_flight, strikes, unsecured)
        if not all(isinstance(table, dict) for table in tables):
            raise ValueError("counts are tables")
        if not isinstance(start, str) or not isinstance(number, int):
            raise ValueError("a start has a name, a message a number")
        if not isinstance(unheard, list):
            raise ValueError("unheard members are a list")
        counts = (in_flight, strikes, unsecured, view, frozenset(map(str, unheard)))
        known = self.peers.get(host)
        if known is not None and known.start == start:
            if number <= known.number:
                return
            # A message leaves out the totals that have not changed lately.
            admitted = {**known.admitted, **admitted}
        now_ms = self.clock.now_ms()
        self._replace(PeerCounts(host, start, number, now_ms, admitted, *counts), known)

    def _replace(self, peer: PeerCounts, known: PeerCounts | None) -> None:
        self.peers[peer.host] = peer
        if known is not None and known.start != peer.start:
            until_ms = self.clock.now_ms() + _ORPHANED_MS
            for key, tokens in known.unsecured.items():
                self._orphaned[key] = (tokens, until_ms)
        for listener in self.on_message:
            listener(peer, known)

    def tell_soon(self) -> None:
        """Send the next message without waiting for the period's end."""
        self._hurry.set()

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_MIN_PERIOD_MS / 1000)
            pause_ms = self.period_ms() * random.uniform(0.9, 1.1) - _MIN_PERIOD_MS
            with suppress(TimeoutError):
                await asyncio.wait_for(self._hurry.wait(), pause_ms / 1000)
            self._hurry.clear()
            self._forget_silent()
            self.tell_once()

    def tell_once(self) -> None:
        """Send one message to every member."""
        self._number += 1
        admitted, *counts = self.read_own()
        message = [self.datagrams.start_name, self._number]
        message += [self._changed(admitted), *counts, self.read_view(), self._unheard()]
        self.datagrams.tell_all(_KIND, message)

    def _unheard(self) -> list[str]:
        return [
            host
            for host in self.members
            if not self.heard_lately(host, _MISSED_BEFORE_TOLD)
        ]

    def _changed(self, admitted: dict[str, int]) -> dict[str, int]:
        """Return the totals that changed in the last messages, now and then all.

        Each change is told several times, since messages may be lost.
        """
        if self._number % _WHOLE_EVERY == 1:
            changed = dict(admitted)
        else:
            changed = {
                organisation: total
                for organisation, total in admitted.items()
                if any(old.get(organisation) != total for old in self._told)
            }
        self._told.append(dict(admitted))
        return changed

    def _forget_silent(self) -> None:
        """Count no calls for a host that is not heard any more."""
        for host, peer in list(self.peers.items()):
            if peer.in_flight and not self.heard_lately(host):
                self._replace(attrs.evolve(peer, in_flight={}), peer)
