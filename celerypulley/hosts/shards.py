"""The shards that one host owns or replicates."""

from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.failure_domains.member import Member
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.failure_domains.placement import is_local
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shard_replica import ShardReplica
from celerypulley.links.peer_messages import (
    Acknowledged,
    InstallSnapshot,
    RenewPromises,
    Replicate,
)
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.shard import ShardState
from celerypulley.settings import Settings

__all__ = ["Shards"]

_log = DecisionLog("shard")


class Shards(Service):
    """Follow the owner table and hold the shards that it assigns to this host."""

    def __init__(
        self,
        settings: Settings,
        own_member: Member,
        view: PlatformView,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Start without shards; the owner table assigns them to `own_member`."""
        super().__init__()
        self.settings = settings
        self.own_member = own_member
        self.view = view
        self.peers = peers
        self.clock = clock
        self.owned: dict[ShardId, ShardOwner] = {}
        self.replicas: dict[ShardId, ShardReplica] = {}
        self.handbacks: dict[ShardId, ShardState] = {}

    def owner_of(self, shard: ShardId) -> str | None:
        """Return the member that owns a shard, None if it has no owner."""
        entry = self.view.entries.get(shard)
        return entry.owner if entry else None

    def require_owned(self, shard: ShardId) -> ShardOwner:
        """Return a shard that this host owns; raise CallRefusedError."""
        owner = self.owned.get(shard)
        if owner is None or owner.superseded:
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE, f"this host does not own shard {shard}"
            )
        return owner

    def shard_for_new_program(self) -> ShardOwner | None:
        """Return the owned shard with the fewest programs that can commit now.

        Local shards come last, since both of their copies are in this failure domain.
        Return None if no shard can commit.
        """
        best = None
        best_rank = (True, 0)
        for shard, owner in self.owned.items():
            if not owner.holds_promise():
                continue
            if owner.replica_failing_since_ms is not None:
                continue
            local = is_local(shard, self.settings.shards_per_domain)
            rank = (local, len(owner.state.programs))
            if best is None or rank < best_rank:
                best = owner
                best_rank = rank
        return best

    def apply_install(self, message: InstallSnapshot) -> Acknowledged:
        """Apply a part of the copy that an owner sends."""
        shard = ShardId.parse(message.shard)
        owned = self.owned.get(shard)
        if owned is not None and not owned.superseded:
            if owned.entry.epoch >= message.epoch:
                return Acknowledged("stale", owned.entry.epoch)
            owned.supersede("a newer owner sent a copy")
        replica = self.replicas.get(shard)
        if replica is None:
            replica = ShardReplica(shard, self.clock)
            self.replicas[shard] = replica
        return replica.apply_install(message)

    def apply_record(self, message: Replicate) -> Acknowledged:
        """Apply a record that an owner replicates."""
        shard = ShardId.parse(message.shard)
        owned = self.owned.get(shard)
        if owned is not None:
            return Acknowledged("stale", owned.entry.epoch)
        replica = self.replicas.get(shard)
        if replica is None:
            return Acknowledged("not-holding", 0)
        return replica.apply_record(message)

    def grant_promises(self, message: RenewPromises) -> list[str]:
        """Return the outcome of each requested promise, in order."""
        states = []
        for name, epoch in message.items:
            shard = ShardId.parse(name)
            replica = self.replicas.get(shard)
            if shard in self.owned:
                states.append("stale")
                continue
            if replica is None:
                states.append("not-holding")
                continue
            states.append(replica.promise(epoch, message.promise_ms))
        return states

    @Service.task
    async def _follow_owner_table(self) -> None:
        while not self.should_stop:
            for shard, entry in self.view.pop_changed_entries().items():
                self.apply_entry(shard, entry)
            for shard in [*self.owned, *self.replicas]:
                entry = self.view.entries.get(shard)
                if entry is not None:
                    self.apply_entry(shard, entry)
            await self.view.wait_for_change(timeout_ms=1_000)

    def apply_entry(self, shard: ShardId, entry: ShardEntry) -> None:
        """Update this host's role in a shard to match its entry."""
        owned = self.owned.get(shard)
        if entry.owner == self.own_member.name:
            self._become_or_stay_owner(shard, entry, owned)
            return
        if owned is not None:
            self._stop_owning(shard, entry, owned)
        if self.own_member.name in (entry.replica, entry.former):
            return
        replica = self.replicas.get(shard)
        if replica is None or entry.epoch < replica.epoch:
            return
        if replica.since_last_received_ms() > self.settings.lease_ttl_ms:
            del self.replicas[shard]

    def _become_or_stay_owner(
        self,
        shard: ShardId,
        entry: ShardEntry,
        owned: ShardOwner | None,
    ) -> None:
        if owned is not None and not owned.superseded:
            if entry.revision > owned.entry.revision:
                owned.set_entry(entry)
            return
        if owned is not None and entry.epoch <= owned.entry.epoch:
            return
        state = self._initial_state(shard, entry)
        if state is None:
            return
        self.owned[shard] = ShardOwner(
            state, entry, self.peers, self.clock, self.settings.commit_timeout_ms
        )
        _log.write(
            "shard acquired",
            "the owner table names this host",
            shard=shard,
            epoch=entry.epoch,
            programs=len(state.programs),
        )

    def _initial_state(self, shard: ShardId, entry: ShardEntry) -> ShardState | None:
        replica = self.replicas.get(shard)
        starts_empty = entry.epoch == 1 or entry.lost_epoch == entry.epoch
        if starts_empty:
            self.replicas.pop(shard, None)
            return ShardState(shard)
        if replica is None or not replica.complete:
            _log.write(
                "shard not acquired", "this host has no complete copy", shard=shard
            )
            return None
        del self.replicas[shard]
        return replica.state

    def _stop_owning(
        self, shard: ShardId, entry: ShardEntry, owned: ShardOwner
    ) -> None:
        owned.supersede(f"the owner table names {entry.owner}")
        del self.owned[shard]
        if entry.lost_epoch > owned.entry.epoch:
            self.handbacks[shard] = owned.state
            return
        if self.own_member.name in (entry.replica, entry.former):
            self._convert_to_replica(shard, entry, owned)

    def _convert_to_replica(
        self, shard: ShardId, entry: ShardEntry, owned: ShardOwner
    ) -> None:
        if shard in self.replicas:
            return
        replica = ShardReplica(shard, self.clock)
        replica.state = owned.state
        replica.epoch = entry.epoch
        replica.complete = True
        self.replicas[shard] = replica

    def counts(self) -> dict:
        """Return counts for the status page and the metrics."""
        owned = self.owned.values()
        return {
            "owned": len(self.owned),
            "promised": sum(owner.holds_promise() for owner in owned),
            "replicated": len(self.replicas),
            "programs": sum(len(owner.state.programs) for owner in owned),
            "history_bytes": sum(owner.state.history_bytes for owner in owned),
            "calls": sum(len(owner.state.calls) for owner in owned),
            "epochs": {str(key): each.entry.epoch for key, each in self.owned.items()},
        }
