"""A short journal of which only the newest rows are needed, in one file."""

import os
from collections.abc import Iterable
from pathlib import Path

from celerypulley.storage.durable_files import append_durably, replace_durably
from celerypulley.storage.frames import encode_frame, intact_frames

__all__ = ["WindowJournal"]

_FILE = "last-window"
_MAX_GROWTH_BYTES = 256 * 1024


class WindowJournal:
    """Append rows, and replace them by fewer. Calls block until the disk has them."""

    def __init__(self, directory: Path) -> None:
        """Use `directory`, which must exist."""
        self._path = directory / _FILE
        self._descriptor: int | None = None
        self._growth_bytes = 0

    def read(self) -> list[bytes] | None:
        """Return the rows in the file, oldest first, None if there is no file."""
        try:
            raw = self._path.read_bytes()
        except FileNotFoundError:
            return None
        return [row for _, row in intact_frames(raw)]

    def needs_replacement(self) -> bool:
        """Return whether `replace` has to be called before the next `append`."""
        return self._descriptor is None or self._growth_bytes > _MAX_GROWTH_BYTES

    def append(self, row: bytes) -> None:
        """Write a row and sync; raise OSError if it may not be on the disk."""
        assert self._descriptor is not None, "the file has not been replaced"
        frame = encode_frame(row)
        self._growth_bytes += len(frame)
        try:
            append_durably(self._descriptor, frame)
        except OSError:
            # What follows a frame that was cut short would not be read again.
            self.close()
            raise

    def replace(self, rows: Iterable[bytes]) -> None:
        """Replace the file by one with `rows`; raise OSError if the old one stays."""
        self.close()
        replace_durably(self._path, b"".join(map(encode_frame, rows)))
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self._growth_bytes = 0

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
