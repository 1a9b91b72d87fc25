"""The server of a storage host, with one task for each connection."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.links.codec import CodecError
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import FrameStream, LinkConditions

__all__ = ["StorageServer"]

_log = DecisionLog("keeper-server")


class StorageServer(Service):
    """Pass each request to a handler and send the reply that it returns."""

    def __init__(
        self, ip: str, port: int, handle: Callable[[object], Awaitable[object]]
    ) -> None:
        """Listen on `ip` and `port`; `handle` returns the reply to a message."""
        super().__init__()
        self.ip = ip
        self.port = port
        self.handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Open the listening socket."""
        self._server = await asyncio.start_server(
            self._serve_connection, self.ip, self.port
        )

    async def on_stop(self) -> None:
        """Close the socket and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        stream = FrameStream(reader, writer, LinkConditions(CutTable()))
        try:
            async for number, message in stream.frames():
                task = asyncio.create_task(self._serve_request(stream, number, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, CodecError) as error:
            _log.write("connection closed", repr(error))
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, stream: FrameStream, number: int, message: object
    ) -> None:
        reply = await self.handle(message)
        try:
            stream.send(number, reply)
            await stream.drain()
        except (OSError, RuntimeError) as error:
            # uvloop raises RuntimeError on a closed transport.
            _log.write("reply not sent", repr(error))
