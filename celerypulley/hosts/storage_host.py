"""A storage host: a machine that stores turn records on its disk."""

from mode import Service

from celerypulley import __version__
from celerypulley.client_limits.memory_account import (
    MemoryAccount,
    client_memory_bytes,
    connection_limit,
    record_memory_bytes,
)
from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import CallerLimits
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.disk_list import Disk, DiskList
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMember, FleetMembers
from celerypulley.fleet.window_copier import WitnessCopier
from celerypulley.fleet.window_saver import WindowSaver
from celerypulley.fleet.window_witness import WindowWitness
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.record_service import RecordService
from celerypulley.hosts.record_store import RecordStore
from celerypulley.links.client_policy import REFUSED_KINDS, ClientPolicy
from celerypulley.links.key_value import KeyValueStore
from celerypulley.links.probe_server import ProbeServer
from celerypulley.links.storage_messages import RecordsNotStored, StoreRecords
from celerypulley.links.storage_server import StorageServer
from celerypulley.storage.record_journal import RecordJournal
from celerypulley.storage.window_journal import WindowJournal

__all__ = ["StorageHost"]

_MB = 1024 * 1024
_SUMMARY_PERIOD_S = 10.0
_LIST_CHECK_PERIOD_S = 0.1
_log = DecisionLog("host")


class StorageHost(Service):
    """The services of one storage host."""

    def __init__(
        self, settings: FleetSettings, store: KeyValueStore, clock: Clock
    ) -> None:
        """Read the records on disk; sockets are opened when the host starts."""
        super().__init__()
        assert settings.data_dir is not None, "a storage host needs a data directory"
        self.settings = settings
        own_member = FleetMember(
            settings.host_id,
            STORAGE_HOST,
            settings.domain,
            settings.ip,
            settings.fleet_port,
        )
        settings.data_dir.mkdir(parents=True, exist_ok=True)
        journal = RecordJournal(settings.data_dir)
        self.disk = Disk(
            journal.disk_id(),
            settings.host_id,
            settings.domain,
            settings.ip,
            settings.fleet_port,
        )
        self.disk_list = DiskList(store, clock)
        record_bytes = record_memory_bytes(settings.memory_mb)
        self.record_store = RecordStore(journal, clock, record_bytes)
        self.members = FleetMembers(own_member, store, clock)
        self.datagrams = FleetDatagrams(
            settings.host_id,
            settings.ip,
            settings.fleet_port,
            self.members.addresses,
        )
        self.window_witness = WindowWitness(
            self.datagrams, settings.quota_window_ms, clock
        )
        self.window_saver = WindowSaver(
            self.window_witness,
            WindowJournal(settings.data_dir),
            settings.is_first_start,
            clock,
        )
        self.record_service = RecordService(
            self.record_store,
            journal,
            self.members,
            self.disk,
            self.disk_list,
            settings.is_first_start,
            settings.tolerated_disk_losses,
            clock,
        )
        client_mb = settings.memory_mb - record_bytes / _MB
        self.client_policy = ClientPolicy(
            MemoryAccount(client_memory_bytes(client_mb)),
            CallerLimits,
            clock,
        )
        max_connections = connection_limit(settings.max_descriptors, client_mb)
        self.server = StorageServer(
            settings.ip,
            settings.fleet_port,
            max_connections,
            self.client_policy,
            self._handle,
            self.record_service.reply_bytes,
        )
        self.metrics_server = ProbeServer(
            settings.ip,
            settings.metrics_port,
            {"/metrics": self._metrics_response},
            self.client_policy,
            max_connections // 2,
        )

    async def on_start(self) -> None:
        """Start the services; requests are served before the host is registered."""
        _log.write(
            "started",
            f"version {__version__}",
            domain=self.settings.domain,
            disk=self.disk.disk_id,
            records=len(self.record_store.records),
            is_complete=self.record_service.is_complete,
        )
        for service in (
            self.metrics_server,
            self.server,
            self.disk_list.follower,
            self.members,
            self.members.follower,
            self.datagrams,
            self.window_saver,
            WitnessCopier(self.window_witness),
            self.record_service,
        ):
            await self.add_runtime_dependency(service)

    def is_listed(self) -> bool:
        """Return whether hosts search this disk for records."""
        return self.disk_list.disks.get(self.disk.disk_id) == self.disk

    async def _handle(self, request: object) -> object:
        """Return the reply to a request; store records on a listed disk only.

        A host that knows of no other disk would say that such a turn doesn't exist.
        """
        if isinstance(request, StoreRecords) and not self.is_listed():
            return RecordsNotStored("this disk is not listed yet")
        return await self.record_service.handle(request)

    @Service.task
    async def _keep_disk_listed(self) -> None:
        """List this disk at its present address, until it has been drained."""
        while not self.should_stop and not self.record_service.is_draining:
            if self.disk_list.is_known and not self.is_listed():
                await self.disk_list.add(self.disk)
            await self.sleep(_LIST_CHECK_PERIOD_S)

    def _metric_values(self) -> dict[str, int]:
        restorer = self.record_service.restorer
        return {
            "records": len(self.record_store.records),
            "syncs": self.record_store.syncs,
            "window_saves": self.window_saver.saves,
            "contents_held_bytes": self.record_store.held_bytes,
            "is_complete": int(self.record_service.is_complete),
            "members_known": len(self.members.others),
            "disks_known": len(self.disk_list.disks),
            "is_listed": int(self.is_listed()),
            "records_with_one_copy": restorer.records_with_one_copy,
            "copies_compared_ms": round(restorer.compared_ms),
            "client_held_bytes": self.client_policy.account.held_bytes,
            **{
                f"clients_refused_{kind}": self.client_policy.closed[kind]
                for kind in REFUSED_KINDS
            },
        }

    def _metrics_response(self) -> tuple[int, str]:
        lines = []
        for name, value in self._metric_values().items():
            lines.append(f"# TYPE celerypulley_keeper_{name} gauge")
            lines.append(f"celerypulley_keeper_{name} {value}")
        return 200, "\n".join(lines) + "\n"

    @Service.task
    async def _log_summary(self) -> None:
        while not self.should_stop:
            await self.sleep(_SUMMARY_PERIOD_S)
            calls = {f"store_{kind}": n for kind, n in self.members.store.calls.items()}
            _log.write(
                "summary", "totals since start", **self._metric_values(), **calls
            )
