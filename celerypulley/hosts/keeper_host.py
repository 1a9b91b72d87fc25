"""One machine with a disk: the keeper of turn records and its registration."""

from mode import Service

from celerypulley import __version__
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.fleet_members import KEEPER, FleetMember, FleetMembers
from celerypulley.hosts.record_keeper import RecordKeeper
from celerypulley.hosts.record_shelf import RecordShelf
from celerypulley.links.keeper_server import KeeperServer
from celerypulley.links.key_value import KeyValueStore
from celerypulley.links.probe_server import ProbeServer
from celerypulley.storage.record_journal import RecordJournal

__all__ = ["KeeperHost"]

_SUMMARY_PERIOD_S = 10.0
_log = DecisionLog("host")


class KeeperHost(Service):
    """Everything that one machine with a disk runs."""

    def __init__(
        self, settings: FleetSettings, store: KeyValueStore, clock: Clock
    ) -> None:
        """Read the disk; nothing opens before the start."""
        super().__init__()
        assert settings.data_dir is not None, "a keeper has a disk"
        self.settings = settings
        me = FleetMember(
            settings.host_id, KEEPER, settings.domain, settings.ip, settings.fleet_port
        )
        settings.data_dir.mkdir(parents=True, exist_ok=True)
        journal = RecordJournal(settings.data_dir)
        self.shelf = RecordShelf(journal, clock)
        self.members = FleetMembers(me, store, clock)
        self.keeper = RecordKeeper(
            self.shelf, journal, self.members, settings.is_first_start, clock
        )
        self.server = KeeperServer(settings.ip, settings.fleet_port, self.keeper.answer)
        self.metrics_server = ProbeServer(
            settings.ip, settings.metrics_port, {"/metrics": self._metrics}
        )

    async def on_start(self) -> None:
        """Serve before others hear of this keeper."""
        _log.write(
            "started",
            f"version {__version__}",
            domain=self.settings.domain,
            records=len(self.shelf.records),
            is_complete=self.keeper.is_complete,
        )
        for part in (
            self.metrics_server,
            self.server,
            self.members,
            self.members.follower,
            self.keeper,
        ):
            await self.add_runtime_dependency(part)

    def _figures(self) -> dict[str, int]:
        return {
            "records": len(self.shelf.records),
            "syncs": self.shelf.syncs,
            "is_complete": int(self.keeper.is_complete),
            "members_known": len(self.members.others),
        }

    def _metrics(self) -> tuple[int, str]:
        lines = []
        for name, value in self._figures().items():
            lines.append(f"# TYPE celerypulley_keeper_{name} gauge")
            lines.append(f"celerypulley_keeper_{name} {value}")
        return 200, "\n".join(lines) + "\n"

    @Service.task
    async def _sum_up(self) -> None:
        while not self.should_stop:
            await self.sleep(_SUMMARY_PERIOD_S)
            calls = {f"store_{kind}": n for kind, n in self.members.store.calls.items()}
            _log.write("summary", "totals since the start", **self._figures(), **calls)
