"""The record of a run as its clients saw it, in the order in which attempts ended."""

import enum
from pathlib import Path

import attrs
import orjson

__all__ = ["Ledger", "Operation", "Outcome"]


class Outcome(enum.Enum):
    """How an attempt of an operation ended for its caller."""

    OK = "ok"
    REPLAYED = "replayed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class Operation:
    """One attempt of an operation; its times are in ms on the clock of the run."""

    kind: str
    organisation: str
    program: str
    name: str
    begun_ms: float
    ended_ms: float
    outcome: str
    error: str
    detail: str


class Ledger:
    """The attempts, latencies and violated promises of a run."""

    def __init__(self) -> None:
        """Start empty."""
        self.operations: list[Operation] = []
        self.violations: list[str] = []
        self.program_latencies_ms: dict[str, list[float]] = {}
        self.first_token_latencies_ms: list[float] = []
        self.token_gaps_ms: list[float] = []
        self.turn_latencies_ms: list[tuple[str, float]] = []
        self.finished_programs = 0
        self.unfinished_programs = 0
        self.acknowledged_turns = 0

    def add(self, operation: Operation) -> None:
        """Record an attempt."""
        self.operations.append(operation)

    def add_violation(self, promise: str, detail: str) -> None:
        """Record the violation of a promise."""
        self.violations.append(f"{promise}: {detail}")

    def count_outcome(self, outcome: Outcome) -> int:
        """Return the number of attempts with an outcome."""
        return sum(each.outcome == outcome.value for each in self.operations)

    def error_counts(self) -> dict[str, int]:
        """Return the number of attempts for each error kind."""
        counts: dict[str, int] = {}
        for each in self.operations:
            if each.error:
                counts[each.error] = counts.get(each.error, 0) + 1
        return counts

    def save(self, path: Path) -> None:
        """Write the attempts to a file, one JSON object a line."""
        lines = [orjson.dumps(attrs.asdict(each)) for each in self.operations]
        path.write_bytes(b"\n".join(lines) + b"\n")
