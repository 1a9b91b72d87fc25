"""One entry host: its services, and the order in which they start and stop."""

import asyncio
import secrets
from functools import partial

import aiohttp
from mode import Service

from celerypulley import __version__
from celerypulley.client_limits.memory_account import (
    MemoryAccount,
    client_memory_bytes,
    connection_limit,
)
from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import CallerLimits
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.member import Member
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.cache_release import CacheRelease
from celerypulley.hosts.call_runner import CallRunner
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.crash_detector import CrashDetector
from celerypulley.hosts.crash_mark_store import CrashMarkStore
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.hosts.engine_runner import EngineRunner
from celerypulley.hosts.entry import Entry
from celerypulley.hosts.host_lease import HostLease
from celerypulley.hosts.meters import Meters
from celerypulley.hosts.metrics import HostMetrics
from celerypulley.hosts.owner_table_writer import OwnerTableWriter
from celerypulley.hosts.peer_dispatcher import PeerDispatcher
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.program_manager import ProgramManager
from celerypulley.hosts.promise_renewer import PromiseRenewer
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.running_turns import RunningTurns
from celerypulley.hosts.shard_controller import ShardController
from celerypulley.hosts.shard_handback import ShardHandback
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.sweeper import Sweeper
from celerypulley.hosts.turn_runner import TurnRunner
from celerypulley.links.admin_server import AdminServer
from celerypulley.links.backend_link import BackendLink
from celerypulley.links.caller_server import CallerServer
from celerypulley.links.client_policy import REFUSED_KINDS, ClientPolicy
from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import LinkConditions
from celerypulley.links.peer_link import PeerIdentity
from celerypulley.links.peer_server import PeerServer
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError
from celerypulley.links.server_session import open_server_session
from celerypulley.settings import Settings

__all__ = ["Host"]

_INCARNATION_BYTES = 4
_CRASH_LIMIT = 2
_CRASH_PREFIX = "celerypulley/crashes/"
_TRIAL_PREFIX = "celerypulley/crash-trials/"
_HAND_OVER_ATTEMPTS = 50
_HAND_OVER_PAUSE_S = 0.2
_log = DecisionLog("host")


class Host(Service):
    """All services that one process of the system runs."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Prepare a host from `settings`; nothing is opened before it starts."""
        super().__init__()
        self.settings = settings
        self.clock = clock
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.own_member = Member(
            f"{settings.host_id}+{incarnation}",
            settings.domain,
            settings.peer_address,
            settings.admin_address,
        )
        self.metrics = HostMetrics()
        self.cuts = CutTable()
        self._sessions: list[aiohttp.ClientSession] = []

    async def on_start(self) -> None:
        """Start every service, the callers' server last."""
        self._open_links()
        self._make_shards()
        self._make_runners()
        self._make_servers()
        self._add_gauges()
        for service in self._services():
            await self.add_runtime_dependency(service)
        _log.write("started", f"version {__version__}", member=self.own_member.name)

    def _open_links(self) -> None:
        settings = self.settings
        session = open_server_session(reads_ahead=False)
        unpooled_session = open_server_session(force_close=True, reads_ahead=False)
        self._sessions = [session, unpooled_session]
        platform_url = f"http://{settings.platform_address}"
        self.platform = PlatformLink(platform_url, session, self.cuts)
        self.backend_link = BackendLink(session, unpooled_session)
        identity = PeerIdentity(
            self.own_member.name, settings.domain, settings.peer_secret
        )
        self.identity = identity
        self.link_conditions = LinkConditions(self.cuts, settings.peer_delay_ms)
        self.view = PlatformView(self.platform, self.clock)
        self.lease = HostLease(self.platform, self.own_member, settings.lease_ttl_ms)
        self.peers = Peers(identity, self.view, self.link_conditions)

    def _make_shards(self) -> None:
        settings = self.settings
        self.configuration = ConfigurationFollower(
            self.platform, self.view, self.peers, self.clock, settings.data_dir
        )
        self.shards = Shards(
            settings, self.own_member, self.view, self.peers, self.clock
        )
        writer = OwnerTableWriter(self.platform, self.view)
        self.shard_controller = ShardController(
            settings, self.shards, self.view, writer, self.clock
        )
        self.promise_renewer = PromiseRenewer(
            self.shards, self.peers, self.configuration, self.clock
        )
        self.shard_handback = ShardHandback(self.shards, self.peers)
        self.meters = Meters(self.shards, self.peers, self.configuration, self.clock)
        self.committer = RecordCommitter(
            self.shards, self.peers, RunningTurns(), self.clock
        )

    def _make_runners(self) -> None:
        locks = ProgramLocks()
        self.servers = BackendServers(
            self.settings.domain,
            self.backend_link,
            str(self.settings.platform_address),
            self.configuration,
            self.peers,
            self.clock,
        )
        release = CacheRelease(self.servers, self.backend_link)
        self._make_crash_counting()
        self.engine_runner = EngineRunner(
            self.servers,
            self.backend_link,
            self.crash_trials,
            self.crash_detector,
            self.clock,
        )
        self.turn_runner = TurnRunner(
            self.shards,
            self.configuration,
            self.engine_runner,
            self.committer,
            locks,
            self.clock,
        )
        self.call_runner = CallRunner(
            self.shards,
            self.configuration,
            self.servers,
            self.backend_link,
            self.committer,
            locks,
            self.clock,
        )
        self.program_manager = ProgramManager(
            self.shards,
            self.peers,
            self.configuration,
            locks,
            self.committer,
            release,
            self.clock,
        )
        self.sweeper = Sweeper(
            self.shards,
            self.peers,
            self.servers,
            self.backend_link,
            release,
            self.configuration,
            locks,
            self.clock,
        )

    def _make_crash_counting(self) -> None:
        """Count the crashes of all hosts, which exchange them through the store."""
        self.crash_counts = CrashCounts(self.clock, _CRASH_LIMIT, lasting_limit=1)
        self.crash_mark_store = CrashMarkStore(
            self.platform, self.crash_counts, self.clock, _CRASH_PREFIX
        )
        self.view.listeners[_CRASH_PREFIX] = lambda item: self.crash_mark_store.apply(
            item.key, item.value
        )
        self.crash_trials = CrashTrials(
            self.platform, self.crash_counts, self.clock, _TRIAL_PREFIX
        )
        self.crash_detector = CrashDetector(
            self.servers.probe,
            self.servers.find_listing,
            self.crash_counts,
            self.clock,
        )

    def _make_servers(self) -> None:
        settings = self.settings
        entry = Entry(
            self.shards,
            self.peers,
            self.configuration,
            self.meters,
            self.turn_runner,
            self.call_runner,
            self.program_manager,
            self.engine_runner,
            self.servers,
            self.backend_link,
            self.clock,
        )
        policy = ClientPolicy(
            MemoryAccount(client_memory_bytes(settings.memory_mb)),
            CallerLimits,
            self.clock,
        )
        self.callers = CallerServer(
            settings.caller_address,
            entry,
            self.metrics,
            self.clock,
            settings.body_limit_bytes,
            settings.shutdown_ms,
            connection_limit(settings.max_descriptors, settings.memory_mb),
            policy,
        )
        gauges = self.metrics.gauges
        gauges["client_connections"] = lambda: self.callers.connections.count
        gauges["client_held_bytes"] = lambda: policy.account.held_bytes
        for kind in REFUSED_KINDS:
            gauges[f"clients_refused_{kind}"] = partial(policy.closed.__getitem__, kind)
        self.configuration.on_change.append(self.callers.drop_withdrawn)
        peer_dispatcher = PeerDispatcher(
            self.shards,
            self.turn_runner,
            self.call_runner,
            self.program_manager,
            self.meters,
            self.configuration,
            self.committer,
            self.sweeper,
            self.shard_handback,
            self.servers,
        )
        self.peer_server = PeerServer(
            self.identity,
            settings.peer_address,
            self.link_conditions,
            peer_dispatcher.dispatch,
        )
        self.admin_server = AdminServer(
            settings.admin_address,
            self.metrics,
            self.status,
            self.is_ready,
            self.cuts if settings.faults_allowed else None,
        )

    def _services(self) -> list[Service]:
        return [
            self.admin_server,
            self.peer_server,
            self.peers,
            self.view,
            self.lease,
            self.crash_mark_store,
            self.crash_detector,
            self.configuration,
            self.shards,
            self.promise_renewer,
            self.shard_controller,
            self.shard_handback,
            self.meters,
            self.servers,
            self.sweeper,
            self.callers,
        ]

    def _add_gauges(self) -> None:
        gauges = self.metrics.gauges
        gauges["configuration_version"] = lambda: self.configuration.version
        gauges["shards_owned"] = lambda: len(self.shards.owned)
        gauges["shards_replicated"] = lambda: len(self.shards.replicas)
        gauges["programs"] = lambda: self.shards.counts()["programs"]
        gauges["history_bytes"] = lambda: self.shards.counts()["history_bytes"]
        gauges["platform_calls"] = lambda: self.platform.calls
        gauges["peer_bytes_sent"] = lambda: self.peers.byte_counts()[0]
        gauges["peer_bytes_received"] = lambda: self.peers.byte_counts()[1]

    def is_ready(self) -> bool:
        """Return whether the host can serve callers."""
        if self.callers.draining or self.configuration.current is None:
            return False
        return self.shards.shard_for_new_program() is not None

    def status(self) -> dict:
        """Return the status page that `celerypulley status` shows."""
        return {
            "member": self.own_member.name,
            "domain": self.own_member.domain,
            "version": __version__,
            "ready": self.is_ready(),
            "draining": self.callers.draining,
            "configuration_version": self.configuration.version,
            "configuration_confirmed_ago_ms": _round_or_none(
                self.configuration.confirmed_ago_ms()
            ),
            "platform_heard_ago_ms": _round_or_none(self.view.confirmed_ago_ms()),
            "members": len(self.view.members),
            "shards": self.shards.counts(),
            "active_turns": self.turn_runner.active,
            "active_calls": self.call_runner.active,
            "active_requests": len(self.callers.active_requests),
            "meters": {
                "count": len(self.meters.meters),
                "granted": self.meters.granted,
                "refused": self.meters.refused,
            },
            "engines": [
                {
                    "name": engine.name,
                    "state": engine.state.value,
                    "in_flight": engine.in_flight,
                    "running": engine.report.running,
                    "waiting": engine.report.waiting,
                    "failing": engine.backoff_until_ms > self.clock.now_ms(),
                }
                for engine in self.servers.engines.values()
            ],
            "platform_calls": self.platform.calls,
            "peer_bytes": list(self.peers.byte_counts()),
        }

    async def leave(self) -> None:
        """Drain: refuse new requests, hand over every shard, wait for running work."""
        _log.write(
            "draining",
            "the host was asked to stop",
            active=len(self.callers.active_requests),
        )
        self.shard_controller.leaving = True
        try:
            await self.lease.mark_leaving()
        except PlatformUnavailableError as error:
            _log.write("host not marked as leaving", str(error))
        drained = asyncio.create_task(self.callers.drain())
        await self._hand_over_all()
        await drained
        await self._wait_for_runners()
        _log.write("drained", "all work has ended or the shutdown time is over")

    async def _hand_over_all(self) -> None:
        for _ in range(_HAND_OVER_ATTEMPTS):
            owned = [
                owner for owner in self.shards.owned.values() if not owner.superseded
            ]
            replicated = [
                shard
                for shard, entry in self.view.entries.items()
                if entry.replica == self.own_member.name
            ]
            if not owned and not replicated:
                return
            for owner in owned:
                await self._hand_over(owner.state.shard)
            await asyncio.sleep(_HAND_OVER_PAUSE_S)

    async def _hand_over(self, shard: object) -> None:
        entry = self.view.entries.get(shard)
        if entry is None or entry.owner != self.own_member.name:
            return
        target = self.shard_controller.successor(shard)
        if target is None:
            return
        try:
            await self.shard_controller.hand_over(shard, target, "the owner is leaving")
        except PlatformUnavailableError as error:
            _log.write("shard not handed over", str(error), shard=shard)

    async def _wait_for_runners(self) -> None:
        deadline_ms = self.clock.now_ms() + self.settings.shutdown_ms
        while self.turn_runner.active or self.call_runner.active:
            if self.clock.now_ms() > deadline_ms:
                return
            await asyncio.sleep(_HAND_OVER_PAUSE_S)

    async def on_shutdown(self) -> None:
        """Close the HTTP sessions that the services shared."""
        for session in self._sessions:
            await session.close()


def _round_or_none(value_ms: float) -> int | None:
    return None if value_ms == float("inf") else round(value_ms)
