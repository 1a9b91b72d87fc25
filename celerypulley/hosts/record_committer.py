"""Commits that complete after a handover or after the caller has disconnected."""

import asyncio
from collections.abc import Coroutine

from celerypulley.clock import Clock
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.running_turns import RunningTurns
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.codec import from_wire, to_wire
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import (
    CommitRecord,
    Committed,
    QueryTurn,
    Refused,
    TurnState,
)
from celerypulley.links.peer_server import refused_message
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.program import CallState, Program
from celerypulley.programs.records import CallEnded, TurnAbandoned, TurnCompleted

__all__ = ["RecordCommitter"]

_FORWARD_TIMEOUT_MS = 4_000.0
_TURN_STATE_TIMEOUT_MS = 1_000.0
_FORWARD_RETRY_S = 0.2
_SETTLE_POLL_S = 0.1
_FORWARDABLE_RECORDS = (TurnCompleted, TurnAbandoned, CallEnded)


class RecordCommitter:
    """Commit at the owner, or at the host to which the shard was handed over."""

    def __init__(
        self, shards: Shards, peers: Peers, running_turns: RunningTurns, clock: Clock
    ) -> None:
        """Commit to the shards of this host or of its peers.

        `running_turns` are the turns that run on this host.
        """
        self.running_turns = running_turns
        self.shards = shards
        self.peers = peers
        self.clock = clock
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run `work` in a task that continues if its caller is cancelled."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def commit(self, owner: ShardOwner, record: object) -> str:
        """Commit a record that ends work; return the program's receipt, if any.

        If the shard has another owner by now, that owner commits the record. Raise
        CallRefusedError if no owner accepts it.
        """
        try:
            await owner.commit(record)
            return _receipt(owner, record)
        except CallRefusedError:
            if not owner.superseded:
                raise
        return await self._forward_to_owner(owner.state.shard, record)

    async def _forward_to_owner(self, shard: ShardId, record: object) -> str:
        message = CommitRecord(str(shard), to_wire(record))
        deadline_ms = self.clock.now_ms() + self.shards.settings.commit_timeout_ms
        while self.clock.now_ms() < deadline_ms:
            reply = await self._request_commit(shard, message)
            if isinstance(reply, Committed):
                return reply.receipt
            refused = isinstance(reply, Refused)
            if refused and reply.kind != ErrorKind.OWNER_UNREACHABLE.value:
                break
            await asyncio.sleep(_FORWARD_RETRY_S)
        raise CallRefusedError.of(
            ErrorKind.OWNER_UNREACHABLE,
            f"no owner of shard {shard} accepted the record",
        )

    async def _request_commit(self, shard: ShardId, message: CommitRecord) -> object:
        name = self.shards.owner_of(shard)
        if name is None:
            return None
        try:
            if name == self.shards.own_member.name:
                return await self.handle_commit(message, name)
            return await self.peers.request(name, message, _FORWARD_TIMEOUT_MS)
        except PeerLinkError:
            return None
        except CallRefusedError as error:
            return refused_message(error.refusal)

    async def handle_commit(self, message: CommitRecord, sender: str) -> Committed:
        """Commit a record for a host that owned the shard when the work began."""
        record = from_wire(message.record)
        if not isinstance(record, _FORWARDABLE_RECORDS):
            raise CallRefusedError.of(
                ErrorKind.BAD_REQUEST,
                f"{type(record).__name__} records are not forwarded",
            )
        owner = self.shards.require_owned(ShardId.parse(message.shard))
        await owner.build_and_commit(lambda: _require_unsettled(owner, record, sender))
        return Committed(_receipt(owner, record))

    async def settle_turn(
        self, owner: ShardOwner, program: Program, timeout_ms: float
    ) -> None:
        """Settle a turn that a former owner began, before the next one begins.

        Wait up to `timeout_ms` while that host still runs the turn. If it is not
        settled by then, charge the whole reservation.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        while program.reserved_tokens and self.clock.now_ms() < deadline_ms:
            if not await self._is_turn_running(program):
                break
            await asyncio.sleep(_SETTLE_POLL_S)
        if not program.reserved_tokens:
            return
        turn = program.turn_count + 1
        record = TurnAbandoned(program.program_id, turn, program.reserved_tokens)
        await owner.commit(record)

    async def _is_turn_running(self, program: Program) -> bool:
        if program.runner == self.shards.own_member.name:
            return self.running_turns.is_running(program.program_id)
        message = QueryTurn(program.program_id)
        try:
            reply = await self.peers.request(
                program.runner, message, _TURN_STATE_TIMEOUT_MS
            )
        except PeerLinkError:
            return False
        return isinstance(reply, TurnState) and reply.running


def _require_unsettled(owner: ShardOwner, record: object, sender: str) -> object:
    """Return the record; raise CallRefusedError if its work is already settled."""
    if isinstance(record, CallEnded):
        call = owner.state.calls.get(record.call)
        if call is not None and call.state == CallState.BEGUN:
            return record
    else:
        program = owner.state.programs.get(record.program)
        if (
            program is not None
            and program.reserved_tokens
            and program.runner == sender
            and record.turn == program.turn_count + 1
        ):
            return record
    raise CallRefusedError.of(
        ErrorKind.TURN_OUT_OF_ORDER, "the turn or call has already been settled"
    )


def _receipt(owner: ShardOwner, record: object) -> str:
    if not isinstance(record, TurnCompleted):
        return ""
    return owner.state.programs[record.program].receipt
