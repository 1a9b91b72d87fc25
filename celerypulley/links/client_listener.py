"""A listening socket that accepts up to a number of connections."""

import asyncio
import socket
import ssl
from collections.abc import Callable

__all__ = ["ClientListener"]

_LISTEN_BACKLOG = 1_024  # a dropped SYN delays its sender by seconds
_ACCEPT_RETRY_S = 0.1  # while the process has no descriptors left


class ClientListener:
    """Accept connections while fewer than `max_connections` are open.

    Others wait in the kernel. asyncio's and aiohttp's own servers can only stop to
    accept by closing the socket, which resets the connections that wait.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        max_connections: int,
        on_error: Callable[[OSError], None],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Listen once `start` is called; `on_error` is told why accepting failed."""
        self.ip = ip
        self.port = port
        self.on_error = on_error
        self.tls = tls
        self._slots = asyncio.Semaphore(max_connections)
        self._socket: socket.socket | None = None
        self._task: asyncio.Task | None = None

    @property
    def is_full(self) -> bool:
        """Return whether connections may be waiting to be accepted."""
        return self._slots.locked()

    def start(self, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Open the socket; raise OSError if the address is in use.

        Each connection gets a protocol of its own, and `release` when it has closed.
        """
        self._socket = socket.create_server(
            (self.ip, self.port),
            family=socket.AF_INET6 if ":" in self.ip else socket.AF_INET,
            backlog=_LISTEN_BACKLOG,
        )
        self._socket.setblocking(False)
        self._task = asyncio.create_task(self._accept(self._socket, make_protocol))

    def release(self) -> None:
        """Give back the slot of a connection that has closed."""
        self._slots.release()

    async def stop(self) -> None:
        """Close the socket; open connections go on."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
            self._task = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _accept(
        self, listener: socket.socket, make_protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._slots.acquire()
            try:
                client, _ = await loop.sock_accept(listener)
            except OSError as error:
                self._slots.release()
                self.on_error(error)
                await asyncio.sleep(_ACCEPT_RETRY_S)
                continue
            try:
                await loop.connect_accepted_socket(make_protocol, client, ssl=self.tls)
            except OSError as error:
                self._slots.release()
                client.close()
                self.on_error(error)
