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
from celerypulley.hosts.fleet_members import KEEPER, FleetMember, FleetMembers
from celerypulley.hosts.record_shelf import RecordShelf, TurnRecord
from celerypulley.links.keeper_link import KeeperLink, KeeperLinkError
from celerypulley.links.keeper_messages import (
    GetChain,
    KeptRecords,
    ListRecords,
    NotKept,
    PutRecords,
    RecordPage,
)
from celerypulley.links.key_value import LeaseGoneError, StoreUnavailableError
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["RecordKeeper"]

_ASK_TIMEOUT_MS = 2_000.0  # a page of 256 KB on the slowest link, 15 Mbit/s
_RETRY_S = 0.3
_log = DecisionLog("keeper")


class RecordKeeper(Service):
    """Answer hosts and other keepers from the shelf."""

    def __init__(
        self,
        shelf: RecordShelf,
        journal: RecordJournal,
        members: FleetMembers,
        is_first_start: bool,
        clock: Clock,
    ) -> None:
        """Count as complete where the disk says so, or at the fleet's first start."""
        super().__init__()
        self.shelf = shelf
        self.journal = journal
        self.members = members
        self.clock = clock
        self.is_complete = journal.is_complete()
        self.is_leaving = False
        if is_first_start and not self.is_complete:
            journal.mark_complete()
            self.is_complete = True

    async def answer(self, question: object) -> object:
        """Return the answer to a question of a host or another keeper."""
        if isinstance(question, PutRecords):
            return await self._put(question)
        if isinstance(question, GetChain):
            return self.shelf.chain(question.key, self.is_complete)
        if isinstance(question, ListRecords):
            return self.shelf.page(question.after, self.is_complete)
        return NotKept(f"{type(question).__name__} is no question to a keeper")

    async def _put(self, question: PutRecords) -> object:
        if self.is_leaving:
            return NotKept("this keeper is being emptied")
        try:
            records = [TurnRecord.from_row(row) for row in question.records]
            await self.shelf.put(records)
        except (OSError, ValueError) as error:
            return NotKept(repr(error))
        return KeptRecords()

    @Service.task
    async def _become_complete(self) -> None:
        """Copy what other keepers hold, until one pass over all of them succeeds."""
        while not self.should_stop and not self.is_complete:
            others = self.members.of_kind(KEEPER)
            if not others:
                await self.sleep(_RETRY_S)
                continue
            copied = 0
            try:
                for other in others:
                    copied += await self._copy_from(other)
            except (KeeperLinkError, OSError) as error:
                _log.write("not complete yet", str(error), keepers=len(others))
                await self.sleep(_RETRY_S)
                continue
            await asyncio.to_thread(self.journal.mark_complete)
            self.is_complete = True
            _log.write(
                "complete", "copied from the others", records=copied, of=len(others)
            )

    async def _copy_from(self, other: FleetMember) -> int:
        link = KeeperLink((other.ip, other.port))
        copied = 0
        after = ""
        try:
            while True:
                page = await link.ask(ListRecords(after), _ASK_TIMEOUT_MS)
                if not isinstance(page, RecordPage):
                    raise KeeperLinkError(f"{other.name} sent no page")
                records = [TurnRecord.from_row(row) for row in page.records]
                fresh = [r for r in records if r.key not in self.shelf.records]
                if fresh:
                    await self.shelf.put(fresh)
                copied += len(fresh)
                if not page.more or not records:
                    return copied
                after = records[-1].key
        except ValueError as error:
            raise KeeperLinkError(f"{other.name} sent no records: {error}") from error
        finally:
            link.close()

    async def empty(self) -> None:
        """Hand every record to the other keepers, and leave the members.

        New records are refused from the beginning on. Hosts would ask a keeper that is
        gone but still registered for every turn, and wait.
        """
        self.is_leaving = True
        closed = attrs.evolve(self.members.me, is_open=False)
        while True:
            try:
                await self.members.change(closed)
                handed = await self._hand_over()
                await self.members.leave()
            except (KeeperLinkError, StoreUnavailableError, LeaseGoneError) as error:
                _log.write("not empty yet", str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            _log.write("empty", "other keepers have its records", records=handed)
            return

    async def _hand_over(self) -> int:
        others = [each for each in self.members.of_kind(KEEPER) if each.is_open]
        if not others and self.shelf.records:
            raise KeeperLinkError("no other keeper is known")
        handed = 0
        for other in others:
            link = KeeperLink((other.ip, other.port))
            try:
                handed += await self._hand_to(link)
            finally:
                link.close()
        return handed

    async def _hand_to(self, link: KeeperLink) -> int:
        after = ""
        handed = 0
        while True:
            page = self.shelf.page(after, self.is_complete)
            if not page.records:
                return handed
            reply = await link.ask(PutRecords(page.records), _ASK_TIMEOUT_MS)
            if not isinstance(reply, KeptRecords):
                raise KeeperLinkError(f"records were not kept: {reply}")
            handed += len(page.records)
            after = page.records[-1][0]
