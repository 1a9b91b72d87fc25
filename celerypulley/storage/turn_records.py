"""Turn records, and for how long the records of a chain are kept.

A turn can be continued as long as all earlier turns of its chain are kept, too. They
lie on disks of which each may hold any part of the chain, so nothing extends them all.
Instead, all records of a chain are written to be kept until the same time. A turn that
needs its history for longer is stored with all of it, and begins a new chain.
"""

import attrs

__all__ = ["TurnRecord", "keep_until_ms", "may_continue_records", "records_of_history"]

# Records are kept for longer than the retention of their turn: by this slack, as clocks
# of hosts differ and readers may be late, and by a time in which the chain goes on.
_SLACK_MS = 30_000.0
_CHAIN_MS = 60_000.0
# Limits how often long histories are written again, at the expense of disk space.
_REWRITTEN_BYTES_PER_S = 4_096.0
_MAX_RECORD_BYTES = 1024 * 1024  # as much as one reply with a chain holds


@attrs.frozen
class TurnRecord:
    """One turn: its input and output, and the key of the turn that it continues.

    If `previous` is empty, `input` is the whole prompt.
    """

    key: str
    kept_until_ms: float
    previous: str
    input: bytes = attrs.field(repr=False)
    output: bytes = attrs.field(repr=False)

    def to_row(self) -> list:
        """Return the record as a list, the form used in messages and on disk."""
        return [self.key, self.kept_until_ms, self.previous, self.input, self.output]

    def size_bytes(self) -> int:
        """Return the size of the input and output."""
        return len(self.input) + len(self.output)

    @classmethod
    def from_row(cls, row: object) -> "TurnRecord":
        """Return the record in a row; raise ValueError if it is invalid."""
        if not isinstance(row, list) or len(row) != 5:
            raise ValueError("record must be a list of five fields")
        key, kept_until_ms, previous, turn_input, output = row
        keys_ok = isinstance(key, str) and isinstance(previous, str)
        bodies_ok = isinstance(turn_input, bytes) and isinstance(output, bytes)
        if not keys_ok or not bodies_ok or not isinstance(kept_until_ms, int | float):
            raise ValueError("record has fields of the wrong type")
        return cls(key, kept_until_ms, previous, turn_input, output)


def keep_until_ms(wall_ms: float, retention_ms: float, history_bytes: int) -> float:
    """Return until when the records of a chain that begins now are to be kept."""
    rewrite_ms = history_bytes / _REWRITTEN_BYTES_PER_S * 1000
    return wall_ms + retention_ms + _SLACK_MS + max(_CHAIN_MS, rewrite_ms)


def may_continue_records(
    kept_until_ms: float, wall_ms: float, retention_ms: float
) -> bool:
    """Return whether records kept until then suffice for a turn that ends now."""
    return kept_until_ms >= wall_ms + retention_ms + _SLACK_MS


def records_of_history(
    key: str, kept_until_ms: float, prompt: bytes, output: bytes
) -> list[TurnRecord]:
    """Return a chain of records with the whole history of a turn.

    All but the last, which has the turn's key, hold a part of the prompt.
    """
    records = []
    previous = ""
    begin = 0
    while len(prompt) - begin > _MAX_RECORD_BYTES:
        end = begin + _MAX_RECORD_BYTES
        # No turn has such a key, since names are quoted in keys.
        part_key = f"{key}#{len(records)}"
        part = prompt[begin:end]
        records.append(TurnRecord(part_key, kept_until_ms, previous, part, b""))
        previous = part_key
        begin = end
    records.append(TurnRecord(key, kept_until_ms, previous, prompt[begin:], output))
    return records
