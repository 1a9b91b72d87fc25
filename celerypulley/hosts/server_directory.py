"""The backend servers that the platform registers, with their state and load."""

import enum
from collections.abc import Callable

import attrs

from celerypulley.backend_servers.cold_start import ColdBounds, ColdServers, Instant
from celerypulley.backend_servers.engine_state import (
    AnnouncementSource,
    EngineState,
    EngineTraits,
    LeavingAnnouncement,
    ServerState,
    share_cache_entries,
)
from celerypulley.backend_servers.entry_retention import EntryRetention
from celerypulley.backend_servers.server_entry import ServerEntry
from celerypulley.clock import Clock
from celerypulley.contracts.evacuations import Evacuations
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_gossip import PeerCounts
from celerypulley.links.key_value import Item, KeyValueStore
from celerypulley.links.prefix_follower import PrefixFollower
from celerypulley.links.server_connection import ServerLinks

__all__ = ["Listing", "ServerDirectory"]

# Changes arrive at once; the wait only bounds the time to detect a dead link.
_WATCH_WAIT_MS = 2_000
# From the site sheets: duration of a step, its growth per sequence, prefill rate.
_STEP_BASE_MS = 2.18
_STEP_MS_PER_SEQUENCE = 0.0548
_PREFILL_TOKENS_PER_S = 187_000.0
_FIRST_TOKEN_MS = 42.0
_NAMED_FOR_MS = 6_000.0  # four messages of a fleet of 171 hosts
_REPORT_TTL_MS = 300.0  # about one turn: calls that ran at the report have ended
_SLOW_PACE = 1.5
_log = DecisionLog("servers")


class Listing(enum.Enum):
    """What has become of the entry of one start of a server."""

    LISTED = "listed"
    REMOVED = "removed"
    REPLACED = "replaced by another start at its address"


class ServerDirectory:
    """Follow the registered servers; `servers` has their states by name."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        decode: Callable[[str, bytes], ServerEntry],
        links: ServerLinks,
        domain: str,
        drain_ms: float,
        clock: Clock,
        evacuations: Evacuations | None = None,
        cold: ColdServers | None = None,
        check_in_ms: float = 1_200.0,
    ) -> None:
        """Follow the entries below `prefix`, decoded by `decode(key, value)`.

        `domain` is the failure domain of this host. A server goes on for at least
        `drain_ms` after it has announced that it leaves. Servers of domains in
        `evacuations` accept no requests. `cold` is told when servers may be cold.
        Servers check in every `check_in_ms`.
        """
        self.evacuations = evacuations or Evacuations()
        self.evacuations.on_change.append(self._on_evacuation)
        self.cold = cold or ColdServers(
            "", lambda _service: None, frozenset, ColdBounds()
        )
        self._has_snapshot = False
        self.decode = decode
        self.links = links
        self.domain = domain
        self.drain_ms = drain_ms
        self.invalid_announcements = 0
        # Servers that announced, and from which no request was kept yet.
        self._unused_announcements: set[str] = set()
        self.clock = clock
        self.servers: dict[str, EngineState] = {}
        self._entries: dict[str, ServerEntry] = {}
        self._retained: set[str] = set()
        self.retention = EntryRetention(check_in_ms)
        self.follower = PrefixFollower(
            "servers",
            store,
            prefix,
            _WATCH_WAIT_MS,
            clock,
            self._on_snapshot,
            self._on_item,
        )
        self.follower.on_confirmed = self.record_confirmation

    def record_confirmation(self, confirmed_ms: float) -> None:
        """Record that the store was available at `confirmed_ms`."""
        self.retention.record_confirmation(confirmed_ms, self.clock.now_ms())

    def on_peer_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        """Update the calls that another host has in flight, and servers that leave."""
        previous_in_flight = previous.in_flight if previous else {}
        now_ms = self.clock.now_ms()
        for name in previous_in_flight.keys() | peer.in_flight.keys():
            server = self.servers.get(name)
            if server is not None:
                change = peer.in_flight.get(name, 0) - previous_in_flight.get(name, 0)
                count = max(0, server.in_flight_on_others + change)
                server.record_others(count, now_ms)
        for name, started_ms in peer.leaving.items():
            server = self.servers.get(name)
            if server is not None and server.started_ms == started_ms:
                self._set_announcement(server, AnnouncementSource.PEER)

    def in_flight(self) -> dict[str, int]:
        """Return the calls that this host has in flight, by server."""
        return {
            name: server.in_flight
            for name, server in self.servers.items()
            if server.in_flight
        }

    def find_listing(self, server: EngineState) -> Listing:
        """Return what has become of the entry of a server's start."""
        if self.servers.get(server.name) is server:
            return Listing.LISTED
        if any(each.address == server.address for each in self.servers.values()):
            return Listing.REPLACED
        return Listing.REMOVED

    def of_service(self, service: str) -> list[EngineState]:
        """Return the servers of a service that accept new requests."""
        return [server for server in self._live(service) if server.announcement is None]

    def draining_of_service(
        self, service: str, received_ms: float
    ) -> list[EngineState]:
        """Return the servers that leave and accept a request as a last resort.

        They do so where it was received within `drain_ms` of their announcement.
        """
        return [
            server
            for server in self._live(service)
            if server.announcement is not None
            and received_ms - server.announcement.learned_ms < self.drain_ms
        ]

    def _live(self, service: str) -> list[EngineState]:
        self._drop_retained()
        return [
            server
            for server in self.servers.values()
            if service in server.models
            and server.state is ServerState.LIVE
            and not self.is_evacuated(server)
        ]

    def is_evacuated(self, server: EngineState) -> bool:
        """Return whether the operator has evacuated the failure domain of a server."""
        return server.domain in self.evacuations.domains

    def instant(self) -> Instant:
        """Return the time by which shares of cold servers are decided."""
        return Instant(self.clock.now_ms(), self.clock.wall_ms())

    def is_cold(self, server: EngineState) -> bool:
        """Return whether only `ForwardContext.choose` may choose a server."""
        return self.cold.left_ms(server, self.clock.now_ms()) > 0.0

    def count_cold(self) -> int:
        """Return how many servers are cold."""
        return self.cold.count_cold(self.servers.values(), self.clock.now_ms())

    def _on_evacuation(self, domain: str, is_evacuated: bool) -> None:
        if is_evacuated:
            return
        for server in self.servers.values():
            if server.domain == domain:
                self.cold.record_release(server, self.clock.now_ms())

    def record_announcement(self, server: EngineState, leaving: bool | None) -> None:
        """Record whether a server's response says that the server leaves.

        None counts an announcement that cannot be read. One that was read holds for
        this start of the server.
        """
        if leaving is None:
            self.invalid_announcements += 1
        if leaving:
            self._set_announcement(server, AnnouncementSource.RESPONSE)

    def _set_announcement(
        self, server: EngineState, source: AnnouncementSource
    ) -> None:
        if server.announcement is not None:
            return
        server.announcement = LeavingAnnouncement(self.clock.now_ms(), source)
        if self.find_listing(server) is Listing.LISTED:
            self._unused_announcements.add(server.name)
        _log.write(
            "announced that it leaves",
            f"learned from a {source.value}",
            server=server.name,
        )

    def announced_leaving(self) -> dict[str, int]:
        """Return the servers to name to other hosts, with the time of their start.

        They are those that recently announced to this host that they leave.
        """
        since_ms = self.clock.now_ms() - _NAMED_FOR_MS
        return {
            server.name: server.started_ms
            for server in self.servers.values()
            if server.announcement is not None
            and server.announcement.source is AnnouncementSource.RESPONSE
            and server.announcement.learned_ms >= since_ms
        }

    def record_choice(self, service: str, request_id: str) -> None:
        """Log the first request for which a server was left out since it leaves."""
        for name in list(self._unused_announcements):
            if service not in self.servers[name].models:
                continue
            self._unused_announcements.discard(name)
            _log.write(
                "request kept from a leaving one",
                "others can serve it",
                server=name,
                request=request_id,
            )

    def count_leaving(self) -> dict[str, int]:
        """Return the number of servers that leave, by the source of that knowledge."""
        counts = {"entry": 0, **{source.value: 0 for source in AnnouncementSource}}
        for server in self.servers.values():
            counts["entry"] += server.state is ServerState.LEAVING
            if server.announcement is not None:
                counts[server.announcement.source.value] += 1
        return counts

    def count_slow(self) -> int:
        """Return the number of servers that recently reported a slow machine."""
        now_ms = self.clock.now_ms()
        return sum(
            server.expected_pace(now_ms) > _SLOW_PACE
            for server in self.servers.values()
        )

    def _on_snapshot(self, items: tuple[Item, ...]) -> None:
        listed = {item.key for item in items}
        for key in [key for key in self._entries if key not in listed]:
            self._remove(key)
        for item in items:
            self._on_item(item)
        self._has_snapshot = True
        share_cache_entries(self.servers.values())

    def _on_item(self, item: Item) -> None:
        if item.value is None:
            self._remove(item.key)
            return
        try:
            entry = self.decode(item.key, item.value)
        except ValueError as error:
            _log.write(
                "invalid entry ignored",
                str(error),
                key=item.key,
                revision=item.revision,
            )
            return
        self._retained.discard(item.key)
        previous = self._entries.get(item.key)
        self._entries[item.key] = entry
        server = self.servers.get(entry.name)
        record_cold = self.cold.record_entry
        if server is None or previous is None or _is_new_instance(previous, entry):
            server = self._add(entry)
            if self._has_snapshot:
                record_cold = self.cold.record_start
        server.models = frozenset((entry.service,))
        state = ServerState.LEAVING if entry.leaving else ServerState.LIVE
        if state is ServerState.LIVE and server.state is ServerState.LEAVING:
            record_cold = self.cold.record_return
        record_cold(server, entry.cold_left_ms, item.revision, self.clock.now_ms())
        if state is not server.state:
            server.state = state
            _log.write(state.value, "state in its entry changed", server=entry.name)

    def _add(self, entry: ServerEntry) -> EngineState:
        traits = EngineTraits(
            step_base_ms=_STEP_BASE_MS,
            step_per_sequence_ms=_STEP_MS_PER_SEQUENCE,
            prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
            batch_limit=entry.slots,
            first_token_ms=_FIRST_TOKEN_MS,
        )
        server = EngineState(
            entry.name,
            entry.domain,
            entry.address,
            frozenset((entry.service,)),
            traits=traits,
            max_report_age_ms=_REPORT_TTL_MS,
            started_ms=entry.started_ms,
        )
        self.servers[entry.name] = server
        if self._has_snapshot:
            share_cache_entries(self.servers.values())
        self._unused_announcements.discard(entry.name)
        _log.write(
            "registered", "new instance", server=entry.name, address=entry.address
        )
        return server

    def _remove(self, key: str) -> None:
        """Handle the removal of an entry.

        Entries that may have expired because of a store outage are retained for a
        grace period, since their servers write them again.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        if not entry.leaving and self.retention.retains(self.clock.now_ms()):
            self._retained.add(key)
            _log.write(
                "entry expired", "retained after a store outage", server=entry.name
            )
            return
        server = self.servers.get(entry.name)
        if server is not None:
            self.cold.forget(server)
        self._drop(key, "entry removed")

    def _drop_retained(self) -> None:
        if not self._retained or self.retention.retains(self.clock.now_ms()):
            return
        for key in list(self._retained):
            self._drop(key, "entry not written again after a store outage")

    def _drop(self, key: str, reason: str) -> None:
        self._retained.discard(key)
        entry = self._entries.pop(key)
        self.servers.pop(entry.name, None)
        share_cache_entries(self.servers.values())
        self._unused_announcements.discard(entry.name)
        self.links.close_idle(entry.address)
        _log.write("deregistered", reason, server=entry.name)


def _is_new_instance(previous: ServerEntry, entry: ServerEntry) -> bool:
    same = attrs.evolve(
        previous,
        leaving=entry.leaving,
        slots=entry.slots,
        cold_left_ms=entry.cold_left_ms,
    )
    return same != entry
