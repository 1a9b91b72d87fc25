"""Commits that outlive the ownership of a shard or the caller's patience."""

import asyncio
from collections.abc import Coroutine

from celerypulley.clock import Clock
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.codec import from_wire, to_wire
from celerypulley.links.peer_link import LinkError
from celerypulley.links.peer_messages import CommitRecord, Committed, Refused
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.program import Program
from celerypulley.programs.records import CallEnded, TurnAbandoned, TurnDone

__all__ = ["RecordCommitter"]

_FORWARD_TIMEOUT_MS = 4_000.0
_ATTEMPTS = 3
_PAUSE_S = 0.2
_SETTLE_POLL_S = 0.1
_FORWARDED = (TurnDone, TurnAbandoned, CallEnded)


class RecordCommitter:
    """Commit at the owner, or at the host to which the shard was handed over."""

    def __init__(self, shards: Shards, peers: Peers, clock: Clock) -> None:
        """Commit to the shards of this host or of its peers."""
        self.shards = shards
        self.peers = peers
        self.clock = clock
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work that goes on when its caller is gone."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def commit(self, owner: ShardOwner, record: object) -> str:
        """Commit a record that ends work; return the program's receipt, if any.

        Raise CallRefusedError where no owner took it.
        """
        try:
            await owner.commit(record)
            return _receipt(owner, record)
        except CallRefusedError:
            if not owner.superseded or not owner.handed_over:
                raise
        return await self._forward(owner.state.shard, record)

    async def _forward(self, shard: ShardId, record: object) -> str:
        message = CommitRecord(str(shard), to_wire(record))
        for _ in range(_ATTEMPTS):
            name = self.shards.owner_of(shard)
            if name is not None and name != self.shards.me.name:
                try:
                    reply = await self.peers.request(name, message, _FORWARD_TIMEOUT_MS)
                except LinkError:
                    reply = None
                if isinstance(reply, Committed):
                    return reply.receipt
                if isinstance(reply, Refused) and reply.kind != "owner_unreachable":
                    break
            await asyncio.sleep(_PAUSE_S)
        raise CallRefusedError.of(
            ErrorKind.OWNER_UNREACHABLE, f"the new owner of {shard} took no record"
        )

    async def answer_commit(self, message: CommitRecord) -> Committed:
        """Commit for the host that owned the shard before."""
        record = from_wire(message.record)
        if not isinstance(record, _FORWARDED):
            raise CallRefusedError.of(
                ErrorKind.BAD_REQUEST, f"{type(record).__name__} is not forwarded"
            )
        owner = self.shards.require_owned(ShardId.parse(message.shard))
        if not _still_awaited(owner, record):
            raise CallRefusedError.of(
                ErrorKind.TURN_OUT_OF_ORDER, "the work has been settled without it"
            )
        await owner.commit(record)
        return Committed(_receipt(owner, record))

    async def settle(
        self, owner: ShardOwner, program: Program, timeout_ms: float
    ) -> None:
        """Settle a turn that a former owner began, before the next one begins.

        Wait while that owner may still finish it; otherwise charge its reserve.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        while program.reserved_tokens and self.clock.now_ms() < deadline_ms:
            runner = program.runner
            if runner != owner.former_owner:
                break
            if runner not in self.shards.view.members:
                break
            await asyncio.sleep(_SETTLE_POLL_S)
        if not program.reserved_tokens:
            return
        record = TurnAbandoned(
            program.program, program.turn_count + 1, program.reserved_tokens
        )
        await owner.commit(record)


def _still_awaited(owner: ShardOwner, record: object) -> bool:
    if isinstance(record, CallEnded):
        call = owner.state.calls.get(record.call)
        return call is not None and call.state == "begun"
    program = owner.state.programs.get(record.program)
    if program is None or not program.reserved_tokens:
        return False
    return record.turn == program.turn_count + 1


def _receipt(owner: ShardOwner, record: object) -> str:
    if not isinstance(record, TurnDone):
        return ""
    return owner.state.programs[record.program].receipt
