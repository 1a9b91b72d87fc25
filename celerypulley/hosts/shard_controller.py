"""Reconciliation of shard ownership: every shard gets an owner and a replica."""

import random

import attrs
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.failure_domains.placement import (
    choose_move,
    choose_replica,
    is_local,
    local_shard_count,
    rendezvous,
    takeover_candidates,
)
from celerypulley.hosts.owner_table_writer import OwnerTableWriter
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.platform_link import PlatformUnavailableError
from celerypulley.programs.identifier import ShardId
from celerypulley.settings import Settings

__all__ = ["ShardController"]

_RECONCILE_PERIOD_MS = 400.0
_VIEW_SETTLE_MS = 1_500.0
_MOVES_PER_RECONCILIATION = 4
_FAILURE_DETECTION_MS = 1_500.0
_MEMBER_LOSS_MARGIN_MS = 5_000.0
_FORMER_OWNER_TIMEOUTS = 3
_COPY_RETRY_DELAY_MS = 5_000.0
_log = DecisionLog("keeper")


class ShardController(Service):
    """Reconcile the owner table with the members of the fleet.

    Claim new and lost shards, take over from unreachable owners, assign replicas and
    balance shards between hosts. Each change is one compare-and-swap write of one
    entry.
    """

    def __init__(
        self,
        settings: Settings,
        shards: Shards,
        view: PlatformView,
        writer: OwnerTableWriter,
        clock: Clock,
    ) -> None:
        """Manage `shards` by the members of `view`; write through `writer`."""
        super().__init__()
        self.settings = settings
        self.shards = shards
        self.view = view
        self.writer = writer
        self.clock = clock
        self.leaving = False
        self._balanced_generation = -1
        self._copy_failed_ms: dict[str, float] = {}
        self._random = random.Random()

    @property
    def _own_name(self) -> str:
        return self.shards.own_member.name

    @Service.task
    async def _reconcile_loop(self) -> None:
        while not self.should_stop:
            await self.view.wait_for_change(
                self._random.uniform(0.5, 1.0) * _RECONCILE_PERIOD_MS
            )
            await self.sleep(self._random.uniform(0.02, 0.1))
            if self.view.connected_since_ms is None:
                continue
            try:
                await self._reconcile()
            except PlatformUnavailableError as error:
                _log.write("reconciliation aborted", str(error))

    async def _reconcile(self) -> None:
        if self._own_name not in self.view.members:
            return
        if not self.leaving and self._view_has_settled():
            await self._claim_new_shards()
            await self._claim_lost_shards()
        await self._take_over_shards()
        await self._ensure_replicas()
        await self._move_shards()

    def _view_has_settled(self) -> bool:
        since_ms = self.view.connected_since_ms
        return since_ms is not None and self.clock.now_ms() - since_ms > _VIEW_SETTLE_MS

    def _is_local(self, shard: ShardId) -> bool:
        return is_local(shard, self.settings.shards_per_domain)

    async def _claim_new_shards(self) -> None:
        count = self.settings.shards_per_domain
        domain = self.shards.own_member.domain
        for index in range(count + local_shard_count(count)):
            shard = ShardId(domain, index)
            if shard in self.view.entries:
                continue
            names = takeover_candidates(shard, self.view.members, local=True)
            if rendezvous(str(shard), names) != self._own_name:
                continue
            entry = ShardEntry(self._own_name, None, epoch=1)
            await self.writer.write(shard, entry, None, "the shard has no entry yet")

    async def _claim_lost_shards(self) -> None:
        missing = self.view.missing_members(self._member_loss_timeout_ms())
        if not missing:
            return
        for shard, entry in list(self.view.entries.items()):
            if entry.owner not in missing:
                continue
            if entry.replica and entry.replica not in missing:
                continue
            if entry.former in self.view.members and not self._former_owner_timed_out(
                entry
            ):
                continue
            names = takeover_candidates(shard, self.view.members, self._is_local(shard))
            if rendezvous(str(shard), names) != self._own_name:
                continue
            await self._claim_lost_shard(shard, entry)

    def _former_owner_timed_out(self, entry: ShardEntry) -> bool:
        """Return whether the former owner has not resumed the shard in time."""
        missing_ms = self.view.missing_for_ms(entry.owner)
        return missing_ms > _FORMER_OWNER_TIMEOUTS * self._member_loss_timeout_ms()

    def _member_loss_timeout_ms(self) -> float:
        return self.settings.promise_ms + _MEMBER_LOSS_MARGIN_MS

    async def _claim_lost_shard(self, shard: ShardId, entry: ShardEntry) -> None:
        epoch = entry.epoch + 1
        new_entry = ShardEntry(
            self._own_name, None, epoch, lost_epoch=epoch, lost_ms=self.clock.wall_ms()
        )
        await self.writer.write(shard, new_entry, entry, "owner and replica are lost")

    async def _take_over_shards(self) -> None:
        for shard, replica in list(self.shards.replicas.items()):
            entry = self.view.entries.get(shard)
            if entry is None or not replica.complete:
                continue
            if self._can_resume_ownership(entry):
                await self._become_owner(
                    shard, entry, "the owner was lost before it had a replica"
                )
                continue
            if entry.replica != self._own_name:
                continue
            if self.clock.now_ms() < replica.promised_until_ms:
                continue
            if replica.since_last_received_ms() < self._takeover_delay_ms(entry):
                continue
            await self._become_owner(
                shard, entry, "no message from the owner within the takeover delay"
            )

    def _can_resume_ownership(self, entry: ShardEntry) -> bool:
        """Return whether this host, the former owner, holds the newest committed state.

        An owner without a replica commits nothing. If it is lost before it has one, the
        former owner may therefore resume the shard.
        """
        if entry.replica is not None or entry.former != self._own_name:
            return False
        return self.view.missing_for_ms(entry.owner) > self.settings.promise_ms

    def _takeover_delay_ms(self, entry: ShardEntry) -> float:
        missing = entry.owner not in self.view.members
        if missing:
            return float(self.settings.promise_ms)
        return self.settings.promise_ms + 2 * _FAILURE_DETECTION_MS

    async def _become_owner(
        self, shard: ShardId, entry: ShardEntry, reason: str
    ) -> None:
        new_entry = attrs.evolve(
            entry,
            owner=self._own_name,
            replica=None,
            former=entry.owner,
            epoch=entry.epoch + 1,
        )
        written = await self.writer.write(shard, new_entry, entry, reason)
        if written is not None:
            self.shards.apply_entry(shard, written)

    async def _ensure_replicas(self) -> None:
        for owner in list(self.shards.owned.values()):
            if owner.superseded or not self._needs_replica(owner):
                continue
            await self._install_replica(owner)

    def _needs_replica(self, owner: ShardOwner) -> bool:
        replica = owner.entry.replica
        member = self.view.members.get(replica) if replica else None
        if member is None or member.leaving:
            return True
        since_ms = owner.replica_failing_since_ms
        if (
            since_ms is not None
            and self.clock.now_ms() - since_ms > _FAILURE_DETECTION_MS
        ):
            return True
        return self._can_place_in_other_domain(owner, member.domain)

    def _can_place_in_other_domain(
        self, owner: ShardOwner, replica_domain: str
    ) -> bool:
        if (
            self._is_local(owner.state.shard)
            or replica_domain != self.shards.own_member.domain
        ):
            return False
        domains = {member.domain for member in self.view.members.values()}
        return len(domains) > 1 and self._view_has_settled()

    def _failing_replicas(self, owner: ShardOwner) -> set[str]:
        if owner.replica_failing_since_ms is None or owner.entry.replica is None:
            return set()
        return {owner.entry.replica}

    def _failed_copy_targets(self) -> set[str]:
        oldest_ms = self.clock.now_ms() - _COPY_RETRY_DELAY_MS
        return {
            name for name, at_ms in self._copy_failed_ms.items() if at_ms > oldest_ms
        }

    async def _install_replica(self, owner: ShardOwner) -> None:
        shard = owner.state.shard
        chosen = choose_replica(
            shard,
            self.shards.own_member,
            self.view.members,
            self._failing_replicas(owner) | self._failed_copy_targets(),
            self._is_local(shard),
        )
        if chosen is None or chosen.name == owner.entry.replica:
            return
        entry = owner.entry

        async def update_entry() -> ShardEntry | None:
            new_entry = attrs.evolve(entry, replica=chosen.name, former=None)
            return await self.writer.write(shard, new_entry, entry, "replica assigned")

        await self._install(owner, chosen.name, update_entry)

    async def _move_shards(self) -> None:
        if self.leaving or not self._view_has_settled():
            return
        if self.view.generation == self._balanced_generation:
            return
        for _ in range(_MOVES_PER_RECONCILIATION):
            move = choose_move(
                self.shards.own_member, self.view.members, self.view.entries
            )
            if move is None:
                self._balanced_generation = self.view.generation
                return
            if not await self.hand_over(move.shard, move.new_owner, "balance"):
                return

    async def hand_over(self, shard: ShardId, target: str, reason: str) -> bool:
        """Transfer a shard with its whole state to `target`; return success."""
        owner = self.shards.owned.get(shard)
        if owner is None or owner.superseded or not owner.holds_promise():
            return False
        entry = owner.entry
        replica = entry.replica if entry.replica != target else self._own_name

        async def update_entry() -> ShardEntry | None:
            new_entry = attrs.evolve(
                entry, owner=target, replica=replica, former=None, epoch=entry.epoch + 1
            )
            return await self.writer.write(shard, new_entry, entry, reason)

        if not await self._install(owner, target, update_entry):
            return False
        written = self.view.entries[shard]
        self.shards.apply_entry(shard, written)
        return True

    def successor(self, shard: ShardId) -> str | None:
        """Return the host that should own a shard after this host leaves, if any."""
        names = takeover_candidates(shard, self.view.members, self._is_local(shard))
        others = [name for name in names if name != self._own_name]
        entry = self.view.entries[shard]
        replica = self.view.members.get(entry.replica or "")
        if not others and replica is not None and not replica.leaving:
            return replica.name
        return rendezvous(str(shard), others)

    async def _install(
        self, owner: ShardOwner, target: str, update_entry: object
    ) -> bool:
        try:
            return await owner.install(target, update_entry)
        except PeerLinkError as error:
            _log.write(
                "shard copy failed", str(error), shard=owner.shard, target=target
            )
            self._copy_failed_ms[target] = self.clock.now_ms()
            return False
        except PlatformUnavailableError:
            owner.set_entry(attrs.evolve(owner.entry, replica=None))
            raise
