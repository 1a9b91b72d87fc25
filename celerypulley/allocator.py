"""Settings of the C library's memory allocator."""

import ctypes
from contextlib import suppress

__all__ = ["return_large_blocks"]

_M_MMAP_THRESHOLD = -3  # <malloc.h>
_LARGE_BLOCK_BYTES = 128 * 1024  # glibc's value at the start


def return_large_blocks() -> None:
    """Make glibc return freed blocks of over 128 KB to the system at once.

    By itself, glibc raises that size to the largest block that was freed, and bodies of
    some MB that come side by side then leave gaps in the heap. Other C libraries are
    left as they are.
    """
    with suppress(AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
