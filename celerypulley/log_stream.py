"""Log lines on standard output that never block the event loop.

Lines wait in a bounded buffer. What a full pipe does not take is dropped and
counted, and the count is written once there is room again.
"""

import asyncio
import os

import orjson

__all__ = ["LogStream"]

_BUFFER_BYTES = 256 * 1024  # half a second of lines at a thousand lines a second
_FLUSH_INTERVAL_MS = 50.0  # a tenth of what an on-call engineer would notice


class LogStream:
    """Collect lines and write them in batches to a file descriptor."""

    def __init__(self, descriptor: int = 1) -> None:
        """Write to `descriptor`, which becomes non-blocking."""
        self.descriptor = descriptor
        self.dropped_lines = 0
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._is_flush_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Take one line without its line feed."""
        if self._buffered_bytes + len(line) > _BUFFER_BYTES:
            self.dropped_lines += 1
            return
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(_FLUSH_INTERVAL_MS / 1000, self.flush)

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        self._is_flush_scheduled = False
        data = b"".join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        if self.dropped_lines:
            notice = {
                "part": "log",
                "decision": "lines lost",
                "count": self.dropped_lines,
            }
            data += orjson.dumps(notice) + b"\n"
            self.dropped_lines = 0
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            return
        if written < len(data):
            self._lines.append(data[written:])
            self._buffered_bytes = len(data) - written
