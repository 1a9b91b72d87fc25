"""A keeper: it holds turn records on its disk, and copies them when it must.

A record lies on keepers in at least two failure domains. A keeper whose disk came
back empty copies what the others hold before it counts as complete again, and one
that is to be emptied hands its records to the others first.
"""

import asyncio

import attrs
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.hosts.fleet_members import STORAGE_HOST, FleetMember, FleetMembers
from celerypulley.hosts.record_store import RecordStore, TurnRecord
from celerypulley.links.key_value import LeaseExpiredError, StoreUnavailableError
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import (
    GetChain,
    ListRecords,
    RecordPage,
    RecordsNotStored,
    RecordsStored,
    StoreRecords,
)
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["RecordService"]

_REQUEST_TIMEOUT_MS = 2_000.0  # a page of 256 KB on the slowest link, 15 Mbit/s
_RETRY_S = 0.3
_log = DecisionLog("keeper")


class RecordService(Service):
    """Answer hosts and other keepers from the shelf."""

    def __init__(
        self,
        record_store: RecordStore,
        journal: RecordJournal,
        members: FleetMembers,
        is_first_start: bool,
        clock: Clock,
    ) -> None:
        """Count as complete where the disk says so, or at the fleet's first start."""
        super().__init__()
        self.record_store = record_store
        self.journal = journal
        self.members = members
        self.clock = clock
        self.is_complete = journal.is_complete()
        self.is_draining = False
        if is_first_start and not self.is_complete:
            journal.mark_complete()
            self.is_complete = True

    async def handle(self, request: object) -> object:
        """Return the answer to a question of a host or another keeper."""
        if isinstance(request, StoreRecords):
            return await self._store_records(request)
        if isinstance(request, GetChain):
            return self.record_store.chain(request.key, self.is_complete)
        if isinstance(request, ListRecords):
            return self.record_store.page(request.after, self.is_complete)
        return RecordsNotStored(f"{type(request).__name__} is no question to a keeper")

    async def _store_records(self, request: StoreRecords) -> object:
        if self.is_draining:
            return RecordsNotStored("this keeper is being emptied")
        try:
            records = [TurnRecord.from_row(row) for row in request.records]
            await self.record_store.write(records)
        except (OSError, ValueError) as error:
            return RecordsNotStored(repr(error))
        return RecordsStored()

    @Service.task
    async def _copy_missing_records(self) -> None:
        """Copy what other keepers hold, until one pass over all of them succeeds."""
        while not self.should_stop and not self.is_complete:
            others = self.members.of_kind(STORAGE_HOST)
            if not others:
                await self.sleep(_RETRY_S)
                continue
            copied = 0
            try:
                for other in others:
                    copied += await self._copy_from(other)
            except (StorageLinkError, OSError) as error:
                _log.write("not complete yet", str(error), keepers=len(others))
                await self.sleep(_RETRY_S)
                continue
            await asyncio.to_thread(self.journal.mark_complete)
            self.is_complete = True
            _log.write(
                "complete", "copied from the others", records=copied, of=len(others)
            )

    async def _copy_from(self, other: FleetMember) -> int:
        link = StorageLink((other.ip, other.port))
        copied = 0
        after = ""
        try:
            while True:
                page = await link.request(ListRecords(after), _REQUEST_TIMEOUT_MS)
                if not isinstance(page, RecordPage):
                    raise StorageLinkError(f"{other.name} sent no page")
                records = [TurnRecord.from_row(row) for row in page.records]
                missing = [r for r in records if r.key not in self.record_store.records]
                if missing:
                    await self.record_store.write(missing)
                copied += len(missing)
                if not page.more or not records:
                    return copied
                after = records[-1].key
        except ValueError as error:
            raise StorageLinkError(f"{other.name} sent no records: {error}") from error
        finally:
            link.close()

    async def drain(self) -> None:
        """Hand every record to the other keepers, and leave the members.

        New records are refused from the beginning on. Hosts would ask a keeper that is
        gone but still registered for every turn, and wait.
        """
        self.is_draining = True
        closed_member = attrs.evolve(self.members.own_member, is_open=False)
        while True:
            try:
                await self.members.update_registration(closed_member)
                transferred = await self._transfer_records()
                await self.members.deregister()
            except (
                StorageLinkError,
                StoreUnavailableError,
                LeaseExpiredError,
            ) as error:
                _log.write("not empty yet", str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            _log.write("empty", "other keepers have its records", records=transferred)
            return

    async def _transfer_records(self) -> int:
        others = [each for each in self.members.of_kind(STORAGE_HOST) if each.is_open]
        if not others and self.record_store.records:
            raise StorageLinkError("no other keeper is known")
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
                raise StorageLinkError(f"records were not kept: {reply}")
            transferred += len(page.records)
            after = page.records[-1][0]
