"""A TCP stream of msgpack frames, with simulated cuts and delays for tests."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator

import attrs
import msgpack

from celerypulley.links.codec import CodecError, decode, encode
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_scanner import FrameScanner

__all__ = ["FrameStream", "LinkConditions"]

_READ_BYTES = 256 * 1024
_MAX_FRAME_BYTES = 64 * 1024 * 1024
_MAX_OBJECTS = 1_000_000  # of a frame


@attrs.frozen
class LinkConditions:
    """Simulated faults of a host's links: cuts, and a delay before delivery."""

    cuts: CutTable
    delay_ms: float = 0.0


class FrameStream:
    """Frames in both directions over one connection.

    A frame to or from a peer that is cut off is dropped. A connection that lost a
    frame is closed when the cut ends, since TCP never skips bytes.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conditions: LinkConditions,
        max_objects: int = _MAX_OBJECTS,
    ) -> None:
        """Use an open connection; the handshake sets the names of the peer.

        A frame may consist of `max_objects`, with those inside others.
        """
        self.reader = reader
        self.writer = writer
        self.conditions = conditions
        self.peer_member = ""
        self.peer_names: tuple[str, ...] = ()
        self.sent_bytes = 0
        self.received_bytes = 0
        # Told the size of what has been read and not yet yielded as a frame.
        self.on_buffered: Callable[[int], None] = lambda _count: None
        self.frame_objects = 0  # of the frame that was yielded last
        self._buffer = bytearray()
        self._scanner = FrameScanner(_MAX_FRAME_BYTES, max_objects)
        self._has_lost_frames = False

    def send(self, stream_id: int, message: object) -> None:
        """Write a frame to the send buffer; `drain` applies flow control."""
        if self._drops_frames():
            return
        frame = encode(stream_id, message)
        self.sent_bytes += len(frame)
        self.writer.write(frame)

    async def drain(self) -> None:
        """Wait until the send buffer has room for more frames."""
        await self.writer.drain()

    async def frames(self) -> AsyncIterator[tuple[int, object]]:
        """Yield frames until the connection ends; raise CodecError for a bad one."""
        delay_s = self.conditions.delay_ms / 1000
        while True:
            data = await self.reader.read(_READ_BYTES)
            if not data:
                return
            if self._drops_frames():
                continue
            self.received_bytes += len(data)
            if delay_s:
                await asyncio.sleep(delay_s)
            for frame in self._unpack(data):
                yield decode(frame)

    def _drops_frames(self) -> bool:
        if self.conditions.cuts.is_cut(*self.peer_names):
            self._has_lost_frames = True
            return True
        if self._has_lost_frames:
            self.close()
        return self._has_lost_frames

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def abort(self) -> None:
        """Close the connection at once, and drop what has been read."""
        self._buffer.clear()
        self._scanner.restart()
        self.writer.transport.abort()

    def _unpack(self, data: bytes) -> Iterator[object]:
        """Yield the frames that `data` completes, one after another."""
        self._buffer += data
        while (length := self._scanner.find_end(self._buffer)) is not None:
            try:
                frame = msgpack.unpackb(self._buffer[:length])
            except (msgpack.UnpackException, ValueError) as error:
                raise CodecError(f"malformed msgpack data: {error}") from error
            del self._buffer[:length]
            self.frame_objects = self._scanner.objects
            self._scanner.restart()
            self.on_buffered(len(self._buffer))
            yield frame
        self.on_buffered(len(self._buffer))
