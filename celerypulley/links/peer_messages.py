"""Messages between hosts. Times are in ms; `shard` is `domain/index`."""

from celerypulley.links.codec import message

__all__ = [
    "Acknowledged",
    "Allowance",
    "QueryPrograms",
    "QueryTurn",
    "Cancel",
    "Challenge",
    "Chunk",
    "CloseProgram",
    "CommitRecord",
    "Committed",
    "ConfigurationContent",
    "DrawBudget",
    "End",
    "FetchConfiguration",
    "Head",
    "Hello",
    "InstallSnapshot",
    "RequestLoan",
    "LoanReply",
    "OpenPrograms",
    "LoadReports",
    "OpenProgram",
    "Ping",
    "Pong",
    "PromiseReplies",
    "ProgramReport",
    "ReadProgram",
    "Refused",
    "RenewPromises",
    "Replicate",
    "HandBackRecord",
    "RunCall",
    "RunTurn",
    "AcquireAllowance",
    "TurnState",
    "Welcome",
]


@message(1)
class Challenge:
    """The accepting side's nonce."""

    nonce: bytes


@message(2)
class Hello:
    """The connecting side's name and its proof of the shared secret."""

    member: str
    domain: str
    nonce: bytes
    proof: bytes


@message(3)
class Welcome:
    """The accepting side's name and its proof of the shared secret."""

    member: str
    domain: str
    proof: bytes


@message(4)
class Cancel:
    """The caller of this stream has gone."""


@message(5)
class Ping:
    """Ask whether the connection still carries frames both ways."""


@message(6)
class Pong:
    """The connection carries frames both ways."""


@message(10)
class RunTurn:
    """Run one turn of a program at its owner.

    `turn` and `receipt` are what the caller showed, if anything.
    """

    program: str
    organisation: str
    turn: int | None
    receipt: str
    stream: bool
    body: bytes
    request_id: str


@message(11)
class RunCall:
    """Run one call that may not be repeated at the owner of its record."""

    shard: str
    call: str
    organisation: str
    route: str
    program: str
    path: str
    content_type: str
    body: bytes
    request_id: str


@message(12)
class OpenProgram:
    """Open a program at the receiving host."""

    organisation: str
    budget_tokens: int
    parent: str


@message(13)
class DrawBudget:
    """Take a sub-agent's budget from its parent's."""

    program: str
    organisation: str
    name: str
    tokens: int


@message(14)
class ReadProgram:
    """Read a program's history and budget."""

    program: str
    organisation: str


@message(15)
class CloseProgram:
    """Close a program."""

    program: str
    organisation: str


@message(16)
class AcquireAllowance:
    """Take one request out of an organisation's allowance at its meter.

    `domain` is the domain whose meter group is meant.
    """

    organisation: str
    domain: str
    group: int


@message(17)
class RequestLoan:
    """Lend a domain's share of a meter group to the receiving meter."""

    group: int
    borrower_domain: str
    lender: str
    loan_ms: int


@message(20)
class Replicate:
    """One record of a shard, for its replica."""

    shard: str
    epoch: int
    sequence: int
    record: list


@message(21)
class InstallSnapshot:
    """A part of a shard's state for a joining replica.

    The first part has `first`, the last one `last` with the sequence number.
    """

    shard: str
    epoch: int
    first: bool
    last: bool
    sequence: int
    records: list


@message(22)
class RenewPromises:
    """Ask a replica not to take over these shards for a while.

    `items` holds [shard, epoch] pairs. The sender also says which
    configuration version it has and how long ago the platform confirmed it.
    """

    items: list
    promise_ms: int
    version: int
    confirmed_ago_ms: int


@message(23)
class HandBackRecord:
    """A program or call record that its former owner still holds."""

    shard: str
    epoch: int
    record: list


@message(25)
class CommitRecord:
    """A record that ends work which began before the shard was handed over."""

    shard: str
    record: list


@message(26)
class QueryPrograms:
    """Ask which of these programs are open or may be."""

    programs: list


@message(27)
class OpenPrograms:
    """The programs, of those asked, that are open or may be."""

    programs: list


@message(28)
class Committed:
    """The record is part of the shard's state.

    `receipt` is the program's receipt afterwards, empty for other records.
    """

    receipt: str


@message(29)
class QueryTurn:
    """Ask whether a turn of this program is under way at the receiving host."""

    program: str


@message(18)
class TurnState:
    """Whether a turn of the asked program is under way."""

    running: bool


@message(24)
class FetchConfiguration:
    """Ask for the configuration if it is newer than `version`."""

    version: int


@message(19)
class LoadReports:
    """Reports of engines that the sender read for its failure domain.

    `items` holds [engine, age_ms, running, waiting, prefill_tokens,
    cached_tokens, memory_tokens] lists. No reply is due.
    """

    items: list


@message(30)
class Head:
    """The start of an answer."""

    status: int
    headers: dict


@message(31)
class Chunk:
    """A part of an answer's body."""

    data: bytes


@message(32)
class End:
    """The whole answer has been sent."""


@message(33)
class Refused:
    """The answer is a refusal."""

    kind: str
    detail: str
    run: str
    retry_after_s: int | None


@message(34)
class Acknowledged:
    """A replica's answer: "ok", "stale", "gap" or "not-holding"."""

    state: str
    epoch: int


@message(35)
class PromiseReplies:
    """A replica's answers to each asked promise, in order, as states."""

    states: list
    version: int
    confirmed_ago_ms: int


@message(36)
class Allowance:
    """Whether a request may go on, or which domain's meter to ask instead.

    `wait_ms` is the time until one request is allowed again.
    """

    granted: bool
    redirect_domain: str
    wait_ms: float


@message(37)
class LoanReply:
    """The loan is taken until the lender's time runs out."""

    accepted: bool


@message(38)
class ProgramReport:
    """A program as JSON."""

    report: bytes


@message(39)
class ConfigurationContent:
    """A head and its chunks; `head` is empty where nothing newer is known."""

    head: bytes
    chunks: dict
