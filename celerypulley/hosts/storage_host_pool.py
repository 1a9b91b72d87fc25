"""Write turn records to storage hosts and find chains of turns on them."""

import asyncio
from collections.abc import Iterable

import attrs

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMember, FleetMembers
from celerypulley.hosts.record_store import TurnRecord
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import (
    GetChain,
    RecordsStored,
    StoredChain,
    StoreRecords,
)

__all__ = ["ChainResult", "StorageHostPool"]

_MIN_DOMAINS = 2  # a record survives the loss of a failure domain
_REQUEST_TIMEOUT_MS = 300.0  # a tenth of a turn's deadline; a sync takes 5 ms
_HEDGE_DELAY_MS = 40.0  # several syncs; another storage host is tried then
_BACKOFF_MS = 1_000.0  # without writes to a storage host whose request failed
_log = DecisionLog("keepers")


@attrs.frozen
class ChainResult:
    """The newest turns of a chain, as far as one storage host has them.

    `parts` are [input, output], oldest first, and `missing` is the key of the turn
    before them, "" where the chain is complete. If no turn was found, `is_confirmed`
    tells whether it is certain that no storage host has the newest one.
    """

    found: bool
    parts: list
    missing: str
    is_confirmed: bool


class StorageHostPool:
    """Connections to storage hosts, with back-off after failed requests."""

    def __init__(
        self, members: FleetMembers, domain: str, copies: int, clock: Clock
    ) -> None:
        """Store each record on at least `copies` hosts in at least two domains."""
        self.members = members
        self.domain = domain
        self.copies = max(_MIN_DOMAINS, copies)
        self.clock = clock
        self._links: dict[str, StorageLink] = {}
        self._backoff_until_ms: dict[str, float] = {}
        self._abandoned_requests: set[asyncio.Task] = set()

    def _link(self, storage_host: FleetMember) -> StorageLink:
        address = (storage_host.ip, storage_host.port)
        link = self._links.get(storage_host.name)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[storage_host.name] = StorageLink(address)
        return link

    def placement_order(self, key: str) -> list[FleetMember]:
        """Return the storage hosts that accept a record, in order of preference.

        The first is in this failure domain, the next ones in one other domain each,
        and so on. The order within and among domains depends on the key, to spread
        records evenly. Storage hosts in back-off are excluded.
        """
        now_ms = self.clock.now_ms()
        by_domain: dict[str, dict[str, FleetMember]] = {}
        for storage_host in self.members.of_kind(STORAGE_HOST):
            if (
                storage_host.is_open
                and self._backoff_until_ms.get(storage_host.name, NEVER_MS) <= now_ms
            ):
                by_domain.setdefault(storage_host.domain, {})[storage_host.name] = (
                    storage_host
                )
        ordered = []
        while by_domain:
            domains = list(by_domain)
            if self.domain in domains:
                domains.remove(self.domain)
                self._append_next(key, self.domain, by_domain, ordered)
            while domains:
                domain = rendezvous(key, domains)
                domains.remove(domain)
                self._append_next(key, domain, by_domain, ordered)
        return ordered

    def _append_next(
        self,
        key: str,
        domain: str,
        by_domain: dict[str, dict[str, FleetMember]],
        ordered: list[FleetMember],
    ) -> None:
        storage_hosts = by_domain[domain]
        ordered.append(storage_hosts.pop(rendezvous(key, storage_hosts)))
        if not storage_hosts:
            del by_domain[domain]

    async def write(self, record: TurnRecord) -> bool:
        """Write a record; return whether enough storage hosts have it on disk."""
        candidates = self.placement_order(record.key)
        if not self._has_enough_copies(candidates):
            return False
        request = StoreRecords([record.to_row()])
        pending: dict[asyncio.Task, FleetMember] = {}
        stored_on: list[FleetMember] = []

        def send_next() -> None:
            if candidates:
                storage_host = candidates.pop(0)
                task = asyncio.create_task(self._request(storage_host, request))
                pending[task] = storage_host

        for _ in range(self.copies):
            send_next()
        try:
            while pending:
                done, _ = await asyncio.wait(
                    pending,
                    timeout=_HEDGE_DELAY_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    send_next()
                for task in done:
                    storage_host = pending.pop(task)
                    if isinstance(task.result(), RecordsStored):
                        stored_on.append(storage_host)
                    else:
                        send_next()
                if self._has_enough_copies(stored_on):
                    return True
        finally:
            self._abandon(pending)
        return False

    def _has_enough_copies(self, storage_hosts: list[FleetMember]) -> bool:
        domains = {each.domain for each in storage_hosts}
        return len(storage_hosts) >= self.copies and len(domains) >= _MIN_DOMAINS

    async def find_chain(self, key: str) -> ChainResult:
        """Return the turns of the chain that ends with `key`, as far as found.

        Storage hosts in this failure domain are queried first. The first reply that
        has the record ends the search; without one, all replies are awaited.
        """
        storage_hosts = self.members.of_kind(STORAGE_HOST)
        local = [each for each in storage_hosts if each.domain == self.domain]
        remote = [each for each in storage_hosts if each.domain != self.domain]
        pending = self._request_all(local, key)
        replies: list[object] = []
        try:
            while pending or remote:
                done, pending = await _wait_first(pending, _HEDGE_DELAY_MS)
                replies += [task.result() for task in done]
                longest = _longest_chain(replies)
                if longest is not None:
                    return ChainResult(True, longest.parts, longest.missing, True)
                if remote and (not pending or not done):
                    pending |= self._request_all(remote, key)
                    remote = []
        finally:
            self._abandon(pending)
        is_confirmed = bool(storage_hosts) and all(
            isinstance(each, StoredChain) and each.is_complete for each in replies
        )
        return ChainResult(False, [], key, is_confirmed)

    def _request_all(
        self, storage_hosts: list[FleetMember], key: str
    ) -> set[asyncio.Task]:
        return {
            asyncio.create_task(self._request(each, GetChain(key)))
            for each in storage_hosts
        }

    def _abandon(self, pending: Iterable[asyncio.Task]) -> None:
        """Let requests end in the background, since time-outs reveal broken links."""
        for task in pending:
            self._abandoned_requests.add(task)
            task.add_done_callback(self._abandoned_requests.discard)

    async def _request(self, storage_host: FleetMember, request: object) -> object:
        """Return the reply of a storage host, None if there is none."""
        try:
            return await self._link(storage_host).request(request, _REQUEST_TIMEOUT_MS)
        except StorageLinkError as error:
            self._backoff_until_ms[storage_host.name] = (
                self.clock.now_ms() + _BACKOFF_MS
            )
            _log.write("request failed", str(error), storage_host=storage_host.name)
            return None

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()


async def _wait_first(
    pending: set[asyncio.Task], timeout_ms: float
) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
    """Wait for the first task or a timeout; return done and pending tasks."""
    if not pending:
        return set(), set()
    return await asyncio.wait(
        pending, timeout=timeout_ms / 1000, return_when=asyncio.FIRST_COMPLETED
    )


def _longest_chain(replies: list[object]) -> StoredChain | None:
    longest = None
    for reply in replies:
        if not isinstance(reply, StoredChain) or not reply.found:
            continue
        if longest is None or len(reply.parts) > len(longest.parts):
            longest = reply
    return longest
