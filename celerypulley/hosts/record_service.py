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
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMembers
from celerypulley.hosts.record_copier import RecordCopier
from celerypulley.hosts.record_store import RecordStore, TurnRecord
from celerypulley.hosts.storage_peers import StoragePeers
from celerypulley.links.key_value import LeaseExpiredError, StoreUnavailableError
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import (
    GetChain,
    GetState,
    ListRecords,
    RecordsNotStored,
    RecordsStored,
    StorageState,
    StoreRecords,
)
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["RecordService"]

_REQUEST_TIMEOUT_MS = 2_000.0  # a page of 256 KB on the slowest link, 15 Mbit/s
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
        self.is_complete = journal.is_complete()
        self.is_draining = False
        self.peers = StoragePeers(own_disk, disk_list, clock)
        self.copier = RecordCopier(record_store, self.peers, tolerated_losses)
        if is_first_start and not self.is_complete:
            journal.mark_complete()
            self.is_complete = True

    async def on_start(self) -> None:
        """Start to probe the other disks."""
        await self.add_runtime_dependency(self.peers)

    async def handle(self, request: object) -> object:
        """Return the reply to a request."""
        if isinstance(request, StoreRecords):
            return await self._store_records(request)
        if isinstance(request, GetChain):
            return self.record_store.chain(request.key, self.is_complete)
        if isinstance(request, ListRecords):
            return self.record_store.page(request.after, self.is_complete)
        if isinstance(request, GetState):
            return StorageState(
                self.own_disk.disk_id, self.is_complete, self.is_draining
            )
        return RecordsNotStored(f"unexpected request of type {type(request).__name__}")

    async def _store_records(self, request: StoreRecords) -> object:
        if self.is_draining:
            return RecordsNotStored("this storage host is draining")
        try:
            records = [TurnRecord.from_row(row) for row in request.records]
            await self.record_store.write(records)
        except (OSError, ValueError) as error:
            return RecordsNotStored(repr(error))
        return RecordsStored()

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

        New records are refused from the start; errors are retried. Hosts query every
        listed disk, so they could not rule out any turn if it stayed listed.
        """
        self.is_draining = True
        closed_member = attrs.evolve(self.members.own_member, is_open=False)
        while True:
            try:
                await self.members.update_registration(closed_member)
                transferred = await self._transfer_records()
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
            _log.write("drained", "records transferred", records=transferred)
            return

    async def _transfer_records(self) -> int:
        others = [each for each in self.members.of_kind(STORAGE_HOST) if each.is_open]
        if not others and self.record_store.records:
            raise StorageLinkError("no other storage host is open")
        transferred = 0
        for other in others:
            link = StorageLink((other.ip, other.port))
            try:
                transferred += await self._transfer_to(link)
            finally:
                link.close()
        return transferred

    async def _transfer_to(self, link: StorageLink) -> int:
        after = ""
        transferred = 0
        while True:
            page = self.record_store.page(after, self.is_complete)
            if not page.records:
                return transferred
            reply = await link.request(StoreRecords(page.records), _REQUEST_TIMEOUT_MS)
            if not isinstance(reply, RecordsStored):
                raise StorageLinkError(f"records not stored: {reply}")
            transferred += len(page.records)
            after = page.records[-1][0]
