"""Gossip between hosts: counts, in datagrams that may be lost.

Messages repeat totals that changed recently, so that lost messages do no harm.
Durable state is never sent this way.

In a large fleet a host sends a message to the hosts of its own failure domain and to
one host of each other domain, which relays it to the rest of that domain. Each message
has other relays, so that one that is lost stops no two messages in a row.
"""

import asyncio
import random
import zlib
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress

import attrs
from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_datagrams import FleetDatagrams

__all__ = ["FleetGossip", "PeerCounts"]

# A twentieth of the window over which rates are enforced, 5 s.
_PERIOD_MS = 250.0
_MIN_PERIOD_MS = 25.0  # shortest time between two messages, under high load
_PERIOD_MS_PER_PEER = 8.0  # messages grow with the fleet, so they become rarer
_MAX_MISSED_MESSAGES = 3
# A host announces that it cannot reach another before it acts on that. So the other one
# loses its quorum first, even if messages are lost in one direction only.
_MISSED_BEFORE_ANNOUNCED = 1
_CHANGE_REPEATS = 4  # one more than the missed messages that are tolerated
_FULL_EVERY_MESSAGES = 20  # a restarted host receives all totals within seconds
# A witness counts all requests of a host that it has heard before.
_WITNESS_EVERY_MESSAGES = 4
_KIND = "counts"
_RELAYED_KIND = "relayed counts"
_MAX_DIRECT_HOSTS = 16  # a larger fleet has relays between its failure domains
_log = DecisionLog("gossip")


@attrs.frozen
class PeerCounts:
    """The newest message of one instance of a host, that is, of one start.

    `number` counts the messages. `admitted` are totals of admitted requests since the
    start, by organisation; `in_flight` the current calls, by server; `crashes` the
    marks of crashes with their ages, by request fingerprint. Hosts with the same `view`
    know the same members; `unreachable` are those of them from which the host receives
    nothing, a bit for each in the order of their names, empty if there are none.
    `uptime_ms` is the time since the start. `leaving` are servers that announced to the
    host that they leave, with the times of their starts. `has_all_totals` tells whether
    `admitted` lacks only organisations without requests.
    """

    host: str
    instance_id: str
    number: int
    received_ms: float
    admitted: dict[str, int] = attrs.Factory(dict)
    in_flight: dict[str, int] = attrs.Factory(dict)
    crashes: dict[str, list] = attrs.Factory(dict)
    view: int = 0
    unreachable: bytes = b""
    uptime_ms: float = float("inf")
    leaving: dict[str, int] = attrs.Factory(dict)
    has_all_totals: bool = False


class FleetGossip(Service):
    """Send this host's counts to all hosts, and store the newest counts of each.

    The functions in `on_message` are called with the new and the previous counts.
    """

    def __init__(
        self,
        datagrams: FleetDatagrams,
        read_own_counts: Callable[[], tuple[dict, dict, dict]],
        read_view: Callable[[], int],
        clock: Clock,
        domains: Mapping[str, str] | None = None,
        read_leaving: Callable[[], dict[str, int]] = dict,
    ) -> None:
        """Send what `read_own_counts()` and `read_view()` return.

        The counts are admitted requests, calls in flight and crashes, in this order.
        `domains` are the failure domains by host; without them no message is relayed.
        `read_leaving()` returns the servers that announced that they leave, with the
        times of their starts.
        """
        super().__init__()
        self.datagrams = datagrams
        self.domains = {} if domains is None else domains
        self.read_own_counts = read_own_counts
        self.read_view = read_view
        self.read_leaving = read_leaving
        self.clock = clock
        self.peers: dict[str, PeerCounts] = {}
        self.on_message: list[Callable[[PeerCounts, PeerCounts | None], None]] = []
        # Returns the storage hosts that hear of admitted requests; may be replaced.
        self.witnesses: Callable[[], list[str]] = list
        self._started_ms = clock.now_ms()
        self._number = 0
        self._recent_totals: deque[dict[str, int]] = deque(maxlen=_CHANGE_REPEATS)
        self._send_now = asyncio.Event()
        datagrams.handlers[_KIND] = self._on_counts
        datagrams.handlers[_RELAYED_KIND] = self._relay_counts

    @property
    def members(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of all hosts, including this one."""
        return self.datagrams.addresses

    def period_ms(self) -> float:
        """Return the average time between two messages."""
        return max(_PERIOD_MS, _PERIOD_MS_PER_PEER * len(self.members))

    def is_reachable(self, host: str, missed: int = _MAX_MISSED_MESSAGES) -> bool:
        """Return whether at most `missed` messages in a row from a host were lost."""
        if host == self.datagrams.host:
            return True
        peer = self.peers.get(host)
        if peer is None:
            return False
        since_ms = self.clock.now_ms() - peer.received_ms
        return since_ms < (missed + 1) * self.period_ms()

    def last_received_ms(self, host: str) -> float:
        """Return when a message of a host was last received, -inf if never."""
        peer = self.peers.get(host)
        return peer.received_ms if peer else NEVER_MS

    def has_quorum(self) -> bool:
        """Return whether more than half of all hosts, including this one, agree.

        Another host agrees if it and this one receive each other's messages and know
        the same members. Of the parts of a partitioned fleet, at most one has a quorum.
        """
        view = self.read_view()
        own_index = sorted(self.members).index(self.datagrams.host)
        agreeing = sum(self._agrees(host, view, own_index) for host in self.members)
        return agreeing * 2 > len(self.members)

    def _agrees(self, host: str, view: int, own_index: int) -> bool:
        if host == self.datagrams.host:
            return True
        if not self.is_reachable(host):
            return False
        peer = self.peers[host]
        # With the same view, both number the members alike.
        return peer.view == view and not _has_bit(peer.unreachable, own_index)

    def unreachable_domains(self, domains: dict[str, str]) -> frozenset[str]:
        """Return the failure domains without a reachable host.

        `domains` are the failure domains by host. Those without a reachable host are
        probably cut off from this one.
        """
        reachable = {each for host, each in domains.items() if self.is_reachable(host)}
        return frozenset(set(domains.values()) - reachable)

    def _on_counts(self, host: str, payload: list) -> None:
        (
            instance_id,
            number,
            admitted,
            in_flight,
            crashes,
            view,
            unreachable,
            uptime_ms,
            leaving,
            sum_of_totals,
        ) = payload
        tables = (admitted, in_flight, crashes, leaving)
        if not all(isinstance(table, dict) for table in tables):
            raise ValueError("counts must be dictionaries")
        if not isinstance(instance_id, str) or not isinstance(number, int):
            raise ValueError("instance must be a string and message number an integer")
        if not isinstance(unreachable, bytes):
            raise ValueError("unreachable members must be bytes")
        if not isinstance(uptime_ms, int):
            raise ValueError("uptime must be an integer")
        counts = (
            in_flight,
            crashes,
            view,
            unreachable,
            uptime_ms,
            leaving,
        )
        has_all_totals = False
        previous = self.peers.get(host)
        if previous is not None and previous.instance_id == instance_id:
            if number <= previous.number:
                return
            # Most messages contain only the totals that changed recently.
            admitted = {**previous.admitted, **admitted}
            has_all_totals = previous.has_all_totals
        # Organisations without requests are in no message.
        has_all_totals = has_all_totals or sum(admitted.values()) == sum_of_totals
        peer = PeerCounts(
            host,
            instance_id,
            number,
            self.clock.now_ms(),
            admitted,
            *counts,
            has_all_totals,
        )
        self._replace_counts(peer, previous)

    def _replace_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        self.peers[peer.host] = peer
        for listener in self.on_message:
            listener(peer, previous)

    def announce_soon(self) -> None:
        """Send the next message without waiting for the end of the period."""
        self._send_now.set()

    @Service.task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_MIN_PERIOD_MS / 1000)
            pause_ms = self.period_ms() * random.uniform(0.9, 1.1) - _MIN_PERIOD_MS
            with suppress(TimeoutError):
                await asyncio.wait_for(self._send_now.wait(), pause_ms / 1000)
            self.announce_due()

    def is_announcement_requested(self) -> bool:
        """Return whether the next message should be sent before its period ends."""
        return self._send_now.is_set()

    def announce_due(self) -> None:
        """Send the message that is due, regular or requested."""
        self._send_now.clear()
        self._clear_unreachable_calls()
        self.announce()

    def announce(self) -> None:
        """Send one message to every other host."""
        self._number += 1
        admitted, *counts = self.read_own_counts()
        header = [self.datagrams.instance_id, self._number]
        changed = self._changed_totals(admitted)
        uptime_ms = round(self.clock.now_ms() - self._started_ms)
        total = sum(admitted.values())
        if changed or self._number % _WITNESS_EVERY_MESSAGES == 1:
            brief = [*header, changed, {}, {}, 0, b"", uptime_ms, {}, total]
            self.datagrams.multicast(self.witnesses(), _KIND, brief)
        message = [
            *header,
            changed,
            *counts,
            self.read_view(),
            self._unreachable_members(),
            uptime_ms,
            self.read_leaving(),
            total,
        ]
        if not self.has_relays():
            self.datagrams.broadcast(_KIND, message)
            return
        self.datagrams.multicast(self.hosts_of_own_domain(), _KIND, message)
        self.datagrams.multicast(self._pick_relays(), _RELAYED_KIND, message)

    def has_relays(self) -> bool:
        """Return whether the fleet is so large that one host serves its domain."""
        return len(self.members) > _MAX_DIRECT_HOSTS and bool(self.domains)

    def hosts_of_own_domain(self) -> list[str]:
        """Return the hosts of this host's failure domain, including this one."""
        own_domain = self.domains.get(self.datagrams.host)
        return [h for h, domain in self.domains.items() if domain == own_domain]

    def _pick_relays(self) -> list[str]:
        """Return a host of each other domain, another one for each message.

        Unreachable hosts are picked only where a domain has no others.
        """
        own_domain = self.domains.get(self.datagrams.host)
        candidates: dict[str, list[str]] = {}
        for host in sorted(self.domains):
            if self.domains[host] != own_domain:
                candidates.setdefault(self.domains[host], []).append(host)
        relays = []
        for hosts in candidates.values():
            reachable = [host for host in hosts if self.is_reachable(host)] or hosts
            turn = zlib.crc32(self.datagrams.host.encode()) + self._number
            relays.append(reachable[turn % len(reachable)])
        return relays

    def _relay_counts(self, host: str, payload: list) -> None:
        """Handle counts, and pass them to the other hosts of this domain."""
        if host not in self.members:
            _log.write("message not relayed", "unknown member", sender=host)
            return
        self._on_counts(host, payload)
        self.datagrams.multicast(self.hosts_of_own_domain(), _KIND, payload, host)

    def _unreachable_members(self) -> bytes:
        bits = 0
        for index, host in enumerate(sorted(self.members)):
            if not self.is_reachable(host, _MISSED_BEFORE_ANNOUNCED):
                bits |= 1 << index
        return bits.to_bytes((bits.bit_length() + 7) // 8, "little")

    def _changed_totals(self, admitted: dict[str, int]) -> dict[str, int]:
        """Return the totals that changed recently, or all in every twentieth message.

        Each change is sent several times, since messages may be lost.
        """
        if _has_all_totals(self._number):
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
        """Remove the calls in flight of hosts that have become unreachable."""
        for host, peer in list(self.peers.items()):
            if peer.in_flight and not self.is_reachable(host):
                self._replace_counts(attrs.evolve(peer, in_flight={}), peer)


def _has_bit(bits: bytes, index: int) -> bool:
    return bool(int.from_bytes(bits, "little") >> index & 1)


def _has_all_totals(message_number: int) -> bool:
    return message_number % _FULL_EVERY_MESSAGES == 1
