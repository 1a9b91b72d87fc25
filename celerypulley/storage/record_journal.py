"""A journal of records on a small disk.

Records are appended to segment files, synced in batches, and removed with their
segment once all of its records have expired. Frames carry their length and a
checksum, so that a truncated file is detected; what follows its last intact frame
was never acknowledged.
"""

import os
import re
import secrets
from collections.abc import Iterator
from pathlib import Path

import attrs

from celerypulley.storage.durable_files import (
    append_durably,
    replace_durably,
    sync_directory,
)
from celerypulley.storage.frames import (
    FRAME_HEADER_BYTES,
    encode_frame,
    intact_frames,
)

__all__ = ["RecordJournal", "RecordPlace"]

_MAX_SEGMENT_BYTES = 8 * 1024 * 1024  # a fiftieth of a disk of 340 to 390 MB
_SEGMENT_SUFFIX = ".records"
_COMPLETE_FILE = "complete"
_IDENTITY_FILE = "disk-id"
_IDENTITY_BYTES = 8


@attrs.frozen
class RecordPlace:
    """Where a record lies on the disk: its segment, and its bytes in that file."""

    segment: int
    offset_bytes: int
    length_bytes: int


@attrs.define
class _Segment:
    path: Path
    number: int
    size: int = 0


class RecordJournal:
    """Segment files in one directory. Calls block until their data is on the disk."""

    def __init__(self, directory: Path) -> None:
        """Use `directory`, which must exist."""
        self.directory = directory
        self._segments: list[_Segment] = []
        self._descriptor: int | None = None

    def read_all(self) -> Iterator[tuple[RecordPlace, bytes]]:
        """Yield each record and its place, oldest first; call this before `append`."""
        for path in sorted(self.directory.glob(f"*{_SEGMENT_SUFFIX}")):
            segment = _Segment(path, int(path.stem))
            self._segments.append(segment)
            raw = path.read_bytes()
            segment.size = len(raw)
            for offset_bytes, record in intact_frames(raw):
                yield RecordPlace(segment.number, offset_bytes, len(record)), record

    def read(self, place: RecordPlace) -> bytes:
        """Return the record at `place`; raise OSError if it can't be read."""
        with self._segment_path(place.segment).open("rb") as file:
            file.seek(place.offset_bytes)
            record = file.read(place.length_bytes)
        if len(record) != place.length_bytes:
            raise OSError(f"segment {place.segment} ends within a record")
        return record

    def disk_id(self) -> str:
        """Return the identity of this disk; draw it durably if there is none."""
        path = self.directory / _IDENTITY_FILE
        try:
            text = path.read_bytes().decode("ascii", "replace")
        except FileNotFoundError:
            text = ""
        if re.fullmatch(rf"[0-9a-f]{{{2 * _IDENTITY_BYTES}}}", text):
            return text
        disk_id = secrets.token_hex(_IDENTITY_BYTES)
        replace_durably(path, disk_id.encode())
        return disk_id

    def is_complete(self) -> bool:
        """Return whether this disk holds every record that it ever acknowledged."""
        return (self.directory / _COMPLETE_FILE).exists()

    def mark_complete(self) -> None:
        """Record durably that this disk holds every record that it acknowledged."""
        path = self.directory / _COMPLETE_FILE
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o644)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        sync_directory(self.directory)

    def append(self, records: list[bytes]) -> list[RecordPlace]:
        """Write records, sync, and return their places."""
        if self._descriptor is None or self._segments[-1].size > _MAX_SEGMENT_BYTES:
            self._open_segment()
        segment = self._segments[-1]
        data = b"".join(map(encode_frame, records))
        assert self._descriptor is not None, "a segment is open"
        try:
            append_durably(self._descriptor, data)
        except OSError:
            # What follows a frame that was cut short would not be read again.
            self._close_segment()
            raise
        places = []
        for each in records:
            offset_bytes = segment.size + FRAME_HEADER_BYTES
            places.append(RecordPlace(segment.number, offset_bytes, len(each)))
            segment.size = offset_bytes + len(each)
        return places

    def drop_unused(self, segments_in_use: set[int]) -> int:
        """Remove the full segments not in `segments_in_use`; return their count."""
        full = self._segments[:-1]
        for segment in full:
            if segment.number not in segments_in_use:
                segment.path.unlink(missing_ok=True)
                self._segments.remove(segment)
        return len(full) + 1 - len(self._segments)

    def _close_segment(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _open_segment(self) -> None:
        self._close_segment()
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._segment_path(number)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)
        os.fsync(self._descriptor)
        sync_directory(self.directory)
        self._segments.append(_Segment(path, number))

    def _segment_path(self, number: int) -> Path:
        return self.directory / f"{number:010}{_SEGMENT_SUFFIX}"
