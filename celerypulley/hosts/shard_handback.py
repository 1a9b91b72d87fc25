"""Handback of a shard's programs to its new owner after it was declared lost.

Two hosts that are cut off together continue to serve a shard. Meanwhile the other hosts
may have restarted it without its programs. When the cut ends, the former owner hands
back what it holds. No program is ever served by both.
"""

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.shards import Shards
from celerypulley.links.codec import from_wire, to_wire
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import Committed, HandBackRecord
from celerypulley.programs.identifier import ProgramId, ShardId
from celerypulley.programs.records import CallSnapshot, ProgramSnapshot
from celerypulley.programs.shard import ShardState

__all__ = ["ShardHandback"]

_PERIOD_S = 1.0
_TIMEOUT_MS = 10_000.0
_log = DecisionLog("return")


class ShardHandback(Service):
    """Hand superseded shards back to their owners, and accept such handbacks."""

    def __init__(self, shards: Shards, peers: Peers) -> None:
        """Hand back the shards that `shards` lists in `handbacks`."""
        super().__init__()
        self.shards = shards
        self.peers = peers

    @Service.task
    async def _hand_back_all(self) -> None:
        while not self.should_stop:
            await self.sleep(_PERIOD_S)
            for shard, state in list(self.shards.handbacks.items()):
                if await self._hand_back(shard, state):
                    del self.shards.handbacks[shard]

    async def _hand_back(self, shard: ShardId, state: ShardState) -> bool:
        owner = self.shards.owner_of(shard)
        if owner is None or owner == self.shards.own_member.name:
            return False
        epoch = self.shards.view.entries[shard].epoch
        for record in state.snapshot_records():
            message = HandBackRecord(str(shard), epoch, to_wire(record))
            try:
                reply = await self.peers.request(owner, message, _TIMEOUT_MS)
            except PeerLinkError as error:
                _log.write("handback postponed", str(error), shard=shard)
                return False
            if not isinstance(reply, Committed):
                _log.write("handback refused", repr(reply)[:120], shard=shard)
                return False
        _log.write("shard handed back", "the cut has ended", shard=shard, owner=owner)
        return True

    async def accept(self, message: HandBackRecord) -> None:
        """Commit a program or call that the current epoch does not know."""
        owner = self.shards.require_owned(ShardId.parse(message.shard))
        record = from_wire(message.record)
        if isinstance(record, ProgramSnapshot):
            program_id = ProgramId.parse(record.program)
            known = record.program in owner.state.programs
            if known or program_id.epoch >= owner.entry.lost_epoch:
                return
        elif isinstance(record, CallSnapshot):
            if record.call in owner.state.calls:
                return
        else:
            raise CallRefusedError.of(
                ErrorKind.BAD_REQUEST,
                f"{type(record).__name__} records are not handed back",
            )
        await owner.commit(record)
