"""The keepers of turn records as a host sees them: which to write to, which to ask."""

import asyncio
from collections.abc import Iterable

import attrs

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.hosts.fleet_members import KEEPER, FleetMember, FleetMembers
from celerypulley.hosts.record_shelf import TurnRecord
from celerypulley.links.keeper_link import KeeperLink, KeeperLinkError
from celerypulley.links.keeper_messages import (
    GetChain,
    KeptChain,
    KeptRecords,
    PutRecords,
)

__all__ = ["ChainAnswer", "KeeperPool"]

_MIN_DOMAINS = 2  # a record outlasts the loss of a failure domain
_ASK_TIMEOUT_MS = 300.0  # a sync takes 5 ms; a tenth of a turn's deadline
_HEDGE_MS = 40.0  # several syncs: a keeper that is slower gets a substitute
_REST_MS = 1_000.0  # a keeper that did not answer is asked last for this long
_log = DecisionLog("keepers")


@attrs.frozen
class ChainAnswer:
    """What keepers know of a chain: the longest newest part that one of them has.

    `is_sure` says that no keeper can hold the record if none has it.
    """

    found: bool
    parts: list
    missing: str
    is_sure: bool


class KeeperPool:
    """Connections to keepers, and what was seen of them."""

    def __init__(
        self, members: FleetMembers, domain: str, copies: int, clock: Clock
    ) -> None:
        """Keep each record on `copies` keepers or more, in two failure domains."""
        self.members = members
        self.domain = domain
        self.copies = max(_MIN_DOMAINS, copies)
        self.clock = clock
        self._links: dict[str, KeeperLink] = {}
        self._rests_until_ms: dict[str, float] = {}
        self._late: set[asyncio.Task] = set()

    def _link(self, keeper: FleetMember) -> KeeperLink:
        address = (keeper.ip, keeper.port)
        link = self._links.get(keeper.name)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[keeper.name] = KeeperLink(address)
        return link

    def order(self, key: str) -> list[FleetMember]:
        """Return open keepers: this domain's first, then one of each other, and so on.

        The order depends on the key, so that records spread over equal keepers.
        """
        now_ms = self.clock.now_ms()
        by_domain: dict[str, dict[str, FleetMember]] = {}
        for keeper in self.members.of_kind(KEEPER):
            if keeper.is_open and self._rests_until_ms.get(keeper.name, 0.0) <= now_ms:
                by_domain.setdefault(keeper.domain, {})[keeper.name] = keeper
        ordered = []
        while by_domain:
            domains = list(by_domain)
            if self.domain in domains:
                domains.remove(self.domain)
                self._pick(key, self.domain, by_domain, ordered)
            while domains:
                domain = rendezvous(key, domains)
                domains.remove(domain)
                self._pick(key, domain, by_domain, ordered)
        return ordered

    def _pick(
        self,
        key: str,
        domain: str,
        by_domain: dict[str, dict[str, FleetMember]],
        ordered: list[FleetMember],
    ) -> None:
        keepers = by_domain[domain]
        ordered.append(keepers.pop(rendezvous(key, keepers)))
        if not keepers:
            del by_domain[domain]

    async def put(self, record: TurnRecord) -> bool:
        """Return whether enough keepers have a record on their disks."""
        candidates = self.order(record.key)
        if not self._are_enough(candidates):
            return False
        question = PutRecords([record.to_row()])
        pending: dict[asyncio.Task, FleetMember] = {}
        kept: list[FleetMember] = []

        def send_one() -> None:
            if candidates:
                keeper = candidates.pop(0)
                task = asyncio.create_task(self._ask(keeper, question))
                pending[task] = keeper

        for _ in range(self.copies):
            send_one()
        try:
            while pending:
                done, _ = await asyncio.wait(
                    pending,
                    timeout=_HEDGE_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    send_one()
                for task in done:
                    keeper = pending.pop(task)
                    if isinstance(task.result(), KeptRecords):
                        kept.append(keeper)
                    else:
                        send_one()
                if self._are_enough(kept):
                    return True
        finally:
            self._let_end(pending)
        return False

    def _are_enough(self, keepers: list[FleetMember]) -> bool:
        domains = {keeper.domain for keeper in keepers}
        return len(keepers) >= self.copies and len(domains) >= _MIN_DOMAINS

    async def find(self, key: str) -> ChainAnswer:
        """Return what the keepers know of the chain that ends with `key`.

        Near keepers are asked first. The first that has the record answers for all;
        only if none has it are all answers waited for.
        """
        keepers = self.members.of_kind(KEEPER)
        near = [each for each in keepers if each.domain == self.domain]
        far = [each for each in keepers if each.domain != self.domain]
        pending = self._ask_all(near, key)
        answers: list[object] = []
        try:
            while pending or far:
                done, pending = await _first_of(pending, _HEDGE_MS)
                answers += [task.result() for task in done]
                best = _best(answers)
                if best is not None:
                    return ChainAnswer(True, best.parts, best.missing, True)
                if far and (not pending or not done):
                    pending |= self._ask_all(far, key)
                    far = []
        finally:
            self._let_end(pending)
        sure = bool(keepers) and all(
            isinstance(each, KeptChain) and each.is_complete for each in answers
        )
        return ChainAnswer(False, [], key, sure)

    def _ask_all(self, keepers: list[FleetMember], key: str) -> set[asyncio.Task]:
        return {asyncio.create_task(self._ask(each, GetChain(key))) for each in keepers}

    def _let_end(self, pending: Iterable[asyncio.Task]) -> None:
        """Let questions end that nobody waits for: silence shows a bad connection."""
        for task in pending:
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _ask(self, keeper: FleetMember, question: object) -> object:
        """Return a keeper's answer, or None where it gave none."""
        try:
            return await self._link(keeper).ask(question, _ASK_TIMEOUT_MS)
        except KeeperLinkError as error:
            self._rests_until_ms[keeper.name] = self.clock.now_ms() + _REST_MS
            _log.write("no answer", str(error), keeper=keeper.name)
            return None

    def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            link.close()


async def _first_of(
    pending: set[asyncio.Task], timeout_ms: float
) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
    """Return the tasks that are done and those that are not, when some are or late."""
    if not pending:
        return set(), set()
    return await asyncio.wait(
        pending, timeout=timeout_ms / 1000, return_when=asyncio.FIRST_COMPLETED
    )


def _best(answers: list[object]) -> KeptChain | None:
    best = None
    for answer in answers:
        if not isinstance(answer, KeptChain) or not answer.found:
            continue
        if best is None or len(answer.parts) > len(best.parts):
            best = answer
    return best
