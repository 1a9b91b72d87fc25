"""Copy the records again that have too few copies, after a storage host has left."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import attrs
import xxhash
from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.disk_list import Disk
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMembers
from celerypulley.hosts.record_store import RecordStore
from celerypulley.hosts.storage_peers import StoragePeer, StoragePeers
from celerypulley.links.storage_link import StorageLinkError
from celerypulley.links.storage_messages import (
    FindMissing,
    MissingKeys,
    RecordsStored,
    StoreRecords,
)

__all__ = ["CopyCounts", "CopyRestorer"]

_REQUEST_TIMEOUT_MS = 2_000.0  # a batch of 256 KB on the slowest link, 15 Mbit/s
_KEYS_PER_REQUEST = 1_000  # at most 200 KB
_BATCH_BYTES = 256 * 1024
_MAX_BYTES_PER_S = 5_000_000.0  # a fifteenth of the links between storage hosts
_CHECK_PERIOD_S = 0.2
_RETRY_S = 0.5
_PAGE_ATTEMPTS = 8  # in 4 s; a host that stops responding is absent by then
_PAGE_RETRY_S = 0.1
_MAX_PAGE_RETRY_S = 0.8
_MAX_COPYING_MS = 3_000.0  # an emptied disk has copied what it needs by then
_log = DecisionLog("copies")


@attrs.define
class CopyCounts:
    """The result of one comparison: records compared, sent, and left with one copy."""

    records: int = 0
    sent: int = 0
    sent_bytes: int = 0
    single: int = 0

    def add(self, other: "CopyCounts") -> None:
        """Add the counts of another part of the records."""
        self.records += other.records
        self.sent += other.sent
        self.sent_bytes += other.sent_bytes
        self.single += other.single


class CopyRestorer(Service):
    """Compare keys with the other storage hosts each time that another set responds.

    `records_with_one_copy` is the count after the last comparison, and `compared_ms`
    the time from the last change to that comparison's end. `covered` are the absent
    disks whose records all have copies on others.
    """

    def __init__(
        self,
        record_store: RecordStore,
        peers: StoragePeers,
        members: FleetMembers,
        copies: int,
        is_active: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Keep `copies` of each record in `record_store` while `is_active()`."""
        super().__init__()
        self.record_store = record_store
        self.peers = peers
        self.members = members
        self.copies = copies
        self.is_active = is_active
        self.clock = clock
        self.records_with_one_copy = 0
        self.compared_ms = 0.0
        self.covered: set[str] = set()
        self._restored_for: frozenset | None = None
        # Waits so many seconds after a request; may be replaced.
        self.pause: Callable[[float], Awaitable[None]] = asyncio.sleep

    @Service.task
    async def _restore(self) -> None:
        """Restore copies once after each change of the disks that respond."""
        awaited = None
        changed_ms = NEVER_MS
        while not self.should_stop:
            await self.sleep(_CHECK_PERIOD_S)
            now_ms = self.clock.now_ms()
            state = self._state()
            if state != awaited:
                awaited = state
                changed_ms = now_ms
            if not self.is_active() or not self._is_settled(now_ms - changed_ms):
                continue
            if self.is_current():
                continue
            try:
                counts = await self.restore(self.copies, counts_own=True)
            except StorageLinkError as error:
                _log.write("comparison failed", str(error))
                await self.sleep(_RETRY_S)
                continue
            self._restored_for = state
            self.records_with_one_copy = counts.single
            self.compared_ms = self.clock.now_ms() - changed_ms
            _log.write(
                "copies compared",
                f"{len(state)} other storage hosts respond",
                took_ms=round(self.compared_ms),
                **attrs.asdict(counts),
            )

    def is_current(self) -> bool:
        """Return whether the last comparison was with those that respond now."""
        return self._restored_for == self._state()

    def _state(self) -> frozenset:
        return frozenset(
            (each.state.disk_id, each.state.is_complete)
            for each in self.peers.present()
        )

    def _is_settled(self, unchanged_ms: float) -> bool:
        """Return whether it is known who responds, and no disk is being copied to."""
        now_ms = self.clock.now_ms()
        if not all(
            each.is_settled(now_ms) or self.peers.is_superseded(each.disk)
            for each in self.peers.peers.values()
        ):
            return False
        is_copying = any(not each.state.is_complete for each in self.peers.present())
        return not is_copying or unchanged_ms >= _MAX_COPYING_MS

    async def restore(self, copies: int, counts_own: bool) -> CopyCounts:
        """Send each record that has too few copies to others; return the counts.

        `counts_own` tells whether the record here counts as a copy. Raise
        StorageLinkError if a storage host that responds fails again and again.
        """
        counts = CopyCounts()
        after = ""
        while True:
            keys = self.record_store.keys_after(after, _KEYS_PER_REQUEST)
            if not keys:
                return counts
            after = keys[-1]
            counts.add(await self._restore_page(keys, copies, counts_own))

    async def _restore_page(
        self, keys: list[str], copies: int, counts_own: bool
    ) -> CopyCounts:
        """Restore the copies of some records, and repeat that if a request fails."""
        for attempt in range(_PAGE_ATTEMPTS):
            try:
                return await self._try_page(keys, copies, counts_own)
            except StorageLinkError as error:
                if attempt == _PAGE_ATTEMPTS - 1:
                    raise
                _log.write("page repeated", str(error), first_key=keys[0])
                pause_s = min(_PAGE_RETRY_S * 2**attempt, _MAX_PAGE_RETRY_S)
                await asyncio.sleep(pause_s)
        raise AssertionError("the loop returns or raises")

    async def _try_page(
        self, keys: list[str], copies: int, counts_own: bool
    ) -> CopyCounts:
        peers = self.peers.present()
        targets = [each for each in peers if not each.state.is_draining]
        if not counts_own:  # two hosts that leave at once don't rely on each other
            peers = targets
        domains = {each.disk.domain for each in targets}
        if counts_own:
            domains.add(self.peers.own_disk.domain)

        def has_enough(holders: list[Disk]) -> bool:
            held_domains = {each.domain for each in holders}
            least = min(copies, len(domains))
            return len(holders) >= copies and len(held_domains) >= least

        holders = await self._find_holders(keys, peers, counts_own, has_enough)
        counts = CopyCounts(records=len(keys))
        lacking = []
        for key in keys:
            if has_enough(holders[key]) or key not in self.record_store.records:
                continue
            if counts_own and not self._is_sender(key, holders[key]):
                continue
            lacking.append(key)
        copied_to: dict[str, list[str]] = {each.disk.disk_id: [] for each in targets}
        for key in lacking:
            while not has_enough(holders[key]):
                target = _choose_target(key, holders[key], targets)
                if target is None:
                    break
                holders[key].append(target)
                copied_to[target.disk_id].append(key)
        counts.single += sum(len(holders[key]) < copies for key in lacking)
        for peer in targets:
            await self._send(peer, copied_to[peer.disk.disk_id], counts)
        return counts

    async def _find_holders(
        self,
        keys: list[str],
        peers: list[StoragePeer],
        counts_own: bool,
        has_enough: Callable[[list[Disk]], bool],
    ) -> dict[str, list[Disk]]:
        """Return the disks that have a record of each key, until there are enough."""
        holders: dict[str, list[Disk]] = {
            key: [self.peers.own_disk] if counts_own else [] for key in keys
        }
        for peer in peers:
            asked = [key for key in keys if not has_enough(holders[key])]
            if not asked:
                break
            size_bytes = sum(len(key) for key in asked)
            reply = await self._request(peer, FindMissing(asked), size_bytes)
            if not isinstance(reply, MissingKeys):
                raise StorageLinkError(f"{peer.disk.host} did not compare its keys")
            missing = set(reply.keys)
            for key in asked:
                if key not in missing:
                    holders[key].append(peer.disk)
        return holders

    def _is_sender(self, key: str, holders: list[Disk]) -> bool:
        own_id = self.peers.own_disk.disk_id
        return rendezvous(key, [each.disk_id for each in holders]) == own_id

    async def _send(
        self, peer: StoragePeer, keys: list[str], counts: CopyCounts
    ) -> None:
        for batch in self._split(keys):
            try:
                records = [self.record_store.read(key) for key in batch]
            except OSError as error:
                raise StorageLinkError(f"no copies were read: {error}") from error
            request = StoreRecords([each.to_row() for each in records])
            size_bytes = sum(each.size_bytes() for each in records)
            reply = await self._request(peer, request, size_bytes)
            if not isinstance(reply, RecordsStored):
                raise StorageLinkError(f"{peer.disk.host} stored no copies: {reply}")
            counts.sent += len(batch)
            counts.sent_bytes += size_bytes

    def _split(self, keys: list[str]) -> Iterator[list[str]]:
        """Yield the keys of records that are still stored, of about `_BATCH_BYTES`."""
        batch: list[str] = []
        size_bytes = 0
        for key in keys:
            stored = self.record_store.records.get(key)
            if stored is None:
                continue
            batch.append(key)
            size_bytes += stored.place.length_bytes
            if size_bytes >= _BATCH_BYTES:
                yield batch
                batch, size_bytes = [], 0
        if batch:
            yield batch

    async def _request(
        self, peer: StoragePeer, request: object, size_bytes: int
    ) -> object:
        """Return the reply to a request, after a pause as long as that took.

        So copying takes half of a slow link, and `_MAX_BYTES_PER_S` of a fast one.
        """
        started_ms = self.clock.now_ms()
        reply = await peer.link.request(request, _REQUEST_TIMEOUT_MS)
        took_s = (self.clock.now_ms() - started_ms) / 1000
        await self.pause(max(took_s, size_bytes / _MAX_BYTES_PER_S))
        return reply

    def compared_with(self) -> int:
        """Return a digest of the disks that respond, if records have copies on them.

        It is 0 if the last comparison was with others, or left records with one copy.
        """
        if not self.is_active() or not self.is_current() or self.records_with_one_copy:
            return 0
        disk_ids = [each.disk.disk_id for each in self.peers.present()]
        names = "\0".join(sorted([self.peers.own_disk.disk_id, *disk_ids]))
        return xxhash.xxh32_intdigest(names.encode()) or 1

    @Service.task
    async def _follow_absent_disks(self) -> None:
        """Note which absent disks have copies elsewhere, and remove those gone."""
        while not self.should_stop:
            await self.sleep(_CHECK_PERIOD_S)
            self._update_covered()
            for disk in self._gone_disks():
                is_removed = await self.peers.disk_list.remove(disk.disk_id)
                _log.write(
                    "disk given up" if is_removed else "disk kept",
                    "its records have copies on other disks",
                    disk=disk.disk_id,
                    storage_host=disk.host,
                )

    def _update_covered(self) -> None:
        """Add the absent disks once all others have restored the copies without them.

        This is true only if no more disks are absent than may be lost at once.
        """
        present = self.peers.present()
        absent = [each for each in self.peers.peers.values() if each not in present]
        self.covered &= {each.disk.disk_id for each in absent}
        digest = self.compared_with()
        have_restored = all(
            each.state.is_complete and each.state.compared_with == digest
            for each in present
        )
        if not digest or not have_restored:
            return
        known = self.covered.union(*(each.state.covered for each in present))
        missing = [
            each
            for each in absent
            if each.disk.disk_id not in known
            and not self.peers.is_superseded(each.disk)
        ]
        if len(missing) < self.copies:
            self.covered |= {each.disk.disk_id for each in absent}

    def _gone_disks(self) -> list[Disk]:
        """Return the disks that this storage host has to remove from the list.

        A registered host may still respond to others. One that starts again with its
        disk lists it again.
        """
        if not self.compared_with():
            return []
        registered = {each.name for each in self.members.of_kind(STORAGE_HOST)}
        own_id = self.peers.own_disk.disk_id
        names = [own_id, *(each.disk.disk_id for each in self.peers.present())]
        gone = []
        for disk_id in self.covered:
            disk = self.peers.peers[disk_id].disk
            is_gone = (
                disk.host not in registered and disk.host != self.peers.own_disk.host
            )
            if not is_gone and not self.peers.is_superseded(disk):
                continue
            if rendezvous(disk_id, names) == own_id:
                gone.append(disk)
        return gone


def _choose_target(
    key: str, holders: list[Disk], peers: list[StoragePeer]
) -> Disk | None:
    """Return the disk for the next copy, in another failure domain if possible."""
    held = {each.disk_id for each in holders}
    domains = {each.domain for each in holders}
    free = {
        each.disk.disk_id: each.disk for each in peers if each.disk.disk_id not in held
    }
    other = [disk_id for disk_id, disk in free.items() if disk.domain not in domains]
    chosen = rendezvous(key, other or free)
    return free[chosen] if chosen else None
