"""What hosts tell each other: counts, by datagrams that may be lost.

Every message repeats totals, so the newest one says all. Nothing that must last is
told this way.
"""

import asyncio
import random
import secrets
from collections.abc import Callable

import attrs
import msgpack
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.hosts.fleet_members import FleetMembers

__all__ = ["FleetGossip", "PeerCounts"]

# Hosts spend a tenth of the quota window's slack in the time between two messages.
_PERIOD_MS = 100.0
_PERIOD_MS_PER_PEER = 3.0  # larger fleets speak less often: messages grow with n
_FORM = 1
_log = DecisionLog("gossip")


@attrs.frozen
class PeerCounts:
    """The newest message of one start of a host.

    `admitted` are totals since its start by organisation, `in_flight` its calls
    under way by server, `strikes` its lost servers by request fingerprint.
    """

    host: str
    start: str
    number: int
    heard_ms: float
    admitted: dict[str, int] = attrs.Factory(dict)
    in_flight: dict[str, int] = attrs.Factory(dict)
    strikes: dict[str, int] = attrs.Factory(dict)


class FleetGossip(Service, asyncio.DatagramProtocol):
    """Send this host's counts to every member, and keep the newest of each."""

    def __init__(
        self,
        host: str,
        ip: str,
        port: int,
        members: FleetMembers,
        read_own: Callable[[], tuple[dict, dict, dict]],
        clock: Clock,
    ) -> None:
        """Send `read_own()`: admitted, in flight and strikes."""
        super().__init__()
        self.host = host
        self.ip = ip
        self.port = port
        self.members = members
        self.read_own = read_own
        self.clock = clock
        self.start_name = secrets.token_hex(4)
        self.peers: dict[str, PeerCounts] = {}
        self.on_message: list[Callable[[PeerCounts, PeerCounts | None], None]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._number = 0

    def period_ms(self) -> float:
        """Return the time between two messages."""
        return max(_PERIOD_MS, _PERIOD_MS_PER_PEER * len(self.members.addresses))

    def heard_lately(self, host: str) -> bool:
        """Return whether at most five messages in a row of a host are missing."""
        peer = self.peers.get(host)
        if peer is None:
            return False
        return self.clock.now_ms() - peer.heard_ms < 6 * self.period_ms()

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Nothing to do: the socket closes with the process."""

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take a message in; one that cannot be read is dropped with a line."""
        try:
            form, host, start, number, admitted, in_flight, strikes = msgpack.unpackb(
                data
            )
        except (ValueError, msgpack.UnpackException) as error:
            _log.write("dropped", f"unreadable: {error}", sender=addr[0])
            return
        if form != _FORM or host == self.host:
            return
        known = self.peers.get(host)
        if known is not None and known.start == start and number <= known.number:
            return
        peer = PeerCounts(
            host, start, number, self.clock.now_ms(), admitted, in_flight, strikes
        )
        self._replace(peer, known)

    def _replace(self, peer: PeerCounts, known: PeerCounts | None) -> None:
        self.peers[peer.host] = peer
        for listener in self.on_message:
            listener(peer, known)

    def error_received(self, exc: Exception) -> None:
        """Nothing to do: a host that is down is noticed by its silence."""

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.period_ms() * random.uniform(0.9, 1.1) / 1000)
            self._forget_silent()
            if self._transport is None:
                continue
            self._number += 1
            message = msgpack.packb(
                (_FORM, self.host, self.start_name, self._number, *self.read_own())
            )
            for host, address in self.members.addresses.items():
                if host != self.host:
                    self._transport.sendto(message, address)

    def _forget_silent(self) -> None:
        """Count no calls for a host that is not heard any more."""
        for host, peer in list(self.peers.items()):
            if peer.in_flight and not self.heard_lately(host):
                self._replace(attrs.evolve(peer, in_flight={}), peer)
