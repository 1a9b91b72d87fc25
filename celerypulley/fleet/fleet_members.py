"""Membership of the fleet: entries in the key-value store, each under a lease."""

import asyncio
import random
import zlib

import attrs
import msgpack
from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_value import (
    ConditionFailedError,
    Item,
    KeyValueStore,
    LeaseExpiredError,
    StoreUnavailableError,
    Write,
)
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["HOST", "MEMBER_PREFIX", "STORAGE_HOST", "FleetMember", "FleetMembers"]

MEMBER_PREFIX = "members/"
HOST = "host"
STORAGE_HOST = "keeper"
_WATCH_WAIT_MS = 20_000  # at most 30 s are allowed; changes arrive at once
_LEASE_TTL_MS = 20_000  # the rate share of a host that died is unused for this long
_RENEW_PERIOD_MS = 4_000  # two renewals may be lost before the lease expires
_RETRY_MS = 1_000.0
# A process that lost its registration may go on. For this long others count it among
# those that share a limit, and it uses its share.
_COUNTED_MS = 120_000.0
_NO_HOSTS: frozenset[str] = frozenset()
# While a large fleet starts, each response then has many of the hosts that join.
_READ_PAUSE_MS_PER_MEMBER = 10.0
_log = DecisionLog("members")


@attrs.frozen
class FleetMember:
    """One process of the fleet.

    `kind` is HOST or STORAGE_HOST; `is_open` tells whether it accepts new work.
    """

    name: str
    kind: str
    domain: str
    ip: str
    port: int
    is_open: bool = True

    def pack(self) -> bytes:
        """Return the member encoded as the value of its entry."""
        return msgpack.packb((self.kind, self.domain, self.ip, self.port, self.is_open))

    @classmethod
    def unpack(cls, name: str, value: bytes) -> "FleetMember":
        """Return the member in an entry's value; raise ValueError if it is invalid."""
        try:
            kind, domain, ip, port, is_open = msgpack.unpackb(value)
        except (TypeError, msgpack.UnpackException) as error:
            raise ValueError(f"entry of {name} is invalid: {error}") from error
        return cls(str(name), str(kind), str(domain), str(ip), int(port), bool(is_open))


class FleetMembers(Service):
    """Register this process and follow the entries of all others.

    `addresses` and `domains` contain hosts only, `storage_addresses` the other storage
    hosts. What the store has under this process's name is followed too, and put right
    when it differs.
    """

    def __init__(
        self, own_member: FleetMember, store: KeyValueStore, clock: Clock
    ) -> None:
        """Register `own_member` once the service runs."""
        super().__init__()
        self.own_member = own_member
        self.store = store
        self.others: dict[str, FleetMember] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.domains: dict[str, str] = {}
        self.storage_addresses: dict[str, tuple[str, int]] = {}
        self.clock = clock
        self._lease = 0
        self._own_entry: Item | None = None
        self._is_deregistering = False
        self._registered_ms = NEVER_MS
        self._left_ms: dict[str, float] = {}
        self._sharing = _NO_HOSTS
        self._index_host(own_member)
        self.follower = PrefixFollower(
            "members",
            store,
            MEMBER_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            self._on_snapshot,
            self._on_item,
            lambda: len(self.others) * _READ_PAUSE_MS_PER_MEMBER,
        )

    def of_kind(self, kind: str) -> list[FleetMember]:
        """Return the other members of a kind, HOST or STORAGE_HOST."""
        return [each for each in self.others.values() if each.kind == kind]

    def sharing_hosts(self) -> frozenset[str]:
        """Return the hosts among which a limit is shared without messages.

        They are, or were until recently, registered. It is empty while this process
        does not know them, or may not be counted by the others. The same object is
        returned until they change.
        """
        now_ms = self.clock.now_ms()
        if self.follower.confirmed_ms == NEVER_MS:
            return _NO_HOSTS
        if now_ms - self._registered_ms > _COUNTED_MS:
            return _NO_HOSTS
        for name in [n for n, t in self._left_ms.items() if now_ms - t > _COUNTED_MS]:
            del self._left_ms[name]
        if self._sharing != self.addresses.keys() | self._left_ms.keys():
            self._sharing = frozenset((*self.addresses, *self._left_ms))
        return self._sharing

    def view_digest(self) -> int:
        """Return a checksum of the known hosts, the same for the same view."""
        return zlib.crc32("\0".join(sorted(self.addresses)).encode())

    def _index_host(self, member: FleetMember) -> None:
        if member.kind == HOST:
            self.addresses[member.name] = (member.ip, member.port)
            self.domains[member.name] = member.domain

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        listed = {item.key.removeprefix(MEMBER_PREFIX) for item in items}
        for name in set(self.others) - listed:
            self._remove(name)
        if self.own_member.name not in listed:
            self._own_entry = None
        for item in items:
            self._on_item(item)

    def _on_item(self, item: Item) -> None:
        name = item.key.removeprefix(MEMBER_PREFIX)
        if name == self.own_member.name:
            self._on_own_item(item)
            return
        if item.value is None:
            self._remove(name)
            return
        try:
            member = FleetMember.unpack(name, item.value)
        except ValueError as error:
            _log.write("invalid entry ignored", str(error), revision=item.revision)
            return
        if self.others.get(name) == member:
            return
        self.others[name] = member
        self._index_host(member)
        if member.kind == STORAGE_HOST:
            self.storage_addresses[name] = (member.ip, member.port)
        _log.write(
            "joined",
            "entry added or changed",
            member=name,
            kind=member.kind,
            domain=member.domain,
            ip=member.ip,
            is_open=member.is_open,
        )

    def _on_own_item(self, item: Item) -> None:
        if self._own_entry is None or item.revision > self._own_entry.revision:
            self._own_entry = item if item.value is not None else None

    def _remove(self, name: str) -> None:
        if self.others.pop(name, None) is None:
            return
        if self.addresses.pop(name, None) is not None:
            self._left_ms[name] = self.clock.now_ms()
        self.domains.pop(name, None)
        self.storage_addresses.pop(name, None)
        _log.write("left", "lease ended", member=name)

    @Service.task
    async def _maintain_registration(self) -> None:
        while not self.should_stop and not self._is_deregistering:
            requested_ms = self.clock.now_ms()
            try:
                if self._lease:
                    await self.store.renew_lease(self._lease)
                else:
                    self._lease = await self.store.grant_lease(_LEASE_TTL_MS)
                await self._write_entry()
                self._registered_ms = requested_ms
            except LeaseExpiredError as error:
                _log.write("lease lost, registering again", str(error))
                self._lease = 0
                continue
            except StoreUnavailableError as error:
                _log.write("registration failed", str(error))
                await asyncio.sleep(_RETRY_MS * random.uniform(0.5, 1.0) / 1000)
                continue
            await self.sleep(_RENEW_PERIOD_MS / 1000)

    async def _write_entry(self) -> None:
        """Write the entry of this process unless the store is known to have it.

        A write whose answer is lost may be applied seconds later, so its condition is
        what was last seen, which a later write changes.
        """
        key = MEMBER_PREFIX + self.own_member.name
        while not self._is_registered():
            value = self.own_member.pack()
            lease = self._lease
            before = self._own_entry
            revision = before.revision if before is not None else 0
            try:
                revision = await self.store.write([Write(key, value, revision, lease)])
            except ConditionFailedError as error:
                self._own_entry = error.items.get(key)
                continue
            self._own_entry = Item(key, value, revision, lease)
            _log.write(
                "registered",
                "another entry was replaced" if before else "no entry was known",
                lease=lease,
                former_lease=before.lease if before else 0,
                revision=revision,
            )

    def _is_registered(self) -> bool:
        entry = self._own_entry
        if entry is None:
            return False
        return entry.lease == self._lease and entry.value == self.own_member.pack()

    async def update_registration(self, own_member: FleetMember) -> None:
        """Replace the entry of this process.

        Raise StoreUnavailableError or LeaseExpiredError if the former entry may remain.
        """
        self.own_member = own_member
        if self._lease and not self._is_deregistering:
            await self._write_entry()

    async def deregister(self) -> None:
        """End the registration of this process permanently.

        Raise StoreUnavailableError if it may still be registered.
        """
        self._is_deregistering = True
        if self._lease:
            await self.store.end_lease(self._lease)
        _log.write(
            "left", "registration ended by this process", member=self.own_member.name
        )
