"""The replica's side of one shard: a copy of its state and the promise to its owner."""

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.links.codec import from_wire
from celerypulley.links.peer_messages import Acknowledged, InstallSnapshot, Replicate
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.shard import InvariantError, ShardState

__all__ = ["ShardReplica"]


class ShardReplica:
    """A copy of a shard, and the promise not to take it over before a given time."""

    def __init__(self, shard: ShardId, clock: Clock) -> None:
        """Start without a copy; the first part of an install message begins one."""
        self.state = ShardState(shard)
        self.clock = clock
        self.epoch = 0
        self.complete = False
        self.promised_until_ms = NEVER_MS
        self.last_received_ms = clock.now_ms()

    def apply_install(self, message: InstallSnapshot) -> Acknowledged:
        """Apply one part of a full copy; refuse an older epoch."""
        if message.epoch < self.epoch:
            return Acknowledged("stale", self.epoch)
        self.epoch = message.epoch
        self.last_received_ms = self.clock.now_ms()
        if message.first:
            self.state = ShardState(self.state.shard)
            self.complete = False
        for record in message.records:
            self.state.apply(from_wire(record))
        if message.last:
            self.state.sequence = message.sequence
            self.complete = True
        return Acknowledged("ok", self.epoch)

    def apply_record(self, message: Replicate) -> Acknowledged:
        """Apply the next record in sequence; a repeated record changes nothing."""
        if message.epoch < self.epoch:
            return Acknowledged("stale", self.epoch)
        if not self.complete:
            return Acknowledged("not-holding", self.epoch)
        self.epoch = message.epoch
        self.last_received_ms = self.clock.now_ms()
        if message.sequence == self.state.sequence:
            return Acknowledged("ok", self.epoch)
        if message.sequence != self.state.sequence + 1:
            return Acknowledged("gap", self.epoch)
        try:
            self.state.apply(from_wire(message.record))
        except InvariantError:
            return Acknowledged("invalid", self.epoch)
        return Acknowledged("ok", self.epoch)

    def promise(self, epoch: int, promise_ms: float) -> str:
        """Promise not to take over for `promise_ms`; return "ok" or why not.

        The reply is "stale" for an older epoch and "not-holding" without a complete
        copy.
        """
        if epoch < self.epoch:
            return "stale"
        if not self.complete:
            return "not-holding"
        now_ms = self.clock.now_ms()
        self.epoch = epoch
        self.last_received_ms = now_ms
        self.promised_until_ms = max(self.promised_until_ms, now_ms + promise_ms)
        return "ok"

    def since_last_received_ms(self) -> float:
        """Return the time since the last message from the owner."""
        return elapsed_ms(
            self.last_received_ms, self.clock.now_ms(), "message of a shard's owner"
        )
