"""Opening, reading and closing programs at their owner, and budgets of sub-agents."""

import orjson

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal, RunState
from celerypulley.hosts.cache_release import CacheRelease
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.program_rules import (
    find_program,
    parse_program_id,
    require_configuration,
)
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shards import Shards
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import (
    CloseProgram,
    DrawBudget,
    OpenProgram,
    ProgramReport,
    ReadProgram,
    Refused,
)
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import Program
from celerypulley.programs.records import BudgetDrawn, ProgramClosed, ProgramOpened

__all__ = ["ProgramManager", "decode_refusal"]

_DRAW_TIMEOUT_MS = 10_000.0
_log = DecisionLog("program")


def decode_refusal(message: Refused) -> Refusal:
    """Return the refusal that a peer sent."""
    return Refusal(
        ErrorKind(message.kind),
        message.detail,
        RunState(message.run),
        message.retry_after_s,
    )


class ProgramManager:
    """Open, read and close the programs that this host owns."""

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        configuration: ConfigurationFollower,
        locks: ProgramLocks,
        committer: RecordCommitter,
        cache_release: CacheRelease,
        clock: Clock,
    ) -> None:
        """Manage the programs of `shards`; `cache_release` releases their caches."""
        self.committer = committer
        self.cache_release = cache_release
        self.shards = shards
        self.peers = peers
        self.configuration = configuration
        self.locks = locks
        self.clock = clock

    async def open(self, message: OpenProgram) -> ProgramReport:
        """Open a program on a shard of this host; raise CallRefusedError."""
        owner = self.shards.shard_for_new_program()
        if owner is None:
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE, "no shard of this host can commit now"
            )
        limits = require_configuration(self.configuration).organisation_limits(
            message.organisation
        )
        budget = limits.program_budget_tokens
        if message.budget_tokens:
            budget = min(budget, message.budget_tokens)
        program_id = ProgramId.new(owner.state.shard, owner.entry.epoch)
        if message.parent:
            await self._draw_from_parent(message, str(program_id), budget)
        await owner.commit(
            ProgramOpened(
                str(program_id),
                message.organisation,
                budget,
                self.clock.wall_ms(),
                message.parent or None,
            )
        )
        _log.write(
            f"opened {program_id}",
            "this host's shard with the fewest programs",
            organisation=message.organisation,
            budget_tokens=budget,
        )
        return ProgramReport(program_json(owner.state.programs[str(program_id)]))

    async def _draw_from_parent(
        self, message: OpenProgram, child: str, tokens: int
    ) -> None:
        parent = ProgramId.parse(message.parent)
        draw = DrawBudget(message.parent, message.organisation, child, tokens)
        owner = self.shards.owner_of(parent.shard)
        if owner == self.shards.own_member.name:
            await self.draw_budget(draw)
            return
        if owner is None:
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE,
                f"there is no owner of shard {parent.shard}",
            )
        try:
            reply = await self.peers.request(owner, draw, _DRAW_TIMEOUT_MS)
        except PeerLinkError as error:
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE, f"the owner of the parent program: {error}"
            ) from None
        if isinstance(reply, Refused):
            raise CallRefusedError(decode_refusal(reply))

    async def draw_budget(self, message: DrawBudget) -> ProgramReport:
        """Draw a sub-agent's budget from its parent program; raise CallRefusedError.

        A repeated request draws the budget only once.
        """
        program_id = parse_program_id(message.program)
        owner = self.shards.require_owned(program_id.shard)
        program = find_program(owner, program_id, message.organisation)
        if program.closed_ms is not None:
            raise CallRefusedError.of(
                ErrorKind.PROGRAM_CLOSED, f"{program_id} is closed"
            )
        if message.name in program.draws:
            return ProgramReport(program_json(program))
        await owner.build_and_commit(lambda: _build_budget_drawn(program, message))
        return ProgramReport(program_json(program))

    async def read(self, message: ReadProgram) -> ProgramReport:
        """Return a program with its messages; raise CallRefusedError."""
        program_id = parse_program_id(message.program)
        owner = self.shards.require_owned(program_id.shard)
        program = find_program(owner, program_id, message.organisation)
        return ProgramReport(program_json(program, with_messages=True))

    async def close(self, message: CloseProgram) -> ProgramReport:
        """Close a program once its current turn has ended; raise CallRefusedError."""
        program_id = parse_program_id(message.program)
        async with self.locks.lock(message.program):
            owner = self.shards.require_owned(program_id.shard)
            program = find_program(owner, program_id, message.organisation)
            if program.closed_ms is None:
                await owner.commit(ProgramClosed(message.program, self.clock.wall_ms()))
                _log.write(f"closed {program_id}", "requested by its caller")
                epoch = owner.entry.epoch
                releasing = self.cache_release.release_on_all_engines(
                    message.program, epoch
                )
                self.committer.spawn(releasing)
            return ProgramReport(program_json(program))


def _build_budget_drawn(program: Program, message: DrawBudget) -> BudgetDrawn:
    if message.tokens > program.remaining_tokens:
        raise CallRefusedError.of(
            ErrorKind.BUDGET_EXHAUSTED,
            f"{program.program_id} has {program.remaining_tokens} tokens left, "
            f"fewer than the requested {message.tokens}",
        )
    return BudgetDrawn(message.program, message.name, message.tokens)


def program_json(program: Program, with_messages: bool = False) -> bytes:
    """Return a program as JSON, optionally with its messages."""
    fields = {
        "id": program.program_id,
        "object": "program",
        "turns": program.turn_count,
        "receipt": program.receipt,
        "budget_tokens": program.budget_tokens,
        "spent_tokens": program.spent_tokens,
        "reserved_tokens": program.reserved_tokens,
        "parent": program.parent,
        "closed": program.closed_ms is not None,
    }
    head = orjson.dumps(fields)
    if not with_messages:
        return head
    return head[:-1] + b',"messages":[' + program.history_json() + b"]}"
