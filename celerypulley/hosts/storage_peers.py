"""The other disks as one storage host sees them: their links, and which respond."""

import asyncio

import attrs
from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.disk_list import Disk, DiskList
from celerypulley.links.storage_link import StorageLink, StorageLinkError
from celerypulley.links.storage_messages import GetState, StorageState

__all__ = ["StoragePeer", "StoragePeers"]

_PROBE_PERIOD_S = 0.4
_PROBE_TIMEOUT_MS = 1_000.0
# A host that restarts within two seconds keeps its disk, and stays present.
_ABSENT_AFTER_MS = 2_500.0
_log = DecisionLog("storage-peers")


@attrs.define(eq=False)
class StoragePeer:
    """Another disk, the connection to its host, and what the host last replied."""

    disk: Disk
    link: StorageLink
    listed_ms: float
    state: StorageState | None = None
    replied_ms: float = NEVER_MS
    task: asyncio.Task | None = None

    def is_present(self, now_ms: float) -> bool:
        """Return whether the disk's host has replied lately."""
        return self.state is not None and now_ms - self.replied_ms < _ABSENT_AFTER_MS

    def is_settled(self, now_ms: float) -> bool:
        """Return whether it is known by now if the disk's host responds."""
        return self.state is not None or now_ms - self.listed_ms >= _ABSENT_AFTER_MS


class StoragePeers(Service):
    """Probe the host of every other listed disk, with one task for each."""

    def __init__(self, own_disk: Disk, disk_list: DiskList, clock: Clock) -> None:
        """Probe the disks of `disk_list` except `own_disk`."""
        super().__init__()
        self.own_disk = own_disk
        self.disk_list = disk_list
        self.clock = clock
        self.peers: dict[str, StoragePeer] = {}

    def present(self) -> list[StoragePeer]:
        """Return the peers whose hosts have replied lately."""
        now_ms = self.clock.now_ms()
        return [each for each in self.peers.values() if each.is_present(now_ms)]

    def is_superseded(self, disk: Disk) -> bool:
        """Return whether the disk's host uses another one, as it has lost this one."""
        if disk.host == self.own_disk.host:
            return disk.disk_id != self.own_disk.disk_id
        return any(
            each.disk.host == disk.host and each.disk.disk_id != disk.disk_id
            for each in self.present()
        )

    def is_covered(self, disk: Disk) -> bool:
        """Return whether all complete disks know copies of every record of `disk`."""
        states = [each.state for each in self.present()]
        complete = [each for each in states if each is not None and each.is_complete]
        return bool(complete) and all(disk.disk_id in each.covered for each in complete)

    @Service.task
    async def _follow_list(self) -> None:
        while not self.should_stop:
            self._match_list()
            await self.sleep(_PROBE_PERIOD_S / 2)

    def _match_list(self) -> None:
        listed = {
            each.disk_id: each for each in self.disk_list.others(self.own_disk.disk_id)
        }
        for disk_id, peer in list(self.peers.items()):
            if listed.get(disk_id) != peer.disk:
                self._remove(disk_id)
        for disk_id, disk in listed.items():
            if disk_id in self.peers:
                continue
            link = StorageLink((disk.ip, disk.port))
            peer = StoragePeer(disk, link, self.clock.now_ms())
            self.peers[disk_id] = peer
            if disk.host != self.own_disk.host:
                peer.task = asyncio.create_task(self._probe(peer))

    def _remove(self, disk_id: str) -> None:
        peer = self.peers.pop(disk_id)
        if peer.task is not None:
            peer.task.cancel()
        peer.link.close()

    async def _probe(self, peer: StoragePeer) -> None:
        was_present = False
        while not self.should_stop:
            reason = await self._probe_once(peer)
            is_present = peer.is_present(self.clock.now_ms())
            if is_present != was_present:
                was_present = is_present
                _log.write(
                    "present" if is_present else "absent",
                    reason,
                    storage_host=peer.disk.host,
                    disk=peer.disk.disk_id,
                )
            await asyncio.sleep(_PROBE_PERIOD_S)

    async def _probe_once(self, peer: StoragePeer) -> str:
        """Record the state of a peer's host; return what was seen."""
        try:
            reply = await peer.link.request(GetState(), _PROBE_TIMEOUT_MS)
        except StorageLinkError as error:
            return str(error)
        if not isinstance(reply, StorageState):
            return f"unexpected reply of type {type(reply).__name__}"
        if reply.disk_id != peer.disk.disk_id:
            peer.state = None
            return f"its host uses disk {reply.disk_id}"
        peer.state = reply
        peer.replied_ms = self.clock.now_ms()
        return "its host replied"

    async def on_stop(self) -> None:
        """End the probes and close the links."""
        for disk_id in list(self.peers):
            self._remove(disk_id)
