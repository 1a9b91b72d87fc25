"""An entry host on a platform: its services and their start and stop order."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial

import attrs
from mode import Service

from celerypulley import __version__
from celerypulley.backend_servers.cold_start import ColdBounds, ColdServers
from celerypulley.backend_servers.cost_model import CostModel
from celerypulley.backend_servers.server_entry import ServerEntry
from celerypulley.client_limits.memory_account import (
    MemoryAccount,
    client_memory_bytes,
    connection_limit,
)
from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import (
    CallerLimits,
    DesiredState,
    ServiceRule,
)
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import ErrorKind, Refusal, RunState
from celerypulley.fleet.confirmations import Confirmations
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.fleet.disk_list import DiskList
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.fleet.fleet_members import (
    HOST,
    STORAGE_HOST,
    FleetMember,
    FleetMembers,
)
from celerypulley.fleet.fleet_meter import FleetMeter
from celerypulley.fleet.window_copier import WindowCopier
from celerypulley.fleet.window_witness import choose_witnesses
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.admission import Admission
from celerypulley.hosts.budget_coordinator import BudgetCoordinator
from celerypulley.hosts.budget_escrow import BudgetEscrow
from celerypulley.hosts.crash_detector import CrashDetector
from celerypulley.hosts.crash_mark_store import CrashMarkStore
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.hosts.desired_state_cache import DesiredStateCache
from celerypulley.hosts.forward_context import ForwardContext
from celerypulley.hosts.forward_metrics import ForwardMetrics
from celerypulley.hosts.forwarder import Forwarder
from celerypulley.hosts.plain_forwarder import PlainForwarder
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.hosts.stall_monitor import StallMonitor
from celerypulley.hosts.storage_host_pool import StorageHostPool
from celerypulley.hosts.stream_forwarder import StreamForwarder
from celerypulley.hosts.turn_archive import TurnArchive
from celerypulley.hosts.turn_scheduler import TurnScheduler
from celerypulley.links.client_policy import REFUSED_KINDS, ClientPolicy
from celerypulley.links.forward_dialect import Dialect
from celerypulley.links.forward_server import ForwardServer, ForwardSink
from celerypulley.links.key_value import KeyValueStore
from celerypulley.links.probe_server import ProbeServer
from celerypulley.links.server_connection import ServerLinks
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["FleetHost", "PlatformSchema"]

# Fraction of the maximum age of the desired state from which a host is not ready:
# without the store, it soon has to refuse all requests on routes with keys.
_READY_AGE_FRACTION = 0.6
# The balancer probes once a second and removes a host after two failed probes.
_LEAVE_BALANCER_MS = 2_500.0
_STOP_MARGIN_MS = 1_000.0  # between the last response and SIGKILL
_LAST_RESPONSE_MS = 250.0  # from the last response to the abort of connections
_LARGE_FLEET_READ_PAUSE_MS = 500.0  # a sixth of the time in which a server is left
_READINESS_PERIOD_S = 0.25  # the gossip period
_SUMMARY_PERIOD_S = 10.0
# Of what clients may hold, beside it: turns that are being saved, and their records in
# messages to storage hosts, which end after the request.
_SAVING_FRACTION = 0.2
_SENDING_FRACTION = 0.1
_DEFAULT_LIMITS = CallerLimits()
_log = DecisionLog("host")


@attrs.frozen
class PlatformSchema:
    """Keys, prefixes and decoders of the platform's entries that hosts follow."""

    desired_state_prefix: str
    desired_state_key: str
    decode_desired_state: Callable[[bytes], DesiredState]
    server_prefix: str
    decode_server: Callable[[str, bytes], ServerEntry]
    dialect: Dialect
    evacuation_prefix: str = ""


class FleetHost(Service):
    """The services of one entry host on a platform.

    It accepts callers' requests and forwards them to backend servers.
    """

    def __init__(
        self,
        settings: FleetSettings,
        store: KeyValueStore,
        schema: PlatformSchema,
        clock: Clock,
    ) -> None:
        """Create the services; sockets are opened when the host starts.

        `schema` names the platform's keys and decodes their values.
        """
        super().__init__()
        self.settings = settings
        self.store = store
        self.clock = clock
        self.metrics = ForwardMetrics(store.calls_by_purpose)
        self.affinity_counts: Counter[str] = Counter()
        self.links = ServerLinks(clock)
        self.desired_state = DesiredStateCache(
            store,
            schema.desired_state_prefix,
            schema.desired_state_key,
            schema.decode_desired_state,
            clock,
            schema.evacuation_prefix if settings.evacuates_domains else "",
        )
        cold = ColdServers(
            settings.host_id,
            self._service_rule,
            lambda: self.members.sharing_hosts(),
            ColdBounds(settings.cold_overrun, settings.cold_slack),
        )
        self.directory = ServerDirectory(
            store,
            schema.server_prefix,
            schema.decode_server,
            self.links,
            settings.domain,
            settings.server_drain_ms,
            clock,
            self.desired_state.evacuations,
            cold,
            settings.server_check_in_ms,
        )
        self.costs = CostModel()
        self.meter = FleetMeter(settings.quota_window_ms, clock)
        self.crash_counts = CrashCounts(clock)
        self.crash_mark_store = CrashMarkStore(store, self.crash_counts, clock)
        self.crash_trials = CrashTrials(store, self.crash_counts, clock)
        self.crash_detector = CrashDetector(
            self.links.probe, self.directory.find_listing, self.crash_counts, clock
        )
        own_member = FleetMember(
            settings.host_id, HOST, settings.domain, settings.ip, settings.fleet_port
        )
        self.members = FleetMembers(own_member, store, clock)
        self.datagrams = FleetDatagrams(
            settings.host_id,
            settings.ip,
            settings.fleet_port,
            self.members.addresses,
            self.members.storage_addresses,
        )
        self.gossip = FleetGossip(
            self.datagrams,
            self._own_counts,
            self.members.view_digest,
            clock,
            self.members.domains,
            self.directory.announced_leaving,
        )
        self.meter.gossip = self.gossip
        confirmations = Confirmations(
            self.datagrams,
            self.gossip,
            lambda: self.desired_state.version,
            self.desired_state.age_ms,
            self.desired_state.evacuations if settings.evacuates_domains else None,
            self.directory.follower,
        )
        confirmer = self.desired_state.confirmer
        confirmer.on_confirmed = self.directory.record_confirmation
        self.directory.follower.read_pause_ms = self._read_pause_ms
        confirmations.is_store_unavailable = lambda: confirmer.is_store_unavailable
        confirmer.ask_peer = confirmations.ask
        confirmer.pause_ms = confirmations.pause_ms
        confirmer.retry_ms = confirmations.retry_ms
        for reader in (
            self.members.follower,
            self.desired_state.follower,
            self.directory.follower,
            self.crash_mark_store,
        ):
            reader.wait_to_retry = confirmer.wait_to_retry
        self.gossip.witnesses = self._witnesses
        self.window_copier = WindowCopier(self.meter, self.datagrams, self.gossip)
        self.window_copier.has_witnesses = lambda: settings.has_storage_hosts
        self.gossip.on_message += [
            self.meter.on_peer_counts,
            self.directory.on_peer_counts,
            lambda peer, _previous: self.crash_counts.merge(peer.crashes),
        ]
        self.desired_state.on_change.append(self.meter.on_desired_state)
        self.escrow = BudgetEscrow(store, clock)
        self.stall_monitor = StallMonitor(clock)
        self.disk_list = DiskList(store, clock)
        self.disk_list.follower.wait_to_retry = confirmer.wait_to_retry
        self.disk_list.follower.read_pause_ms = self._read_pause_ms
        client_bytes = client_memory_bytes(settings.memory_mb)
        pool = None
        if settings.has_storage_hosts:
            pool = StorageHostPool(
                self.members,
                self.disk_list,
                settings.domain,
                settings.tolerated_disk_losses + 1,
                clock,
                int(client_bytes * _SENDING_FRACTION),
            )
        saving_bytes = int(client_bytes * _SAVING_FRACTION)
        self.archive = TurnArchive(store, pool, clock, saving_bytes)
        self.turn_scheduler: TurnScheduler | None = None
        if settings.schedules_turns:
            self.turn_scheduler = TurnScheduler(
                settings.domain,
                self.directory,
                self.datagrams,
                self.gossip,
                self._service_rule,
                clock,
            )
        self.forwarder = self._make_forwarder(schema.dialect)
        self.client_policy = ClientPolicy(
            MemoryAccount(client_bytes),
            self._caller_limits,
            clock,
        )
        self.server = ForwardServer(
            settings.caller_address,
            schema.dialect,
            self._run,
            self._body_limit,
            lambda: not self._was_ready,
            settings.shutdown_grace_ms - _LEAVE_BALANCER_MS - _STOP_MARGIN_MS,
            connection_limit(settings.max_descriptors, settings.memory_mb),
            self.client_policy,
            clock,
        )
        self.readiness_server = ProbeServer(
            settings.ready_address.ip,
            settings.ready_address.port,
            {"/readyz": self._readiness_response},
            self.client_policy,
        )
        self.metrics_server = ProbeServer(
            settings.ip,
            settings.metrics_port,
            {"/metrics": lambda: (200, self.metrics.text())},
            self.client_policy,
        )
        self._was_ready = False
        self._add_gauges()

    def _make_forwarder(self, dialect: Dialect) -> Forwarder:
        context = ForwardContext(
            directory=self.directory,
            links=self.links,
            dialect=dialect,
            crash_counts=self.crash_counts,
            crash_trials=self.crash_trials,
            crash_detector=self.crash_detector,
            unreachable_domains=lambda: self.gossip.unreachable_domains(
                self.members.domains
            ),
            clock=self.clock,
            stall_monitor=self.stall_monitor,
            region_of_domain=self.settings.region_of_domain,
            costs=self.costs,
            affinity_counts=self.affinity_counts,
        )
        max_state_age_ms = self.settings.max_state_age_ms
        if not self.settings.refuse_stale_state:
            max_state_age_ms = float("inf")
        admission = Admission(
            self.desired_state,
            self.meter,
            self.crash_trials,
            max_state_age_ms,
            self.clock,
        )
        streams = StreamForwarder(
            context,
            self.archive,
            BudgetCoordinator(self.escrow, self.datagrams, self.gossip),
            self.turn_scheduler,
        )
        return Forwarder(
            admission, PlainForwarder(context), streams, self.metrics, self.clock
        )

    def _add_gauges(self) -> None:
        gauges = self.metrics.gauges
        gauges["desired_state_version"] = lambda: self.desired_state.version
        gauges["desired_state_age_ms"] = lambda: self.desired_state.age_ms()
        gauges["domains_evacuated"] = lambda: len(
            self.desired_state.evacuations.domains
        )
        gauges["servers_known"] = lambda: len(self.directory.servers)
        cold = self.directory.cold
        gauges["servers_cold"] = self.directory.count_cold
        gauges["cold_requests_sent"] = lambda: cold.sent_count
        gauges["cold_requests_waited"] = lambda: cold.waited_count
        gauges["cold_requests_refused"] = lambda: cold.refused_count
        for choice in ("first", "other"):
            gauges[f"affinity_{choice}_choices"] = partial(
                self.affinity_counts.__getitem__, choice
            )
        for source in self.directory.count_leaving():
            gauges[f"servers_leaving_by_{source}"] = partial(
                self._count_leaving, source
            )
        gauges["leaving_announcements_invalid"] = lambda: (
            self.directory.invalid_announcements
        )
        gauges["servers_slow"] = self.directory.count_slow
        gauges["request_cost_services"] = lambda: self.costs.learned_services
        gauges["request_cost_samples"] = lambda: self.costs.samples
        gauges["request_cost_samples_queued"] = lambda: self.costs.queued_samples
        gauges["server_connections_opened"] = lambda: self.links.opened_count
        gauges["members_known"] = lambda: len(self.members.addresses)
        gauges["fleet_heard_part"] = lambda: self.meter.reachable_fraction()
        gauges["rate_delays"] = lambda: self.meter.delayed
        gauges["rate_refusals"] = lambda: self.meter.refused
        gauges["requests_active"] = lambda: self.server.active
        gauges["client_connections"] = lambda: self.server.connections.count
        policy = self.client_policy
        gauges["client_held_bytes"] = lambda: policy.account.held_bytes
        gauges["turns_saving_bytes"] = lambda: self.archive.saving_bytes
        gauges["histories_rewritten"] = lambda: self.archive.histories_rewritten
        for kind in REFUSED_KINDS:
            gauges[f"clients_refused_{kind}"] = partial(policy.closed.__getitem__, kind)
        pool = self.archive.pool
        if pool is not None:
            gauges["disks_known"] = lambda: len(self.disk_list.disks)
            gauges["disks_unresponsive"] = pool.count_unresponsive
        scheduler = self.turn_scheduler
        if scheduler is not None:
            gauges["turns_waiting"] = scheduler.waiting_count
            gauges["turns_refused"] = scheduler.refused_count
            gauges["turn_slots_expired"] = scheduler.expired_count
            gauges["turn_slots_unanswered"] = lambda: scheduler.unanswered
            gauges["turn_slots_spilled"] = lambda: scheduler.spilled
        gauges["budget_tokens_overcommitted"] = lambda: self.escrow.overcommitted_tokens

    def _count_leaving(self, source: str) -> int:
        return self.directory.count_leaving()[source]

    async def on_start(self) -> None:
        """Start all services; the server for callers comes last."""
        if self.archive.pool is not None:
            await self.add_runtime_dependency(self.disk_list.follower)
        if self.turn_scheduler is not None:
            await self.add_runtime_dependency(self.turn_scheduler)
        for service in (
            self.metrics_server,
            self.readiness_server,
            self.members,
            self.members.follower,
            self.datagrams,
            self.gossip,
            self.window_copier,
            self.stall_monitor,
            self.crash_detector,
            self.crash_mark_store,
            self.desired_state.follower,
            self.desired_state.confirmer,
            self.directory.follower,
            self.server,
        ):
            await self.add_runtime_dependency(service)
        _log.write(
            "started",
            f"version {__version__}",
            domain=self.settings.domain,
            store=self.settings.store_address,
        )

    def _witnesses(self) -> list[str]:
        return choose_witnesses(self.members.of_kind(STORAGE_HOST))

    def _read_pause_ms(self) -> float:
        """Return the time in which changes of a large fleet are read together.

        While it starts, each of its servers and disks is a change of its own.
        """
        return _LARGE_FLEET_READ_PAUSE_MS if self.gossip.has_relays() else 0.0

    def _service_rule(self, service: str) -> ServiceRule | None:
        state = self.desired_state.state
        return state.services.get(service) if state is not None else None

    def _caller_limits(self) -> CallerLimits:
        state = self.desired_state.state
        return state.limits if state is not None else _DEFAULT_LIMITS

    def _body_limit(self) -> int:
        return self._caller_limits().max_body_bytes

    def _own_counts(self) -> tuple[dict, dict, dict]:
        return (
            self.meter.totals_to_announce(),
            self.directory.in_flight(),
            self.crash_counts.to_announce(),
        )

    async def _run(self, request: OpaqueRequest, sink: ForwardSink) -> Refusal | None:
        refusal = await self.forwarder.run(request, sink)
        if refusal is None or self._was_ready or refusal.run is not RunState.NOT_RUN:
            return refusal
        if refusal.retry_after_s is None or refusal.kind is ErrorKind.SHUTTING_DOWN:
            return refusal
        # Earlier retries may reach this host again, or others that are not ready.
        retry_after_s = max(refusal.retry_after_s, _LEAVE_BALANCER_MS / 1000)
        return attrs.evolve(refusal, retry_after_s=retry_after_s)

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections to this host."""
        if self.server.draining or self.desired_state.state is None:
            return False
        if not self.directory.servers or not self.crash_counts.is_restored:
            return False
        if self.is_partitioned():
            return False
        return (
            self.desired_state.age_ms()
            < self.settings.max_state_age_ms * _READY_AGE_FRACTION
        )

    def is_partitioned(self) -> bool:
        """Return whether this host has neither the store nor a quorum of hosts.

        It can then serve neither histories nor budgets.
        """
        return (
            self.desired_state.confirmer.is_store_unavailable
            and not self.gossip.has_quorum()
        )

    def _readiness_response(self) -> tuple[int, str]:
        self._update_readiness()
        return (200, "ready\n") if self._was_ready else (503, "not ready\n")

    def _update_readiness(self) -> None:
        ready = self.is_ready()
        if ready is self._was_ready:
            return
        self._was_ready = ready
        _log.write(
            "ready" if ready else "not ready",
            "desired state, servers, store or quorum changed",
            version=self.desired_state.version,
            version_age_ms=str(round(min(self.desired_state.age_ms(), 1e9))),
            servers=len(self.directory.servers),
            draining=self.server.draining,
            store_unavailable=self.desired_state.confirmer.is_store_unavailable,
            has_quorum=self.gossip.has_quorum(),
        )

    @Service.task
    async def _poll_readiness(self) -> None:
        while not self.should_stop:
            await self.sleep(_READINESS_PERIOD_S)
            self._update_readiness()
            if not self.gossip.has_quorum():
                self.desired_state.confirmer.poll_now()

    @Service.task
    async def _log_summary(self) -> None:
        while not self.should_stop:
            await self.sleep(_SUMMARY_PERIOD_S)
            _log.write(
                "summary",
                "totals since start",
                active=self.server.active,
                requests=sum(self.metrics.requests.values()),
                rate_delays=self.meter.delayed,
                rate_refusals=self.meter.refused,
                connections_opened=self.links.opened_count,
                turns_on_storage_hosts=self.archive.saved_on_storage_hosts,
                turns_in_store=self.archive.saved_in_store,
                gossip_bytes_sent=self.datagrams.bytes_sent,
                **{f"store_{kind}": n for kind, n in self.store.calls.items()},
            )

    async def leave(self) -> None:
        """Fail readiness probes, then wait for active requests to finish."""
        _log.write("draining", "stop requested", active=self.server.active)
        self.server.draining = True
        drain_start_ms = self.clock.now_ms() + _LEAVE_BALANCER_MS
        drained_ms = drain_start_ms + self.server.drain_ms
        self.forwarder.stop_by(drained_ms - _LAST_RESPONSE_MS, drain_start_ms)
        await asyncio.sleep(_LEAVE_BALANCER_MS / 1000)
        await self.server.drain()
        self.gossip.announce()  # the last requests, which no later message counts
        _log.write("drained", "active requests finished", active=self.server.active)

    async def on_shutdown(self) -> None:
        """Close the connections to backend servers and storage hosts."""
        self.links.close()
        if self.archive.pool is not None:
            self.archive.pool.close()
