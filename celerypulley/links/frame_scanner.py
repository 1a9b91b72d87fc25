"""Where the next msgpack object in a buffer ends, found without decoding it.

msgpack's own unpacker allocates a list when its header comes, so that some bytes that
are never followed by others hold as much as a frame.
"""

import struct

from celerypulley.links.codec import CodecError

__all__ = ["FrameScanner"]

# The bytes behind the first one, by its value, where that says how many they are.
_FIXED_BYTES = {0xC0: 0, 0xC2: 0, 0xC3: 0}  # nil and booleans
_FIXED_BYTES |= {0xCA: 4, 0xCB: 8}  # floats
_FIXED_BYTES |= {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}  # unsigned integers
_FIXED_BYTES |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}  # signed integers
_FIXED_BYTES |= {0xD4: 2, 0xD5: 3, 0xD6: 5, 0xD7: 9, 0xD8: 17}  # extensions
# How the length is encoded, where it follows the first byte.
_UINT8, _UINT16, _UINT32 = (struct.Struct(each) for each in (">B", ">H", ">I"))
_LENGTHS = {0xC4: _UINT8, 0xC5: _UINT16, 0xC6: _UINT32}  # bytes
_LENGTHS |= {0xC7: _UINT8, 0xC8: _UINT16, 0xC9: _UINT32}  # extensions
_LENGTHS |= {0xD9: _UINT8, 0xDA: _UINT16, 0xDB: _UINT32}  # texts
_LENGTHS |= {0xDC: _UINT16, 0xDD: _UINT32}  # lists
_LENGTHS |= {0xDE: _UINT16, 0xDF: _UINT32}  # maps
_EXTENSIONS = frozenset((0xC7, 0xC8, 0xC9))  # which have a byte for their type
_OBJECTS_PER_ITEM = {0xDC: 1, 0xDD: 1, 0xDE: 2, 0xDF: 2}


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
        while self._missing:
            measured = _measure(buffer, self._position)
            if measured is None:
                return None
            size, items = measured
            self._position += size
            self._missing += items - 1
            self.objects += items
            if self._position > self.max_bytes:
                raise CodecError(f"a frame of over {self.max_bytes} bytes")
            if self.objects > self.max_objects:
                raise CodecError(f"a frame of over {self.max_objects} objects")
        return self._position if self._position <= len(buffer) else None


def _measure(buffer: bytearray, position: int) -> tuple[int, int] | None:
    """Return the bytes of an object, and the number of objects that follow in it.

    None is returned if the bytes that say so have not come.
    """
    if position >= len(buffer):
        return None
    kind = buffer[position]
    if kind <= 0x7F or kind >= 0xE0:  # small integers
        return 1, 0
    if kind <= 0x8F:  # short maps, lists and texts
        return 1, 2 * (kind & 0x0F)
    if kind <= 0x9F:
        return 1, kind & 0x0F
    if kind <= 0xBF:
        return 1 + (kind & 0x1F), 0
    if kind in _FIXED_BYTES:
        return 1 + _FIXED_BYTES[kind], 0
    length = _LENGTHS.get(kind)
    if length is None:
        raise CodecError(f"byte {kind:#x} begins no msgpack object")
    head_bytes = 1 + length.size
    if position + head_bytes > len(buffer):
        return None
    (count,) = length.unpack_from(buffer, position + 1)
    if kind in _OBJECTS_PER_ITEM:
        return head_bytes, _OBJECTS_PER_ITEM[kind] * count
    return head_bytes + count + (kind in _EXTENSIONS), 0
