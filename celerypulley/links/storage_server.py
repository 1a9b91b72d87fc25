"""The server of a storage host, with one task for each connection."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.client_limits.byte_semaphore import ByteSemaphore
from celerypulley.client_limits.memory_account import ClientCharge, Progress
from celerypulley.decision_log import DecisionLog
from celerypulley.links.bounded_reads import BoundedReads
from celerypulley.links.client_listener import ClientListener
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.codec import CodecError
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import FrameStream, LinkConditions
from celerypulley.links.storage_messages import StoreRecords, payload_bytes

__all__ = ["StorageServer"]

_READER_LIMIT_BYTES = 4 * 1024  # reading pauses at twice as much
_BUFFER_COPIES = 2  # a frame is copied when it is decoded
_MAX_OBJECTS = 65_536  # of a request: 10,000 records
_OBJECT_BYTES = 64  # beside its texts
_REPLY_COPIES = 3  # read from disk, decoded, and encoded
_RECORD_COPIES = 2  # received, and encoded for the disk
_TASK_BYTES = 4 * 1024
_WRITES_FRACTION = 0.25  # of the account, for records that are being stored
_log = DecisionLog("keeper-server")


class StorageServer(Service):
    """Pass each request to a handler and send the reply that it returns.

    The requests of a connection are answered one after another, except that records
    are stored side by side.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        max_connections: int,
        policy: ClientPolicy,
        handle: Callable[[object], Awaitable[object]],
        reply_bytes: Callable[[object], int],
    ) -> None:
        """Listen on `ip` and `port`; `handle` returns the reply to a message.

        `reply_bytes` returns how long that reply will be. `policy` limits what at most
        `max_connections` may hold.
        """
        super().__init__()
        self.policy = policy
        self.handle = handle
        self.reply_bytes = reply_bytes
        limit_bytes = int(policy.account.limit_bytes * _WRITES_FRACTION)
        self._writes = ByteSemaphore(limit_bytes)
        self._listener = ClientListener(
            ip, port, max_connections, policy.record_accept_error
        )
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Open the listening socket."""
        loop = asyncio.get_running_loop()

        def make_protocol() -> BoundedReads:
            reader = asyncio.StreamReader(limit=_READER_LIMIT_BYTES, loop=loop)
            protocol = asyncio.StreamReaderProtocol(
                reader, self._serve_connection, loop
            )
            # A reader that has paused itself goes on when its bytes are taken.
            return BoundedReads(protocol, lambda: not reader._paused)

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
        conditions = LinkConditions(CutTable())
        stream = FrameStream(reader, writer, conditions, _MAX_OBJECTS)
        task = asyncio.current_task()
        assert task is not None, "a connection is served inside a task"

        def close() -> None:
            stream.abort()
            task.cancel()

        charge = self.policy.open(close)
        stream.on_buffered = lambda count: self.policy.change(
            charge, body_bytes=_BUFFER_COPIES * count
        )
        try:
            async for number, message in stream.frames():
                if isinstance(message, StoreRecords):
                    await self._start_write(stream, charge, number, message)
                else:
                    await self._reply(stream, charge, number, message)
        except (OSError, RuntimeError, CodecError) as error:
            # uvloop raises RuntimeError on a closed transport.
            _log.write("connection closed", repr(error))
        except asyncio.CancelledError:
            if not charge.is_closed:
                raise
            # The policy has closed this connection, and logged it.
        finally:
            self._writers.discard(writer)
            self.policy.close(charge)
            self._listener.release()
            writer.close()

    async def _reply(
        self, stream: FrameStream, charge: ClientCharge, number: int, message: object
    ) -> None:
        """Send the reply to a request once there is room, and wait until it is taken.

        The next request of the connection is read after that.
        """
        charge.progress = Progress.RUNNING
        await self.policy.reserve(charge, _REPLY_COPIES * self.reply_bytes(message))
        stream.send(number, await self.handle(message))
        charge.progress = Progress.UNTAKEN
        untaken_bytes = stream.writer.transport.get_write_buffer_size()
        self.policy.change(charge, response_bytes=untaken_bytes)
        await stream.drain()
        charge.progress = Progress.INCOMPLETE
        self.policy.change(charge, response_bytes=0)

    async def _start_write(
        self,
        stream: FrameStream,
        charge: ClientCharge,
        number: int,
        message: StoreRecords,
    ) -> None:
        """Begin to store records once replies are taken and there is room for them.

        One sync serves all that are written at a time, so they run side by side.
        """
        await stream.drain()
        held_bytes = _RECORD_COPIES * payload_bytes(message) + _TASK_BYTES
        held_bytes += _OBJECT_BYTES * stream.frame_objects
        self.policy.change(charge, history_bytes=held_bytes)
        await self._writes.acquire(held_bytes)
        self.policy.change(charge, history_bytes=0)
        task = asyncio.create_task(self._write(stream, number, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _task: self._writes.release(held_bytes))

    async def _write(
        self, stream: FrameStream, number: int, message: StoreRecords
    ) -> None:
        reply = await self.handle(message)
        try:
            stream.send(number, reply)
        except (OSError, RuntimeError) as error:
            _log.write("reply not sent", repr(error))
