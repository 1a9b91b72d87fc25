"""Log output that never blocks the event loop.

Lines are collected in a bounded buffer. Lines that exceed it while the pipe is full
are dropped and counted; the count is written once there is room again.
"""

import asyncio
import os

import orjson

__all__ = ["LogStream"]

_BUFFER_BYTES = 256 * 1024  # half a second of output at 1,000 lines/s
_FLUSH_INTERVAL_MS = 50.0  # a tenth of the delay that an operator notices


class LogStream:
    """A line buffer that is written to a file descriptor in batches."""

    def __init__(self, descriptor: int = 1) -> None:
        """Write to `descriptor`, which is made non-blocking."""
        self.descriptor = descriptor
        self.dropped_lines = 0
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._is_flush_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer one line, given without its newline."""
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
        """Write as much as the descriptor accepts without blocking."""
        self._is_flush_scheduled = False
        data = b"".join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        if self.dropped_lines:
            notice = {
                "part": "log",
                "decision": "lines dropped",
                "count": self.dropped_lines,
            }
            data += orjson.dumps(notice) + b"\n"
            self.dropped_lines = 0
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reading end is closed; the process continues without a log.
            return
        if written < len(data):
            self._lines.append(data[written:])
            self._buffered_bytes = len(data) - written
