"""The backend servers that a host knows, with their state and load."""

import asyncio
import random

from mode import Service

from celerypulley.backend_servers.engine_state import (
    EngineReport,
    EngineState,
    ServerState,
    share_cache_entries,
)
from celerypulley.clock import NEVER_MS, Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import BackendServer, RouteKind
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.server_directory import Listing
from celerypulley.links.backend_link import BackendError, BackendLink
from celerypulley.links.peer_messages import LoadReports
from celerypulley.links.server_connection import Reachability

__all__ = ["BackendServers"]

_LIST_PERIOD_S = 2.0
_LOAD_PERIOD_S = 0.5
_SHARED_LOAD_PERIOD_S = 1.0
_MAX_SHARED_AGE_MS = 5_000.0
_READ_TIMEOUT_S = 1.0
_MIN_ENGINES_IN_DOMAIN = 16
_log = DecisionLog("backend-servers")


class BackendServers(Service):
    """Engines and plain services from the declaration and the platform's list."""

    def __init__(
        self,
        domain: str,
        link: BackendLink,
        platform_address: str,
        configuration: ConfigurationFollower,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Start without servers until `configuration` activates a version.

        The list of backend servers is read from `platform_address`.
        """
        super().__init__()
        self.domain = domain
        self.link = link
        self.platform_address = platform_address
        self.peers = peers
        self.clock = clock
        self.engines: dict[str, EngineState] = {}
        self.plain_servers: dict[str, list[BackendServer]] = {}
        self.leaving: frozenset[str] = frozenset()
        self.list_read_ms = NEVER_MS
        self._last_event: dict[str, int] = {}
        self._random = random.Random()
        configuration.on_change.append(self.apply_configuration)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the servers to match the declaration."""
        declared = configuration.declaration.backend_servers
        plain: dict[str, list[BackendServer]] = {}
        names = set()
        for server in declared:
            route = configuration.routes[server.route]
            if route.kind is RouteKind.PLAIN:
                plain.setdefault(route.name, []).append(server)
                continue
            names.add(server.name)
            self._update_engine(server, frozenset(route.models))
        for name in set(self.engines) - names:
            del self.engines[name]
        share_cache_entries(self.engines.values())
        self.plain_servers = plain

    def _update_engine(self, server: BackendServer, models: frozenset[str]) -> None:
        known = self.engines.get(server.name)
        if known is not None and known.address == server.address:
            known.models = models
            known.checks_fencing = server.checks_fencing
            return
        engine = EngineState(
            server.name, server.domain, server.address, models, server.checks_fencing
        )
        if server.name in self.leaving:
            engine.state = ServerState.LEAVING
        self.engines[server.name] = engine

    async def probe(self, address: str) -> Reachability:
        """Return how an engine answers a request for its load.

        An engine whose response is invalid runs.
        """
        try:
            await self.link.read_json(address, "/load", _READ_TIMEOUT_S)
        except BackendError as error:
            if error.is_invalid:
                return Reachability.ACCEPTS
            is_silent = isinstance(error.__cause__, TimeoutError)
            return Reachability.SILENT if is_silent else Reachability.REFUSES
        return Reachability.ACCEPTS

    def find_listing(self, engine: EngineState) -> Listing:
        """Return whether an engine is still declared."""
        is_known = self.engines.get(engine.name) is engine
        return Listing.LISTED if is_known else Listing.REMOVED

    def live_plain_servers(self, route: str) -> list[BackendServer]:
        """Return a route's plain servers that accept new work, this domain's first."""
        servers = [
            server
            for server in self.plain_servers.get(route, [])
            if server.name not in self.leaving
        ]
        return sorted(servers, key=lambda each: each.domain != self.domain)

    def nearby_engines(self, model: str) -> list[EngineState]:
        """Return this domain's engines of a model, or all if those are few."""
        serving = [each for each in self.engines.values() if model in each.models]
        near = [
            each
            for each in serving
            if each.domain == self.domain and each.state is ServerState.LIVE
        ]
        return near if len(near) >= _MIN_ENGINES_IN_DOMAIN else serving

    def _domain_members(self) -> list[str]:
        """Return the members of this failure domain, including this host."""
        members = self.peers.view.members.values()
        return [each.name for each in members if each.domain == self.domain]

    def _engines_to_read(self) -> tuple[list[EngineState], bool]:
        """Return the engines that this host reads, and whether it shares the reports.

        In a domain with many engines, each engine is read by one host of the domain.
        """
        near = [e for e in self.engines.values() if e.domain == self.domain]
        if len(near) < _MIN_ENGINES_IN_DOMAIN:
            return list(self.engines.values()), False
        names = self._domain_members()
        own_name = self.peers.identity.member
        assigned = [each for each in near if rendezvous(each.name, names) == own_name]
        return assigned, True

    @Service.task
    async def _read_list(self) -> None:
        while not self.should_stop:
            await self._read_list_once()
            await self.sleep(self._random.uniform(0.8, 1.2) * _LIST_PERIOD_S)

    async def _read_list_once(self) -> None:
        try:
            listed = await self.link.read_json(
                self.platform_address, "/backend-servers", _READ_TIMEOUT_S
            )
        except BackendError:
            return
        leaving = frozenset(
            each["name"] for each in listed if each.get("state") == "leaving"
        )
        for name in leaving - self.leaving:
            _log.write("no new work", "the platform lists it as leaving", server=name)
        self.leaving = leaving
        self.list_read_ms = self.clock.now_ms()
        for engine in self.engines.values():
            engine.state = (
                ServerState.LEAVING if engine.name in leaving else ServerState.LIVE
            )

    @Service.task
    async def _read_loads(self) -> None:
        while not self.should_stop:
            engines, shared = self._engines_to_read()
            await asyncio.gather(*(self._read_load(engine) for engine in engines))
            if shared:
                await self._broadcast_reports(engines)
            period_s = _SHARED_LOAD_PERIOD_S if shared else _LOAD_PERIOD_S
            await self.sleep(self._random.uniform(0.8, 1.2) * period_s)

    async def _broadcast_reports(self, engines: list[EngineState]) -> None:
        now_ms = self.clock.now_ms()
        items = [
            [
                engine.name,
                round(now_ms - engine.report.taken_ms),
                engine.report.running,
                engine.report.waiting,
                engine.report.prefill_tokens,
                engine.report.cached_tokens,
                engine.report.memory_tokens,
            ]
            for engine in engines
            if engine.report.taken_ms > now_ms - _MAX_SHARED_AGE_MS
        ]
        if not items:
            return
        for name in self._domain_members():
            if name != self.peers.identity.member:
                await self.peers.send(name, LoadReports(items))

    def apply_reports(self, message: LoadReports) -> None:
        """Apply the load reports that another host of the domain read."""
        now_ms = self.clock.now_ms()
        for name, age_ms, *figures in message.items:
            engine = self.engines.get(name)
            if engine is not None:
                engine.apply_report(EngineReport(now_ms - age_ms, *figures))

    async def _read_load(self, engine: EngineState) -> None:
        requested_ms = self.clock.now_ms()
        try:
            load = await self.link.read_json(engine.address, "/load", _READ_TIMEOUT_S)
            since = self._last_event.get(engine.name, 0)
            events = await self.link.read_json(
                engine.address, f"/cache_events?since={since}", _READ_TIMEOUT_S
            )
        except BackendError:
            engine.record_failure(self.clock.now_ms())
            return
        self._record_response(engine)
        report = EngineReport(
            requested_ms - float(load.get("age_ms", 0)),
            int(load["running"]),
            int(load["waiting"]),
            int(load["prefill_tokens"]),
            int(load["cached_tokens"]),
            int(load["memory_tokens"]),
        )
        engine.apply_report(report)
        self._apply_cache_events(engine, events)

    def _record_response(self, engine: EngineState) -> None:
        """Record that an engine responds; if it did not before, it may have restarted.

        Engines don't tell when they started.
        """
        if engine.consecutive_failures or not engine.started_ms:
            engine.started_ms = self.clock.wall_ms()
            engine.record_success()

    def _apply_cache_events(self, engine: EngineState, events: dict) -> None:
        self._last_event[engine.name] = int(events["last"])
        for _, kind, program, tokens in events["events"]:
            if kind == "evicted":
                engine.record_evicted(program, tokens)
