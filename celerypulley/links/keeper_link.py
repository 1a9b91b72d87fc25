"""The connection to one keeper of records: questions out, answers back."""

import asyncio
from typing import Any

from celerypulley.decision_log import DecisionLog
from celerypulley.links.codec import CodecError
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import FrameStream, LinkConditions

__all__ = ["KeeperLink", "KeeperLinkError"]

_CONNECT_TIMEOUT_S = 0.25  # as for servers: a handshake takes a millisecond
_log = DecisionLog("keeper-link")


class KeeperLinkError(Exception):
    """No answer came from a keeper; what was sent may have been kept."""


class KeeperLink:
    """One connection, opened when it is needed, with many questions under way."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Ask the keeper at `address`."""
        self.address = address
        self._stream: FrameStream | None = None
        self._reader: asyncio.Task | None = None
        self._opening = asyncio.Lock()
        self._number = 0
        self._waiting: dict[int, asyncio.Future] = {}

    async def ask(self, question: object, timeout_ms: float) -> Any:
        """Return the answer; raise KeeperLinkError."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                stream = await self._open()
                self._number += 1
                number = self._number
                reply = asyncio.get_running_loop().create_future()
                self._waiting[number] = reply
                try:
                    stream.send(number, question)
                    return await reply
                finally:
                    del self._waiting[number]
        except TimeoutError:
            # The connection may have gone silent for good.
            self.close()
            raise KeeperLinkError(f"no answer within {timeout_ms:.0f} ms") from None
        except (OSError, RuntimeError) as error:
            # uvloop raises RuntimeError on a transport that is closed.
            raise KeeperLinkError(repr(error)) from error

    async def _open(self) -> FrameStream:
        async with self._opening:
            if self._stream is not None:
                return self._stream
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
            self._stream = FrameStream(reader, writer, LinkConditions(CutTable()))
            self._reader = asyncio.create_task(self._read(self._stream))
            return self._stream

    async def _read(self, stream: FrameStream) -> None:
        reason = "the connection ended"
        try:
            async for number, answer in stream.frames():
                reply = self._waiting.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(answer)
        except (OSError, CodecError) as error:
            reason = repr(error)
        if self._stream is stream:
            self._stream = None
        stream.close()
        for reply in list(self._waiting.values()):
            if not reply.done():
                reply.set_exception(ConnectionResetError(reason))

    def close(self) -> None:
        """Close the connection; questions under way fail."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.writer.transport.abort()
