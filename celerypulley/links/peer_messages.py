"""Messages between hosts. Times are in ms; `shard` is `domain/index`."""

from celerypulley.links.codec import message

__all__ = [
    "Acknowledged",
    "AcquireAllowance",
    "Allowance",
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
    "HandBackRecord",
    "Head",
    "Hello",
    "InstallSnapshot",
    "LoadReports",
    "LoanReply",
    "OpenProgram",
    "OpenPrograms",
    "Ping",
    "Pong",
    "ProgramReport",
    "PromiseReplies",
    "QueryPrograms",
    "QueryTurn",
    "ReadProgram",
    "Refused",
    "RenewPromises",
    "Replicate",
    "RequestLoan",
    "RunCall",
    "RunTurn",
    "TurnState",
    "Welcome",
]


@message(1)
class Challenge:
    """The nonce of the accepting side."""

    nonce: bytes


@message(2)
class Hello:
    """The name of the connecting side, and its proof of the shared secret."""

    member: str
    domain: str
    nonce: bytes
    proof: bytes


@message(3)
class Welcome:
    """The name of the accepting side, and its proof of the shared secret."""

    member: str
    domain: str
    proof: bytes


@message(4)
class Cancel:
    """Cancel the request of this stream; its replies are no longer needed."""


@message(5)
class Ping:
    """Check that the connection still carries frames in both directions."""


@message(6)
class Pong:
    """The reply to a ping."""


@message(10)
class RunTurn:
    """Run one turn of a program at its owner.

    `turn` and `receipt` are what the caller sent; None and "" if it sent nothing.
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
    """Run one non-repeatable call at the owner of its record."""

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
    """Draw the budget of a sub-agent from the budget of its parent."""

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
    """Acquire one request from an organisation's allowance at its meter.

    `domain` and `group` identify the meter.
    """

    organisation: str
    domain: str
    group: int


@message(17)
class RequestLoan:
    """Request that another domain's meter lends its share of a group.

    `lender_domain` is the domain of that meter, `borrower_domain` that of the
    requesting one.
    """

    group: int
    borrower_domain: str
    lender_domain: str
    loan_ms: int


@message(20)
class Replicate:
    """One record of a shard, sent to its replica."""

    shard: str
    epoch: int
    sequence: int
    record: list


@message(21)
class InstallSnapshot:
    """A part of a shard's state, sent to a joining replica.

    `first` and `last` mark the first and the last part; the last one has the
    sequence number.
    """

    shard: str
    epoch: int
    first: bool
    last: bool
    sequence: int
    records: list


@message(22)
class RenewPromises:
    """Request that a replica does not take over these shards for `promise_ms`.

    `items` holds [shard, epoch] pairs. `version` is the configuration version of
    the sender, which the platform confirmed `confirmed_ago_ms` ago (-1: never).
    """

    items: list
    promise_ms: int
    version: int
    confirmed_ago_ms: int


@message(23)
class HandBackRecord:
    """A program or call record that a former owner of the shard still holds."""

    shard: str
    epoch: int
    record: list


@message(25)
class CommitRecord:
    """A record that completes work begun before the shard was handed over."""

    shard: str
    record: list


@message(26)
class QueryPrograms:
    """Request which of these programs are open or may be."""

    programs: list


@message(27)
class OpenPrograms:
    """The requested programs that are open or may be."""

    programs: list


@message(28)
class Committed:
    """The record has become part of the shard's state.

    `receipt` is the program's new receipt, or "" if the record is not of a program.
    """

    receipt: str


@message(29)
class QueryTurn:
    """Request whether the receiving host is running a turn of this program."""

    program: str


@message(18)
class TurnState:
    """Whether the host is running a turn of the requested program."""

    running: bool


@message(24)
class FetchConfiguration:
    """Request the configuration if it is newer than `version`."""

    version: int


@message(19)
class LoadReports:
    """Load reports of engines that the sender read for its failure domain.

    `items` holds [engine, age_ms, running, waiting, prefill_tokens,
    cached_tokens, memory_tokens] lists. There is no reply.
    """

    items: list


@message(30)
class Head:
    """The status and headers of a response."""

    status: int
    headers: dict


@message(31)
class Chunk:
    """A part of the body of a response."""

    data: bytes


@message(32)
class End:
    """The response is complete."""


@message(33)
class Refused:
    """The request was refused."""

    kind: str
    detail: str
    run: str
    retry_after_s: int | None


@message(34)
class Acknowledged:
    """A replica's reply: "ok", "stale", "gap", "invalid" or "not-holding"."""

    state: str
    epoch: int


@message(35)
class PromiseReplies:
    """A replica's reply to each requested promise, as states in the same order.

    `version` and `confirmed_ago_ms` are those of the replica, as in RenewPromises.
    """

    states: list
    version: int
    confirmed_ago_ms: int


@message(36)
class Allowance:
    """Whether a meter allows a request.

    `redirect_domain` is the domain whose meter decides instead, or "". `wait_ms` is
    the time until the next request is allowed.
    """

    granted: bool
    redirect_domain: str
    wait_ms: float


@message(37)
class LoanReply:
    """Whether the lender granted the loan, which it cannot end before it expires."""

    accepted: bool


@message(38)
class ProgramReport:
    """A report of a program as JSON."""

    report: bytes


@message(39)
class ConfigurationContent:
    """A head and its chunks; `head` is empty if there is no newer version."""

    head: bytes
    chunks: dict
