"""A storage host: a machine that stores turn records on its disk."""

from mode import Service

from celerypulley import __version__
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_members import STORAGE_HOST, FleetMember, FleetMembers
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.record_service import RecordService
from celerypulley.hosts.record_store import RecordStore
from celerypulley.links.key_value import KeyValueStore
from celerypulley.links.probe_server import ProbeServer
from celerypulley.links.storage_server import StorageServer
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["StorageHost"]

_SUMMARY_PERIOD_S = 10.0
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
        self.record_store = RecordStore(journal, clock)
        self.members = FleetMembers(own_member, store, clock)
        self.record_service = RecordService(
            self.record_store, journal, self.members, settings.is_first_start, clock
        )
        self.server = StorageServer(
            settings.ip, settings.fleet_port, self.record_service.handle
        )
        self.metrics_server = ProbeServer(
            settings.ip, settings.metrics_port, {"/metrics": self._metrics_response}
        )

    async def on_start(self) -> None:
        """Start the services; requests are served before the host is registered."""
        _log.write(
            "started",
            f"version {__version__}",
            domain=self.settings.domain,
            records=len(self.record_store.records),
            is_complete=self.record_service.is_complete,
        )
        for service in (
            self.metrics_server,
            self.server,
            self.members,
            self.members.follower,
            self.record_service,
        ):
            await self.add_runtime_dependency(service)

    def _metric_values(self) -> dict[str, int]:
        return {
            "records": len(self.record_store.records),
            "syncs": self.record_store.syncs,
            "is_complete": int(self.record_service.is_complete),
            "members_known": len(self.members.others),
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
