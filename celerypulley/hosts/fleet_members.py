"""The hosts of the fleet, each under a lease in the key-value service."""

import asyncio

import msgpack
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_value import (
    Item,
    KeyValueStore,
    LeaseGoneError,
    StoreUnavailableError,
    Write,
)
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["MEMBER_PREFIX", "FleetMembers"]

MEMBER_PREFIX = "members/"
_WATCH_WAIT_MS = 20_000  # changes come at once; below the longest wait, 30 s
_LEASE_MS = 12_000  # a dead host's part of rates is held back for this long
_RENEW_MS = 4_000  # two renewals may be lost
_RETRY_MS = 300.0
_log = DecisionLog("members")


class FleetMembers(Service):
    """Register this host, and know the addresses of all."""

    def __init__(
        self,
        host: str,
        domain: str,
        ip: str,
        port: int,
        store: KeyValueStore,
        clock: Clock,
    ) -> None:
        """Register `host` of failure domain `domain` at `ip` and `port`."""
        super().__init__()
        self.host = host
        self.domain = domain
        self.ip = ip
        self.port = port
        self.store = store
        self.addresses: dict[str, tuple[str, int]] = {host: (ip, port)}
        self.domains: dict[str, str] = {host: domain}
        self.follower = PrefixFollower(
            "members",
            store,
            MEMBER_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            self._take_snapshot,
            self._take_item,
        )

    def _take_snapshot(self, items: tuple[Item, ...]) -> None:
        listed = {item.key.removeprefix(MEMBER_PREFIX) for item in items}
        for host in set(self.addresses) - listed - {self.host}:
            self._remove(host)
        for item in items:
            self._take_item(item)

    def _take_item(self, item: Item) -> None:
        host = item.key.removeprefix(MEMBER_PREFIX)
        if host == self.host:
            return
        if item.value is None:
            self._remove(host)
            return
        try:
            domain, ip, port = msgpack.unpackb(item.value)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            _log.write("left out", str(error), member=host, revision=item.revision)
            return
        self.domains[host] = domain
        if self.addresses.get(host) != (ip, port):
            self.addresses[host] = (ip, port)
            _log.write("joined", "registered", member=host, ip=ip, domain=domain)

    def _remove(self, host: str) -> None:
        self.domains.pop(host, None)
        if self.addresses.pop(host, None) is not None:
            _log.write("left", "its lease has ended", member=host)

    @Service.task
    async def _stay_registered(self) -> None:
        lease = 0
        while not self.should_stop:
            try:
                if lease:
                    await self.store.renew_lease(lease)
                else:
                    lease = await self._register()
            except LeaseGoneError as error:
                _log.write("register again", str(error))
                lease = 0
                continue
            except StoreUnavailableError as error:
                _log.write("not registered", str(error))
                await asyncio.sleep(_RETRY_MS / 1000)
                continue
            await self.sleep(_RENEW_MS / 1000)

    async def _register(self) -> int:
        lease = await self.store.grant_lease(_LEASE_MS)
        value = msgpack.packb((self.domain, self.ip, self.port))
        await self.store.write([Write(MEMBER_PREFIX + self.host, value, lease=lease)])
        return lease
