"""The disks that may hold turn records: entries in the key-value store, without lease.

An entry says that a disk exists, not that its host responds. So a disk that no host
reaches stays listed until it is removed, after its records were copied elsewhere.
"""

import asyncio
import random

import attrs
import msgpack

from celerypulley.clock import Clock
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

__all__ = ["DISK_PREFIX", "Disk", "DiskList"]

DISK_PREFIX = "disks/"
_WATCH_WAIT_MS = 30_000  # the longest that is allowed; changes arrive at once
_RETRY_MS = 1_000.0
# A removed disk's key stays for this long without a value, since a lost write of its
# entry may still be applied seconds later if the key doesn't exist.
_REMOVED_TTL_MS = 60_000
_REMOVED = b""
_log = DecisionLog("disks")


@attrs.frozen
class Disk:
    """One disk, and the storage host that serves it.

    `disk_id` is drawn once for an empty disk and kept on it, so a disk that was lost
    and replaced is another one.
    """

    disk_id: str
    host: str
    domain: str
    ip: str
    port: int

    def pack(self) -> bytes:
        """Return the disk encoded as the value of its entry."""
        return msgpack.packb((self.host, self.domain, self.ip, self.port))

    @classmethod
    def unpack(cls, disk_id: str, value: bytes) -> "Disk":
        """Return the disk in an entry's value; raise ValueError if it is invalid."""
        try:
            host, domain, ip, port = msgpack.unpackb(value)
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"entry of disk {disk_id} is invalid: {error}") from error
        are_texts = all(isinstance(each, str) and each for each in (host, domain, ip))
        if not are_texts or type(port) is not int or not 0 < port < 65_536:
            raise ValueError(f"entry of disk {disk_id} has invalid fields")
        return cls(disk_id, host, domain, ip, port)


class DiskList:
    """Follow the entries of all disks; add and remove entries.

    A former entry counts where a later one is invalid.
    """

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        """Follow the list once `follower` runs."""
        self.store = store
        self.disks: dict[str, Disk] = {}
        self.is_known = False
        self._revisions: dict[str, int] = {}
        self._removed_here: set[str] = set()
        self.follower = PrefixFollower(
            "disks",
            store,
            DISK_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            self._on_snapshot,
            self._on_item,
        )

    def others(self, own_disk_id: str) -> list[Disk]:
        """Return the listed disks except one."""
        return [each for each in self.disks.values() if each.disk_id != own_disk_id]

    async def read(self) -> dict[str, Disk]:
        """Return the disks that the store lists now; raise StoreUnavailableError."""
        batch = await self.store.read_prefix(DISK_PREFIX)
        disks = dict(self.disks)
        listed = {_disk_id(item) for item in batch.items if item.value != _REMOVED}
        for item in batch.items:
            disk = _decode(item)
            if disk is not None:
                disks[disk.disk_id] = disk
        return {disk_id: disk for disk_id, disk in disks.items() if disk_id in listed}

    async def add(self, disk: Disk) -> None:
        """Return once the store lists the disk at its address; retry until then.

        A disk that this process has removed is not added again.
        """
        key = DISK_PREFIX + disk.disk_id
        value = disk.pack()
        revision = self._revisions.get(disk.disk_id, 0)
        while disk.disk_id not in self._removed_here:
            try:
                revision = await self.store.write([Write(key, value, revision)])
                item = Item(key, value, revision)
            except ConditionFailedError as error:
                item = error.items.get(key)
            except StoreUnavailableError as error:
                item = await self._read_back(key, str(error))
            if item is not None and item.value == value:
                self._on_item(item)
                return
            revision = item.revision if item is not None else 0

    async def remove(self, disk_id: str) -> bool:
        """Remove a disk whose records are on other disks; retry until answered.

        Return whether it is off the list; False if its entry has changed since it was
        last seen here.
        """
        key = DISK_PREFIX + disk_id
        self._removed_here.add(disk_id)
        revision = self._revisions.get(disk_id)
        if revision is None:
            item = await self._read_back(key)
            if item is not None and not _is_listed(item):
                return True
            revision = item.revision if item is not None else 0
        while True:
            try:
                lease = await self.store.grant_lease(_REMOVED_TTL_MS)
                await self.store.write([Write(key, _REMOVED, revision, lease)])
                return True
            except ConditionFailedError as error:
                return not _is_listed(error.items.get(key))
            except LeaseExpiredError as error:
                _log.write("removal repeated", str(error), disk=disk_id)
            except StoreUnavailableError as error:
                item = await self._read_back(key, str(error))
                if (item.revision if item is not None else 0) != revision:
                    return not _is_listed(item)

    async def _read_back(self, key: str, failure: str = "") -> Item | None:
        """Return the item of a key, after a pause if a call has failed."""
        while True:
            if failure:
                _log.write("store not reached", failure, key=key)
                await asyncio.sleep(_RETRY_MS * random.uniform(0.5, 1.0) / 1000)
            try:
                return await self.store.read(key)
            except StoreUnavailableError as error:
                failure = str(error)

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        present = {_disk_id(item) for item in items}
        for disk_id in set(self._revisions) - present:
            self._remove(disk_id)
        for item in items:
            self._on_item(item)
        self.is_known = True

    def _on_item(self, item: Item) -> None:
        disk_id = _disk_id(item)
        if item.revision < self._revisions.get(disk_id, 0):
            return
        if not _is_listed(item):
            self._remove(disk_id)
            return
        self._revisions[disk_id] = item.revision
        disk = _decode(item)
        if disk is None or self.disks.get(disk_id) == disk:
            return
        self.disks[disk_id] = disk
        _log.write(
            "disk listed",
            "entry added or changed",
            disk=disk_id,
            storage_host=disk.host,
            domain=disk.domain,
            ip=disk.ip,
            port=disk.port,
        )

    def _remove(self, disk_id: str) -> None:
        self._revisions.pop(disk_id, None)
        disk = self.disks.pop(disk_id, None)
        if disk is not None:
            _log.write(
                "disk removed", "entry removed", disk=disk_id, storage_host=disk.host
            )


def _disk_id(item: Item) -> str:
    return item.key.removeprefix(DISK_PREFIX)


def _is_listed(item: Item | None) -> bool:
    return item is not None and item.value not in (None, _REMOVED)


def _decode(item: Item) -> Disk | None:
    if not _is_listed(item):
        return None
    try:
        return Disk.unpack(_disk_id(item), item.value)
    except ValueError as error:
        _log.write("invalid entry ignored", str(error), revision=item.revision)
        return None
