"""The turns that this host is running, whoever owns their shards by now."""

from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["RunningTurns"]


class RunningTurns:
    """Programs with a turn under way on this host."""

    def __init__(self) -> None:
        """Start with none."""
        self._programs: set[str] = set()

    @contextmanager
    def track(self, program: str) -> Iterator[None]:
        """Count a program's turn as running within the block."""
        self._programs.add(program)
        try:
            yield
        finally:
            self._programs.discard(program)

    def is_running(self, program: str) -> bool:
        """Return whether a turn of the program is under way here."""
        return program in self._programs
