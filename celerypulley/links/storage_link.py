"""The connection to one storage host: requests out, replies back."""

import asyncio
from typing import Any

from celerypulley.decision_log import DecisionLog
from celerypulley.links.codec import CodecError
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import FrameStream, LinkConditions

__all__ = ["StorageLink", "StorageLinkError"]

_CONNECT_TIMEOUT_S = 0.25  # as for backend servers: a handshake takes 1 ms
_log = DecisionLog("keeper-link")


class StorageLinkError(Exception):
    """No reply came from a storage host; what was sent may have been stored."""


class StorageLink:
    """One connection, opened on demand, that carries concurrent requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Send requests to the storage host at `address`."""
        self.address = address
        self._stream: FrameStream | None = None
        self._read_task: asyncio.Task | None = None
        self._connect_lock = asyncio.Lock()
        self._last_number = 0
        self._pending: dict[int, asyncio.Future] = {}

    async def request(self, message: object, timeout_ms: float) -> Any:
        """Return the reply to `message`; raise StorageLinkError."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                stream = await self._connect()
                self._last_number += 1
                number = self._last_number
                reply = asyncio.get_running_loop().create_future()
                self._pending[number] = reply
                try:
                    stream.send(number, message)
                    return await reply
                finally:
                    del self._pending[number]
        except TimeoutError:
            # The connection may never deliver anything again, so the next request opens
            # a new one.
            self.close()
            raise StorageLinkError(f"no reply within {timeout_ms:.0f} ms") from None
        except (OSError, RuntimeError) as error:
            # uvloop raises RuntimeError on a closed transport.
            raise StorageLinkError(repr(error)) from error

    async def _connect(self) -> FrameStream:
        async with self._connect_lock:
            if self._stream is not None:
                return self._stream
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
            self._stream = FrameStream(reader, writer, LinkConditions(CutTable()))
            self._read_task = asyncio.create_task(self._read_replies(self._stream))
            return self._stream

    async def _read_replies(self, stream: FrameStream) -> None:
        reason = "the connection was closed"
        try:
            async for number, message in stream.frames():
                reply = self._pending.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(message)
        except (OSError, CodecError) as error:
            reason = repr(error)
        if self._stream is stream:
            self._stream = None
        stream.close()
        for reply in list(self._pending.values()):
            if not reply.done():
                reply.set_exception(ConnectionResetError(reason))

    def close(self) -> None:
        """Close the connection; pending requests fail."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.writer.transport.abort()
