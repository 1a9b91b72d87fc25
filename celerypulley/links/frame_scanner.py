"""Where the next msgpack object in a buffer ends, found without decoding it.

msgpack's own unpacker allocates a list when its header comes, so that some bytes that
are never followed by others hold as much as a frame.
"""

import struct

from celerypulley.links.codec import CodecError

__all__ = ["FrameScanner"]

_FIXED_BYTES = {0xC0: 0, 0xC2: 0, 0xC3: 0}  # behind the first byte, by its value
_FIXED_BYTES |= {0xCA: 4, 0xCB: 8}  # floats
_FIXED_BYTES |= {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}  # unsigned integers
_FIXED_BYTES |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}  # signed integers
_FIXED_BYTES |= {0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17}  # extensions
_UINT8, _UINT16, _UINT32 = (struct.Struct(each) for each in (">B", ">H", ">I"))
# How the length is encoded, and the bytes beside it and the content.
_SIZED = {0xC4: (_UINT8, 0), 0xC5: (_UINT16, 0), 0xC6: (_UINT32, 0)}  # bytes
_SIZED |= {0xC7: (_UINT8, 1), 0xC8: (_UINT16, 1), 0xC9: (_UINT32, 1)}  # extensions
_SIZED |= {0xD9: (_UINT8, 0), 0xDA: (_UINT16, 0), 0xDB: (_UINT32, 0)}  # texts
# How the number of items is encoded, and the objects of each.
_CONTAINERS = {0xDC: (_UINT16, 1), 0xDD: (_UINT32, 1)}  # lists
_CONTAINERS |= {0xDE: (_UINT16, 2), 0xDF: (_UINT32, 2)}  # maps


class FrameScanner:
    """Find the end of one object after another, each however it is cut into reads.

    `objects` is the number of objects in the current one so far.
    """

    def __init__(self, max_bytes: int, max_objects: int) -> None:
        """Allow an object `max_bytes`, and `max_objects` with those inside it."""
        self.max_bytes = max_bytes
        self.max_objects = max_objects
        self.objects = 1
        self._position = 0
        self._missing = 1  # objects whose first byte has not been scanned

    def restart(self) -> None:
        """Begin with the next object, which is at the start of the buffer."""
        self.objects = 1
        self._position = 0
        self._missing = 1

    def find_end(self, buffer: bytearray) -> int | None:
        """Return the length of the object at the start of `buffer`, None if unfinished.

        Until `restart`, `buffer` may only grow. Raise CodecError if the object exceeds
        a limit or is malformed; containers count by the length that they state.
        """
        available = len(buffer)
        position = self._position
        while self._missing:
            if position >= available:
                self._position = position
                return None
            kind = buffer[position]
            size = 1
            items = 0
            if kind <= 0x7F or kind >= 0xE0:  # small integers
                pass
            elif kind <= 0x8F:
                items = 2 * (kind & 0x0F)
            elif kind <= 0x9F:
                items = kind & 0x0F
            elif kind <= 0xBF:
                size += kind & 0x1F
            elif kind in _FIXED_BYTES:
                size += _FIXED_BYTES[kind]
            else:
                encoding, factor = (
                    _SIZED.get(kind) or _CONTAINERS.get(kind) or (None, 0)
                )
                if encoding is None:
                    raise CodecError(f"byte {kind:#x} begins no msgpack object")
                size += encoding.size
                if position + size > available:
                    self._position = position
                    return None
                (count,) = encoding.unpack_from(buffer, position + 1)
                if kind in _CONTAINERS:
                    items = factor * count
                else:
                    size += factor + count
            position += size
            self._missing += items - 1
            self.objects += items
            if position > self.max_bytes:
                raise CodecError(f"a frame of over {self.max_bytes} bytes")
            if self.objects > self.max_objects:
                raise CodecError(f"a frame of over {self.max_objects} objects")
        self._position = position
        return position if position <= available else None
