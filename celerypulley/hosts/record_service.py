"""The service of a storage host: it stores turn records and copies them.

A record is stored in at least two failure domains. A storage host whose disk was lost
copies the records of the others before it is complete again, and one that is drained
first transfers its records to the others.
"""

import asyncio

import attrs
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.disk_list import Disk, DiskList
from celerypulley.fleet.fleet_members import FleetMembers
from celerypulley.hosts.copy_restorer import CopyRestorer
from celerypulley.hosts.record_copier import RecordCopier
from celerypulley.hosts.record_store import RecordStore
from celerypulley.hosts.storage_peers import StoragePeers
from celerypulley.links.key_value import LeaseExpiredError, StoreUnavailableError
from celerypulley.links.storage_link import StorageLinkError
from celerypulley.links.storage_messages import (
    FindMissing,
    GetChain,
    GetKeptChain,
    GetState,
    ListRecords,
    MissingKeys,
    RecordsNotRead,
    RecordsNotStored,
    RecordsStored,
    StorageState,
    StoreRecords,
)
from celerypulley.storage.record_journal import RecordJournal
from celerypulley.storage.turn_records import TurnRecord

__all__ = ["RecordService"]

_MIN_COPIES = 2  # a record survives the loss of a failure domain
_RETRY_S = 0.3
_log = DecisionLog("keeper")


class RecordService(Service):
    """Handle the requests of hosts and of other storage hosts."""

    def __init__(
        self,
        record_store: RecordStore,
        journal: RecordJournal,
        members: FleetMembers,
        own_disk: Disk,
        disk_list: DiskList,
        is_first_start: bool,
        tolerated_losses: int,
        clock: Clock,
    ) -> None:
        """Serve the records in `record_store`, which are on `own_disk`.

        The storage host is complete if its `journal` is marked so, or at the first
        start of the fleet, when no records exist. `tolerated_losses` disks of
        `disk_list` may be lost at once.
        """
        super().__init__()
        self.record_store = record_store
        self.journal = journal
        self.members = members
        self.own_disk = own_disk
        self.disk_list = disk_list
        self.clock = clock
        self.copies = max(_MIN_COPIES, tolerated_losses + 1)
        self.is_complete = journal.is_complete()
        self.is_draining = False
        self.is_leaving = False
        self._is_full = False
        self.peers = StoragePeers(own_disk, disk_list, clock)
        self.copier = RecordCopier(record_store, self.peers, tolerated_losses)
        self.restorer = CopyRestorer(
            record_store, self.peers, members, self.copies, self._is_active, clock
        )
        if is_first_start and not self.is_complete:
            journal.mark_complete()
            self.is_complete = True

    async def on_start(self) -> None:
        """Start to probe the other disks and to keep the copies of records."""
        await self.add_runtime_dependency(self.peers)
        await self.add_runtime_dependency(self.restorer)

    def _is_active(self) -> bool:
        return self.is_complete and not self.is_draining and not self.is_leaving

    async def handle(self, request: object) -> object:
        """Return the reply to a request."""
        if isinstance(request, StoreRecords):
            return await self._store_records(request)
        if isinstance(request, GetChain | GetKeptChain | ListRecords):
            return self._read_records(request)
        if isinstance(request, FindMissing):
            return MissingKeys(self.record_store.missing_keys(request.keys))
        if isinstance(request, GetState):
            return StorageState(
                self.own_disk.disk_id,
                self.is_complete,
                self.is_draining or self.is_leaving,
                self.restorer.compared_with(),
                sorted(self.restorer.covered),
            )
        return RecordsNotStored(f"unexpected request of type {type(request).__name__}")

    def reply_bytes(self, request: object) -> int:
        """Return about how long the reply to a request that reads records is."""
        if isinstance(request, GetChain | GetKeptChain):
            return self.record_store.chain_bytes(request.key)
        if isinstance(request, ListRecords):
            return self.record_store.page_bytes()
        return 0

    def _read_records(self, request: GetChain | GetKeptChain | ListRecords) -> object:
        try:
            if isinstance(request, ListRecords):
                return self.record_store.page(request.after, self.is_complete)
            chain = self.record_store.chain(request.key, self.is_complete)
            return chain.without_time() if isinstance(request, GetChain) else chain
        except OSError as error:
            _log.write("records not read", repr(error))
            return RecordsNotRead(repr(error))

    async def _store_records(self, request: StoreRecords) -> object:
        if self.is_draining or self.is_leaving:
            return RecordsNotStored("this storage host is draining or leaving")
        if not self._has_room():
            return RecordsNotStored("this storage host has no memory for more records")
        try:
            records = [TurnRecord.from_row(row) for row in request.records]
            await self.record_store.write(records)
        except (OSError, ValueError) as error:
            return RecordsNotStored(repr(error))
        return RecordsStored()

    def _has_room(self) -> bool:
        """Return whether further records may be stored; log when that changes."""
        is_full = not self.record_store.has_room()
        if is_full != self._is_full:
            self._is_full = is_full
            _log.write(
                "records refused" if is_full else "records accepted",
                "their entries fill the memory for records"
                if is_full
                else "there is memory for records again",
                records=len(self.record_store.records),
            )
        return not is_full

    @Service.task
    async def _copy_missing_records(self) -> None:
        """Copy the records of all other disks if this one is new or was emptied."""
        if self.is_complete:
            return
        await self.copier.copy_all()
        await asyncio.to_thread(self.journal.mark_complete)
        self.is_complete = True

    async def drain(self) -> None:
        """Transfer all records to other storage hosts, then remove the disk.

        New records are refused from the start; errors are retried. Each record gets
        its copies on those storage hosts that respond. Hosts query every listed disk,
        so they could not rule out any turn if this one stayed listed.
        """
        self.is_draining = True
        closed_member = attrs.evolve(self.members.own_member, is_open=False)
        while True:
            try:
                await self.members.update_registration(closed_member)
                await self._transfer_records()
                while not await self.disk_list.remove(self.own_disk.disk_id):
                    await asyncio.sleep(_RETRY_S)
                await self.members.deregister()
            except (
                StorageLinkError,
                StoreUnavailableError,
                LeaseExpiredError,
            ) as error:
                _log.write("draining failed", str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            _log.write("drained", "records transferred")
            return

    async def _transfer_records(self) -> None:
        others = [
            each
            for each in self.peers.peers.values()
            if not self.peers.is_superseded(each.disk)
        ]
        copies = min(self.copies, max(1, len(others)))
        counts = await self.restorer.restore(copies, counts_own=False)
        _log.write("transferred", "drain requested", **attrs.asdict(counts))
        if counts.single:
            raise StorageLinkError(f"{counts.single} records have too few copies")

    async def leave(self, limit_ms: float) -> None:
        """Transfer the records without another copy, then end the registration.

        New records are refused from the start. Errors are retried until `limit_ms`
        has passed. The disk stays listed, since its host may start again with it.
        """
        self.is_leaving = True
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self._hand_over()
        except TimeoutError:
            _log.write("handing over incomplete", f"not done in {limit_ms:.0f} ms")

    async def _hand_over(self) -> None:
        while True:
            try:
                counts = await self.restorer.restore(1, counts_own=False)
                _log.write("handed over", "stop requested", **attrs.asdict(counts))
                await self.members.deregister()
            except (StorageLinkError, StoreUnavailableError) as error:
                _log.write("handing over failed", str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            return
