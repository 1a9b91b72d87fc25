"""The connections of clients: how many are accepted, and when they are overdue."""

import asyncio
import ssl
from contextlib import suppress

from aiohttp import web

from celerypulley.links.bounded_reads import BoundedReads
from celerypulley.links.client_listener import ClientListener
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.client_protocol import ClientProtocol

__all__ = ["ClientConnections"]

_SWEEP_S = 0.5


class ClientConnections:
    """Accept connections on one address, up to a number, and end overdue ones."""

    def __init__(
        self,
        ip: str,
        port: int,
        max_connections: int,
        policy: ClientPolicy,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Listen once `start` is called; further connections wait in the kernel."""
        self.policy = policy
        self.listener = ClientListener(
            ip, port, max_connections, policy.record_accept_error, tls
        )
        self._protocols: set[ClientProtocol] = set()
        self._check: asyncio.Task | None = None

    @property
    def count(self) -> int:
        """Return the number of connections."""
        return len(self._protocols)

    def start(self, server: web.Server) -> None:
        """Open the listening socket for aiohttp's `server`; raise OSError."""
        options = server._kwargs  # as for the protocols that it makes itself
        loop = asyncio.get_running_loop()

        def make_protocol() -> BoundedReads:
            protocol = ClientProtocol(
                self.policy, self._add, self._discard, server, loop=loop, **options
            )
            return BoundedReads(protocol, protocol.may_read)

        self.listener.start(make_protocol)
        self._check = asyncio.create_task(self._end_overdue())

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        await self.listener.stop()

    async def stop(self) -> None:
        """Close the listening socket and end the checks of open connections."""
        await self.listener.stop()
        if self._check is not None:
            self._check.cancel()

    def _add(self, protocol: ClientProtocol) -> None:
        """Count a new connection."""
        self._protocols.add(protocol)

    def _discard(self, protocol: ClientProtocol) -> None:
        """Give back the slot of a closed connection."""
        if protocol in self._protocols:
            self._protocols.discard(protocol)
            self.listener.release()

    async def _end_overdue(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now_ms = self.policy.clock.now_ms()
            is_full = self.listener.is_full
            for protocol in list(self._protocols):
                with suppress(RuntimeError):  # of uvloop, for a closed transport
                    protocol.end_if_overdue(now_ms, is_full)
