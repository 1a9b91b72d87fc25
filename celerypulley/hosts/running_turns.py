"""The turns that run on this host, even if another host owns their shards by now."""

from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["RunningTurns"]


class RunningTurns:
    """Programs with a turn in progress on this host."""

    def __init__(self) -> None:
        """Start without running turns."""
        self._programs: set[str] = set()

    @contextmanager
    def track(self, program: str) -> Iterator[None]:
        """Count a program's turn as running within the `with` block."""
        self._programs.add(program)
        try:
            yield
        finally:
            self._programs.discard(program)

    def is_running(self, program: str) -> bool:
        """Return whether a turn of the program is in progress on this host."""
        return program in self._programs
