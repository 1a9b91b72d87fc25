"""A TCP stream of msgpack frames, with simulated cuts and delays for tests."""

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
import msgpack

from celerypulley.links.codec import CodecError, decode, encode
from celerypulley.links.cuts import CutTable

__all__ = ["FrameStream", "LinkConditions"]

_READ_BYTES = 256 * 1024
_MAX_FRAME_BYTES = 64 * 1024 * 1024


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
    ) -> None:
        """Use an open connection; the handshake sets the names of the peer."""
        self.reader = reader
        self.writer = writer
        self.conditions = conditions
        self.peer_member = ""
        self.peer_names: tuple[str, ...] = ()
        self.sent_bytes = 0
        self.received_bytes = 0
        # Told the size of the unfinished frame that has been read.
        self.on_unfinished: Callable[[int], None] = lambda _count: None
        self._unfinished_bytes = 0
        self._has_lost_frames = False
        self._unpacker = msgpack.Unpacker(max_buffer_size=_MAX_FRAME_BYTES)

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
            frames = self._unpack(data)
            self._unfinished_bytes += len(data)
            if frames:
                self._unfinished_bytes = 0
            self.on_unfinished(self._unfinished_bytes)
            for frame in frames:
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

    def _unpack(self, data: bytes) -> list:
        self._unpacker.feed(data)
        try:
            return list(self._unpacker)
        except (msgpack.UnpackException, ValueError) as error:
            raise CodecError(f"malformed msgpack data: {error}") from error
