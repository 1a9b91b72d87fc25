"""The server of a storage host, with one task for each connection."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.links.client_listener import ClientListener
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.codec import CodecError
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import FrameStream, LinkConditions

__all__ = ["StorageServer"]

_BUFFER_FACTOR = 2  # msgpack's buffer grows by doubling
_log = DecisionLog("keeper-server")


class StorageServer(Service):
    """Pass each request to a handler and send the reply that it returns."""

    def __init__(
        self,
        ip: str,
        port: int,
        max_connections: int,
        policy: ClientPolicy,
        handle: Callable[[object], Awaitable[object]],
    ) -> None:
        """Listen on `ip` and `port`; `handle` returns the reply to a message.

        `policy` limits what at most `max_connections` may hold.
        """
        super().__init__()
        self.policy = policy
        self.handle = handle
        self._listener = ClientListener(
            ip, port, max_connections, policy.record_accept_error
        )
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Open the listening socket."""
        loop = asyncio.get_running_loop()

        def make_protocol() -> asyncio.Protocol:
            reader = asyncio.StreamReader(loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve_connection, loop)

        self._listener.start(make_protocol)

    async def on_stop(self) -> None:
        """Close the socket and every connection."""
        await self._listener.stop()
        for writer in list(self._writers):
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        stream = FrameStream(reader, writer, LinkConditions(CutTable()))
        charge = self.policy.open(writer.transport.abort)
        stream.on_unfinished = lambda count: self.policy.change(
            charge, body_bytes=_BUFFER_FACTOR * count
        )
        try:
            async for number, message in stream.frames():
                task = asyncio.create_task(self._serve_request(stream, number, message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (OSError, CodecError) as error:
            _log.write("connection closed", repr(error))
        finally:
            self._writers.discard(writer)
            self.policy.close(charge)
            self._listener.release()
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
