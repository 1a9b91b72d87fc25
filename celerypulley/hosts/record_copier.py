"""Copy the records of all other disks to a new or emptied one."""

import asyncio

import attrs

from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.disk_list import Disk
from celerypulley.hosts.record_store import RecordStore
from celerypulley.hosts.storage_peers import StoragePeers
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import (
    GetState,
    ListRecords,
    RecordPage,
    StorageState,
)
from celerypulley.storage.turn_records import TurnRecord

__all__ = ["RecordCopier"]

_REQUEST_TIMEOUT_MS = 2_000.0  # a page of 256 KB on the slowest link, 15 Mbit/s
_RETRY_S = 0.3
_CHECK_PERIOD_S = 0.1
_MAX_PAGES = 8  # 2 MB in memory
_log = DecisionLog("keeper")


@attrs.define(eq=False)
class _Source:
    """One disk to copy from.

    `is_copied` tells whether all of its records were copied, `was_complete` whether
    it was complete before that. `has_failed` is about the last attempt, and `after`
    the key up to which its records were copied.
    """

    disk: Disk
    task: asyncio.Task | None = None
    is_copied: bool = False
    was_complete: bool = False
    has_failed: bool = False
    after: str = ""
    records: int = 0
    size_bytes: int = 0


class RecordCopier:
    """Copy from every other disk side by side, with one task for each."""

    def __init__(
        self, record_store: RecordStore, peers: StoragePeers, tolerated_losses: int
    ) -> None:
        """Copy to `record_store`; `tolerated_losses` disks may be lost at once."""
        self.record_store = record_store
        self.peers = peers
        self.tolerated_losses = tolerated_losses
        self._sources: dict[str, _Source] = {}
        self._page_slots = asyncio.Semaphore(_MAX_PAGES)

    async def copy_all(self) -> None:
        """Return once every record that this disk should have is on it."""
        try:
            while not self._has_every_record():
                await asyncio.sleep(_CHECK_PERIOD_S)
                self._match_list()
        finally:
            for source in self._sources.values():
                if source.task is not None:
                    source.task.cancel()
        missing = [each for each in self._sources.values() if not each.is_copied]
        _log.write(
            "complete",
            "copied missing records",
            records=sum(each.records for each in self._sources.values()),
            bytes=sum(each.size_bytes for each in self._sources.values()),
            storage_hosts=len(self._sources) - len(missing),
            not_copied=",".join(sorted(each.disk.host for each in missing)),
        )

    def _match_list(self) -> None:
        listed = {
            each.disk_id: each
            for each in self.peers.disk_list.others(self.peers.own_disk.disk_id)
        }
        for disk_id, source in list(self._sources.items()):
            if listed.get(disk_id) == source.disk:
                continue
            del self._sources[disk_id]
            if source.task is not None:
                source.task.cancel()
        for disk_id, disk in listed.items():
            if disk_id in self._sources:
                continue
            source = self._sources[disk_id] = _Source(disk)
            if disk.host != self.peers.own_disk.host:
                source.task = asyncio.create_task(self._copy_from(source))

    def _has_every_record(self) -> bool:
        """Return whether each other disk was copied, or all of its records elsewhere.

        A superseded disk can't be copied, and the records of a covered one are on
        others. While no more disks are missing than may be lost, each record of theirs
        has another copy on a disk that was complete.
        """
        if not self.peers.disk_list.is_known or not self._sources:
            return False
        missing = [
            each
            for each in self._sources.values()
            if not each.is_copied and not self._is_covered(each)
        ]
        present = [each for each in self._sources.values() if each.is_copied]
        absent = [each for each in missing if not self._is_superseded(each)]
        if not absent:
            return True
        return (
            all(each.has_failed for each in absent)
            and len(missing) <= self.tolerated_losses
            and all(each.was_complete for each in present)
        )

    def _is_superseded(self, source: _Source) -> bool:
        return self.peers.is_superseded(source.disk)

    def _is_covered(self, source: _Source) -> bool:
        return self.peers.is_covered(source.disk)

    async def _copy_from(self, source: _Source) -> None:
        """Copy a disk, again when it is complete, and retry until it succeeds."""
        link = StorageLink((source.disk.ip, source.disk.port))
        try:
            while not source.was_complete:
                try:
                    is_complete = await self._is_complete(source, link)
                    if source.is_copied and not is_complete:
                        await asyncio.sleep(_RETRY_S)
                        continue
                    await self._copy_pages(source, link)
                except (StorageLinkError, OSError) as error:
                    if not source.has_failed:
                        _log.write(
                            "copying failed",
                            str(error),
                            storage_host=source.disk.host,
                            disk=source.disk.disk_id,
                        )
                    source.has_failed = True
                    await asyncio.sleep(_RETRY_S)
                    continue
                source.has_failed = False
                source.is_copied = True
                source.was_complete = is_complete
        finally:
            link.close()

    async def _is_complete(self, source: _Source, link: StorageLink) -> bool:
        state = await link.request(GetState(), _REQUEST_TIMEOUT_MS)
        if not isinstance(state, StorageState):
            raise StorageLinkError(f"{source.disk.host} did not send its state")
        if state.disk_id != source.disk.disk_id:
            raise StorageLinkError(f"{source.disk.host} uses disk {state.disk_id}")
        return state.is_complete

    async def _copy_pages(self, source: _Source, link: StorageLink) -> None:
        while True:
            async with self._page_slots:
                page = await link.request(
                    ListRecords(source.after), _REQUEST_TIMEOUT_MS
                )
                if not isinstance(page, RecordPage):
                    raise StorageLinkError(
                        f"{source.disk.host} did not send a page of records"
                    )
                try:
                    records = [TurnRecord.from_row(row) for row in page.records]
                except ValueError as error:
                    raise StorageLinkError(
                        f"{source.disk.host} sent invalid records: {error}"
                    ) from error
                known = self.record_store.records
                missing = [each for each in records if each.key not in known]
                if missing:
                    await self.record_store.write(missing)
            source.records += len(missing)
            source.size_bytes += sum(each.size_bytes() for each in missing)
            if not page.more or not records:
                source.after = ""
                return
            source.after = records[-1].key
