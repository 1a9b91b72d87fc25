"""The server side of a keeper: one task for each connection."""

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
    """Hand each question to a function and send what it returns."""

    def __init__(
        self, ip: str, port: int, handle: Callable[[object], Awaitable[object]]
    ) -> None:
        """Serve on `ip` and `port`."""
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
            async for number, question in stream.frames():
                task = asyncio.create_task(
                    self._serve_request(stream, number, question)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, CodecError) as error:
            _log.write("connection ended", repr(error))
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
            # uvloop raises RuntimeError on a transport that is closed.
            _log.write("answer not sent", repr(error))
