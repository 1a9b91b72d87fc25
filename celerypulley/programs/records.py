"""Records: the changes of a shard, in commit order.

An owner sends each record to its replica and applies it once the replica has
acknowledged it. Tokens are generated tokens; times are wall-clock times in ms.
"""

from celerypulley.links.codec import message

__all__ = [
    "BudgetDrawn",
    "CallBegun",
    "CallEnded",
    "CallRemoved",
    "CallSnapshot",
    "ProgramClosed",
    "ProgramOpened",
    "ProgramRemoved",
    "ProgramSnapshot",
    "TurnAbandoned",
    "TurnBegun",
    "TurnCompleted",
]


@message(40)
class ProgramOpened:
    """A program was opened with a budget."""

    program: str
    organisation: str
    budget_tokens: int
    opened_ms: int
    parent: str | None


@message(41)
class TurnBegun:
    """A turn reserved its worst case, before `runner` sends it to an engine."""

    program: str
    turn: int
    reserve_tokens: int
    runner: str


@message(42)
class TurnCompleted:
    """A turn was added to the history and its reservation settled.

    `messages` is the zlib-compressed JSON array of the turn's new messages,
    without its brackets.
    """

    program: str
    turn: int
    request_id: str
    request_digest: bytes
    messages: bytes
    spent_tokens: int
    ended_ms: int


@message(43)
class TurnAbandoned:
    """A turn ended without a response; the tokens it may have used are charged."""

    program: str
    turn: int
    spent_tokens: int


@message(44)
class BudgetDrawn:
    """A sub-agent's budget was taken from the budget of its parent.

    `name` makes the draw idempotent.
    """

    program: str
    name: str
    tokens: int


@message(45)
class ProgramClosed:
    """A program was closed and accepts no further turns."""

    program: str
    closed_ms: int


@message(46)
class ProgramRemoved:
    """A closed program was removed from the shard."""

    program: str


@message(47)
class ProgramSnapshot:
    """The whole state of a program, for a new replica or a shard handback.

    `turns` holds [request_id, request_digest, messages] triples.
    """

    program: str
    organisation: str
    budget_tokens: int
    spent_tokens: int
    reserved_tokens: int
    turns: list
    draws: dict
    opened_ms: int
    last_used_ms: int
    closed_ms: int | None
    parent: str | None
    runner: str


@message(48)
class CallBegun:
    """An at-most-once call is about to be sent."""

    call: str
    fingerprint: bytes
    begun_ms: int


@message(49)
class CallEnded:
    """An at-most-once call ended.

    `state` is "ran", "not-run" or "unknown".
    """

    call: str
    state: str
    status: int
    content_type: str
    body: bytes


@message(50)
class CallRemoved:
    """A call record was removed at the end of its retention period."""

    call: str


@message(51)
class CallSnapshot:
    """The whole state of a call record."""

    call: str
    fingerprint: bytes
    begun_ms: int
    state: str
    status: int
    content_type: str
    body: bytes
