"""A protocol that reads a bounded part of its connection at a time."""

import asyncio
from collections.abc import Callable

__all__ = ["READ_BYTES", "BoundedReads", "read_buffer"]

READ_BYTES = 16 * 1024
# Shared by all connections, since what is read is passed on before the next read.
read_buffer = memoryview(bytearray(READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Pass on what comes, 16 KB of it in one step of the event loop.

    uvloop reads 256 KB at once, many times before a task can run, so that a crowd of
    connections would bring in more than the host has memory for.
    """

    def __init__(
        self, protocol: asyncio.Protocol, may_read: Callable[[], bool]
    ) -> None:
        """Pass everything to `protocol`.

        `may_read` returns whether it hasn't paused reading itself.
        """
        self._protocol = protocol
        self._may_read = may_read
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Pass on the transport."""
        self._transport = transport
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Pass on that the connection has closed."""
        self._transport = None
        self._protocol.connection_lost(exc)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return read_buffer

    def buffer_updated(self, count: int) -> None:
        """Pass on the bytes that were read, and let tasks run if more may come."""
        self._protocol.data_received(bytes(read_buffer[:count]))
        transport = self._transport
        if count < READ_BYTES or transport is None or transport.is_closing():
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._read_on)

    def _read_on(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing() or not self._may_read():
            return
        transport.resume_reading()

    def eof_received(self) -> bool | None:
        """Pass on that the peer sends no more."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room."""
        self._protocol.resume_writing()
