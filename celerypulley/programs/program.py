"""Programs with their history and budget, and records of at-most-once calls."""

import hashlib
import zlib

import attrs

__all__ = [
    "CallRecord",
    "CallState",
    "Program",
    "Turn",
    "compress_messages",
    "extend_history_digest",
]

_DIGEST_CHARS = 16
_COMPRESSION_LEVEL = 1


class CallState:
    """The states of an at-most-once call."""

    BEGUN = "begun"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class Turn:
    """One turn of a history: request, request digest and zlib-compressed messages."""

    request_id: str
    request_digest: bytes
    compressed_messages: bytes


@attrs.define(slots=True)
class Program:
    """The state of one program, identical on owner and replica.

    Budgets are in generated tokens. `draws` maps the names of sub-agents to the
    tokens taken from the budget for them. `runner` is the member that runs the
    latest turn.
    """

    program_id: str
    organisation: str
    budget_tokens: int
    opened_ms: int
    parent: str | None
    spent_tokens: int = 0
    reserved_tokens: int = 0
    turns: list[Turn] = attrs.Factory(list)
    draws: dict[str, int] = attrs.Factory(dict)
    last_used_ms: int = 0
    closed_ms: int | None = None
    runner: str = ""
    chain_digest: bytes = b""

    @property
    def turn_count(self) -> int:
        """Return the number of turns in the history."""
        return len(self.turns)

    @property
    def remaining_tokens(self) -> int:
        """Return the tokens that are neither spent nor reserved."""
        return self.budget_tokens - self.spent_tokens - self.reserved_tokens

    @property
    def digest(self) -> str:
        """Return a digest of the whole history."""
        return self.chain_digest.hex()[:_DIGEST_CHARS]

    @property
    def receipt(self) -> str:
        """Return the receipt that identifies the history which a caller received."""
        return f"{self.turn_count}.{self.digest}"

    def add_turn(self, turn: Turn) -> None:
        """Append a turn to the history."""
        self.turns.append(turn)
        self.chain_digest = extend_history_digest(self.chain_digest, turn)

    def last_turn_json(self) -> bytes:
        """Return the last turn's messages as a JSON array without brackets."""
        return zlib.decompress(self.turns[-1].compressed_messages)

    def history_json(self) -> bytes:
        """Return the history as a JSON array without brackets."""
        return b",".join(
            zlib.decompress(turn.compressed_messages) for turn in self.turns
        )


@attrs.define(slots=True)
class CallRecord:
    """The state and stored response of one at-most-once call."""

    call_id: str
    fingerprint: bytes
    begun_ms: int
    state: str = CallState.BEGUN
    status: int = 0
    content_type: str = ""
    body: bytes = b""


def compress_messages(messages_json: bytes) -> bytes:
    """Return a turn's messages in their stored, compressed form."""
    return zlib.compress(messages_json, _COMPRESSION_LEVEL)


def extend_history_digest(previous_digest: bytes, turn: Turn) -> bytes:
    """Return the digest of a history extended by one turn."""
    return hashlib.sha256(
        previous_digest + turn.request_digest + turn.compressed_messages
    ).digest()
