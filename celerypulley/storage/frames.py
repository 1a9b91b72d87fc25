"""Frames of an append-only file, with their length and a checksum.

What follows the last intact frame of a file was cut short while it was written.
"""

import struct
import zlib
from collections.abc import Iterator

__all__ = ["FRAME_HEADER_BYTES", "encode_frame", "intact_frames"]

_HEADER = struct.Struct("<II")
_MAX_FRAME_BYTES = 16 * 1024 * 1024
FRAME_HEADER_BYTES = _HEADER.size


def encode_frame(content: bytes) -> bytes:
    """Return the frame of a content."""
    return _HEADER.pack(len(content), zlib.crc32(content)) + content


def intact_frames(raw: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield offset and content of the frames up to the first that isn't intact."""
    position = 0
    while position + _HEADER.size <= len(raw):
        length, checksum = _HEADER.unpack_from(raw, position)
        begin = position + _HEADER.size
        content = raw[begin : begin + length]
        is_intact = 0 < length <= _MAX_FRAME_BYTES and len(content) == length
        if not is_intact or zlib.crc32(content) != checksum:
            return
        yield begin, content
        position = begin + length
