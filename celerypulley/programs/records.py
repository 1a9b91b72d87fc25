"""Records: the changes of a shard, in the order in which they are committed.

An owner sends each record to its replica and applies it when the replica has
acknowledged it. Tokens are generated tokens; times are wall time in ms.
"""

from celerypulley.links.codec import message

__all__ = [
    "BudgetDrawn",
    "CallBegun",
    "CallEnded",
    "CallRemoved",
    "CallSnapshot",
    "ProgramClosed",
    "ProgramRemoved",
    "ProgramSnapshot",
    "ProgramOpened",
    "TurnAbandoned",
    "TurnBegun",
    "TurnCompleted",
]


@message(40)
class ProgramOpened:
    """A program begins with a budget."""

    program: str
    organisation: str
    budget_tokens: int
    opened_ms: int
    parent: str | None


@message(41)
class TurnBegun:
    """A turn reserves its worst case before `runner` sends it to an engine."""

    program: str
    turn: int
    reserve_tokens: int
    runner: str


@message(42)
class TurnCompleted:
    """A turn is part of the history; its reserve is settled.

    `messages` is the zlib-compressed JSON of the turn's new messages, without
    the enclosing brackets.
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
    """A turn ended without an answer; what it may have used is charged."""

    program: str
    turn: int
    spent_tokens: int


@message(44)
class BudgetDrawn:
    """A sub-agent's budget is taken from its parent's.

    `name` makes the draw idempotent.
    """

    program: str
    name: str
    tokens: int


@message(45)
class ProgramClosed:
    """A program takes no further turns."""

    program: str
    closed_ms: int


@message(46)
class ProgramRemoved:
    """A closed program's record is dropped."""

    program: str


@message(47)
class ProgramSnapshot:
    """A whole program, for a new replica or a returned shard.

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
    """A call that may not be repeated is about to be sent."""

    call: str
    fingerprint: bytes
    begun_ms: int


@message(49)
class CallEnded:
    """How a call that may not be repeated ended.

    `state` is "ran", "not-run" or "unknown".
    """

    call: str
    state: str
    status: int
    content_type: str
    body: bytes


@message(50)
class CallRemoved:
    """A call's record has outlived its retention."""

    call: str


@message(51)
class CallSnapshot:
    """A whole call record."""

    call: str
    fingerprint: bytes
    begun_ms: int
    state: str
    status: int
    content_type: str
    body: bytes
