"""Write turn records to storage hosts and find chains of turns on them."""

import asyncio
from collections.abc import Iterable

import attrs

from celerypulley.client_limits.byte_semaphore import ByteSemaphore
from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.disk_list import Disk, DiskList
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMember, FleetMembers
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import (
    GetKeptChain,
    KeptChain,
    RecordsStored,
    StoreRecords,
)
from celerypulley.storage.turn_records import TurnRecord

__all__ = ["ChainResult", "StorageHostPool"]

_MIN_DOMAINS = 2  # a record survives the loss of a failure domain
_REQUEST_TIMEOUT_MS = 300.0  # a tenth of a turn's deadline; a sync takes 5 ms
_HEDGE_DELAY_MS = 40.0  # several syncs; another storage host is tried then
_BACKOFF_MS = 1_000.0  # without writes to a storage host whose request failed
_SENDING_BYTES = 4 * 1024 * 1024  # of a pool that is given no limit
_log = DecisionLog("keepers")


@attrs.frozen
class ChainResult:
    """The newest turns of a chain, as far as one storage host has them.

    `parts` are [input, output], oldest first, and `missing` is the key of the turn
    before them, "" where the chain is complete. All disks that have a part keep it
    until `kept_until_ms`, a wall-clock time, or for longer. If no turn was found,
    `is_confirmed` tells whether all of `disks`, those that were known, have said so.
    """

    found: bool
    parts: list
    missing: str
    kept_until_ms: float = 0.0
    is_confirmed: bool = True
    disks: tuple[Disk, ...] = ()


class StorageHostPool:
    """Connections to storage hosts, with back-off after failed requests."""

    def __init__(
        self,
        members: FleetMembers,
        disk_list: DiskList,
        domain: str,
        copies: int,
        clock: Clock,
        sending_bytes: int = _SENDING_BYTES,
    ) -> None:
        """Store each record on at least `copies` hosts in at least two domains.

        Records are written to registered `members` and searched on all disks of
        `disk_list`, whether or not their hosts are registered. Those that are being
        sent hold at most `sending_bytes`, others wait.
        """
        self.members = members
        self.disk_list = disk_list
        self.domain = domain
        self.copies = max(_MIN_DOMAINS, copies)
        self.clock = clock
        self._links: dict[tuple[str, int], StorageLink] = {}
        self._backoff_until_ms: dict[tuple[str, int], float] = {}
        self._unresponsive: set[tuple[str, int]] = set()
        self._abandoned_requests: set[asyncio.Task] = set()
        self._writes = ByteSemaphore(sending_bytes)

    def _link(self, address: tuple[str, int]) -> StorageLink:
        link = self._links.get(address)
        if link is None:
            self._close_unused_links()
            link = self._links[address] = StorageLink(address)
        return link

    def _close_unused_links(self) -> None:
        in_use = {_address(each) for each in self.disk_list.disks.values()}
        in_use |= {_address(each) for each in self.members.of_kind(STORAGE_HOST)}
        for address in set(self._links) - in_use:
            self._links.pop(address).close()
            self._backoff_until_ms.pop(address, None)
            self._unresponsive.discard(address)

    def count_unresponsive(self) -> int:
        """Return the number of listed disks whose last request got no reply."""
        disks = self.disk_list.disks.values()
        return sum(_address(each) in self._unresponsive for each in disks)

    def placement_order(self, key: str) -> list[FleetMember]:
        """Return the storage hosts that accept a record, in order of preference.

        The first is in this failure domain, the next ones in one other domain each,
        and so on. The order within and among domains depends on the key, to spread
        records evenly. Storage hosts in back-off are excluded.
        """
        by_domain: dict[str, dict[str, FleetMember]] = {}
        for storage_host in self.members.of_kind(STORAGE_HOST):
            if storage_host.is_open and not self._is_in_backoff(storage_host):
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

    def _is_in_backoff(self, storage_host: FleetMember | Disk) -> bool:
        until_ms = self._backoff_until_ms.get(_address(storage_host), NEVER_MS)
        return until_ms > self.clock.now_ms()

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
        size_bytes = record.size_bytes()
        pending: dict[asyncio.Task, FleetMember] = {}
        stored_on: list[FleetMember] = []

        def send_next() -> None:
            if candidates:
                storage_host = candidates.pop(0)
                task = asyncio.create_task(self._request(storage_host, request))
                task.add_done_callback(lambda _task: self._writes.release(size_bytes))
                pending[task] = storage_host
                self._writes.hold(size_bytes)

        await self._writes.acquire(self.copies * size_bytes)
        for _ in range(self.copies):
            send_next()
        self._writes.release(self.copies * size_bytes)
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

        Disks in this failure domain are queried first, those whose hosts are in
        back-off last. The first reply that has the record ends the search; without
        one, all replies are awaited.
        """
        disks = tuple(self.disk_list.disks.values())
        stages = self._search_stages(disks)
        pending: set[asyncio.Task] = set()
        done: set[asyncio.Task] = set()
        replies: list[object] = []
        try:
            while pending or stages:
                if stages and (not pending or not done):
                    pending |= self._request_all(stages.pop(0), key)
                done, pending = await _wait_first(pending, _HEDGE_DELAY_MS)
                replies += [task.result() for task in done]
                longest = _longest_chain(replies)
                if longest is not None:
                    return ChainResult(
                        True, longest.parts, longest.missing, longest.kept_until_ms
                    )
        finally:
            self._abandon(pending)
        is_confirmed = bool(disks) and all(
            isinstance(each, KeptChain) and each.is_complete for each in replies
        )
        return ChainResult(False, [], key, 0.0, is_confirmed, disks)

    def _search_stages(self, disks: tuple[Disk, ...]) -> list[list[Disk]]:
        stages: tuple[list[Disk], list[Disk], list[Disk]] = ([], [], [])
        for disk in disks:
            if self._is_in_backoff(disk):
                stages[2].append(disk)
            else:
                stages[0 if disk.domain == self.domain else 1].append(disk)
        return [stage for stage in stages if stage]

    async def are_all_disks(self, disks: tuple[Disk, ...]) -> bool:
        """Return whether the store lists no other disks now, at no other addresses.

        Raise StoreUnavailableError if it can't be read.
        """
        return set((await self.disk_list.read()).values()) <= set(disks)

    def _request_all(self, disks: list[Disk], key: str) -> set[asyncio.Task]:
        return {
            asyncio.create_task(self._request(each, GetKeptChain(key)))
            for each in disks
        }

    def _abandon(self, pending: Iterable[asyncio.Task]) -> None:
        """Let requests end in the background, since time-outs reveal broken links."""
        for task in pending:
            self._abandoned_requests.add(task)
            task.add_done_callback(self._abandoned_requests.discard)

    async def _request(
        self, storage_host: FleetMember | Disk, request: object
    ) -> object:
        """Return the reply of a storage host, None if there is none."""
        address = _address(storage_host)
        try:
            reply = await self._link(address).request(request, _REQUEST_TIMEOUT_MS)
        except StorageLinkError as error:
            self._backoff_until_ms[address] = self.clock.now_ms() + _BACKOFF_MS
            if address not in self._unresponsive:
                self._unresponsive.add(address)
                _log.write(
                    "request failed", str(error), storage_host=_name(storage_host)
                )
            return None
        if address in self._unresponsive:
            self._unresponsive.discard(address)
            _log.write(
                "responds again",
                "a request got a reply",
                storage_host=_name(storage_host),
            )
        return reply

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()


def _address(storage_host: FleetMember | Disk) -> tuple[str, int]:
    return storage_host.ip, storage_host.port


def _name(storage_host: FleetMember | Disk) -> str:
    return storage_host.host if isinstance(storage_host, Disk) else storage_host.name


async def _wait_first(
    pending: set[asyncio.Task], timeout_ms: float
) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
    """Wait for the first task or a timeout; return done and pending tasks."""
    if not pending:
        return set(), set()
    return await asyncio.wait(
        pending, timeout=timeout_ms / 1000, return_when=asyncio.FIRST_COMPLETED
    )


def _longest_chain(replies: list[object]) -> KeptChain | None:
    longest = None
    for reply in replies:
        if not isinstance(reply, KeptChain) or not reply.found:
            continue
        if longest is None or len(reply.parts) > len(longest.parts):
            longest = reply
    return longest
