"""File operations that return once their effect outlasts a loss of power."""

import os
from pathlib import Path

__all__ = ["append_durably", "replace_durably", "sync_directory"]


def append_durably(descriptor: int, data: bytes) -> None:
    """Write all of `data` and sync; raise OSError if it may be there in part."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
    os.fdatasync(descriptor)


def replace_durably(path: Path, data: bytes) -> None:
    """Replace a file in one step; raise OSError if the former one may remain."""
    draft = path.with_suffix(".new")
    with draft.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    draft.replace(path)
    sync_directory(path.parent)


def sync_directory(directory: Path) -> None:
    """Make the names of new, renamed and removed files in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
