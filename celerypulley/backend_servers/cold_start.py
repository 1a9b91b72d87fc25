"""Cold servers: what a host believes of them, and when it may send them a request.

A cold server crashes if all hosts together send it too many requests. Each host has
shares of its own, which begin at points of the wall clock that differ between hosts.
"""

import math
from collections.abc import Callable, Iterable

import attrs
import xxhash

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.clock import NEVER_MS
from celerypulley.contracts.desired_state import ServiceRule
from celerypulley.decision_log import DecisionLog

__all__ = ["ColdBounds", "ColdServers", "ColdState", "Instant", "ShareSchedule"]

# Shares that could be kept would all be used in the first second of a burst.
_SHARE_LAPSE_MS = 150.0
_CLOCK_DIFFERENCE_MS = 300.0  # between the wall clocks of hosts
# Shares of one second: those of two schedules where N changes, each with the lapse.
_SECONDS_OF_SHARES = 1.0 + (2 * _SHARE_LAPSE_MS + _CLOCK_DIFFERENCE_MS) / 1000
_SHARES_AT_EDGES = 2.0
_ENTRY_DELAY_MS = 800.0  # an entry that arrives may have been written this long ago
_MAX_STATES = 5_000  # starts of servers that are remembered
_log = DecisionLog("cold")


@attrs.frozen
class Instant:
    """One point in time: this host's monotonic time and the wall-clock time."""

    now_ms: float
    wall_ms: float


@attrs.frozen
class ColdBounds:
    """The limit on requests to a cold server, from its rate in the desired state.

    In any second all hosts together send at most its rate times `overrun` plus
    `slack` requests.
    """

    overrun: float = 1.5
    slack: float = 5.0

    def planned_per_s(self, cold_per_s: float) -> float:
        """Return the rate of all shares together that stays within the limit."""
        limit = cold_per_s * self.overrun + self.slack
        return min(cold_per_s, max(0.0, limit - _SHARES_AT_EDGES) / _SECONDS_OF_SHARES)


@attrs.frozen
class ShareSchedule:
    """When the shares of one host begin: each `interval_ms`, and at `offset_ms`."""

    interval_ms: float
    offset_ms: float

    @classmethod
    def of(
        cls, host: str, hosts: frozenset[str], start: str, planned_per_s: float
    ) -> "ShareSchedule | None":
        """Return the schedule of `host` among `hosts` for a start of a server.

        None if it has no shares.
        """
        if host not in hosts or planned_per_s <= 0.0:
            return None
        own_weight = _weight(start, host)
        rank = sum(_weight(start, each) < own_weight for each in hosts)
        interval_ms = len(hosts) / planned_per_s * 1000
        return cls(interval_ms, rank / len(hosts) * interval_ms)

    @property
    def lapse_ms(self) -> float:
        """Return the time for which a share may be used."""
        return min(_SHARE_LAPSE_MS, self.interval_ms / 2)

    @property
    def min_distance_ms(self) -> float:
        """Return the time between the uses of two shares that follow each other."""
        return self.interval_ms - self.lapse_ms

    def wait_ms(self, instant: Instant, last_sent_ms: float) -> float:
        """Return the time until a request may be sent, 0 if it may be sent now.

        `last_sent_ms` is the monotonic time of this host's last request.
        """
        distance_ms = last_sent_ms + self.min_distance_ms - instant.now_ms
        wait_ms = max(0.0, distance_ms)
        since_ms = (instant.wall_ms + wait_ms - self.offset_ms) % self.interval_ms
        if since_ms < self.lapse_ms:
            return wait_ms
        return wait_ms + self.interval_ms - since_ms


def _weight(start: str, host: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{start}\0{host}".encode()), host


@attrs.define(eq=False)
class ColdState:
    """What this host knows of one start of a server.

    It is cold until `until_ms`, or since `assumed_since_ms` for as long as a start of
    its service takes. Entries that arrive before `entries_late_until_ms` may be older
    than that. `schedule` was made for `schedule_hosts` and `schedule_per_s`.
    """

    until_ms: float = NEVER_MS
    assumed_since_ms: float | None = None
    entries_late_until_ms: float = NEVER_MS
    revision: int = 0
    last_sent_ms: float = NEVER_MS
    schedule: ShareSchedule | None = None
    schedule_hosts: frozenset[str] | None = None
    schedule_per_s: float = 0.0

    def left_ms(self, rule: ServiceRule, now_ms: float) -> float:
        """Return for how long it stays cold, 0 if it is not cold."""
        until_ms = self.until_ms
        if self.assumed_since_ms is not None:
            until_ms = self.assumed_since_ms + rule.cold_start_ms
        return max(0.0, until_ms - now_ms)


class ColdServers:
    """The cold servers as one host knows them, and its shares of them.

    `sent_count` counts requests to cold servers, `waited_count` those that waited for
    a share and `refused_count` those that got none.
    """

    def __init__(
        self,
        host: str,
        read_rule: Callable[[str], ServiceRule | None],
        read_hosts: Callable[[], frozenset[str]],
        bounds: ColdBounds,
    ) -> None:
        """Count the shares of `host`.

        `read_rule(service)` returns the rule of a service, and `read_hosts()` the hosts
        that may send requests, empty as long as they are unknown.
        """
        self.host = host
        self.read_rule = read_rule
        self.read_hosts = read_hosts
        self.bounds = bounds
        self.sent_count = 0
        self.waited_count = 0
        self.refused_count = 0
        self.waiting: dict[str, int] = {}
        self._states: dict[tuple[str, int], ColdState] = {}

    def record_start(
        self, server: EngineState, left_ms: float, revision: int, now_ms: float
    ) -> None:
        """Record an entry with a start that is new to this host.

        A start that this host has known before is treated as any entry.
        """
        if server.started_ms and _key(server) in self._states:
            self.record_entry(server, left_ms, revision, now_ms)
            return
        self._states.pop(_key(server), None)
        self._state(server).revision = revision
        self._assume(server, left_ms, now_ms, "its start is new")

    def forget(self, server: EngineState) -> None:
        """Forget a start that ended its registration; if it returns it is new."""
        self._states.pop(_key(server), None)

    def record_return(
        self, server: EngineState, left_ms: float, revision: int, now_ms: float
    ) -> None:
        """Record an entry by which a server accepts requests again."""
        self._state(server).revision = revision
        self._assume(server, left_ms, now_ms, "it was draining and returned")

    def record_release(self, server: EngineState, now_ms: float) -> None:
        """Record that the evacuation of a server's failure domain has ended."""
        self._assume(server, 0.0, now_ms, "the evacuation of its domain ended")

    def record_entry(
        self, server: EngineState, left_ms: float, revision: int, now_ms: float
    ) -> None:
        """Record the remaining time of an entry, unless its revision is known."""
        state = self._state(server)
        if revision <= state.revision:
            return
        state.revision = revision
        may_be_older = now_ms < state.entries_late_until_ms
        if may_be_older and left_ms < self.left_ms(server, now_ms):
            return
        self._set(server, state, left_ms, now_ms, "its entry")

    def record_response(
        self, server: EngineState, left_ms: float, now_ms: float
    ) -> None:
        """Record the remaining time that a server's response gives."""
        state = self._state(server)
        state.entries_late_until_ms = now_ms + _ENTRY_DELAY_MS
        self._set(server, state, left_ms, now_ms, "its response")

    def left_ms(self, server: EngineState, now_ms: float) -> float:
        """Return for how long a server stays cold, 0 if it is not cold."""
        rule = self._rule(server)
        state = self._states.get(_key(server))
        if rule is None or state is None:
            return 0.0
        return state.left_ms(rule, now_ms)

    def count_cold(self, servers: Iterable[EngineState], now_ms: float) -> int:
        """Return how many of these servers are cold."""
        return sum(self.left_ms(each, now_ms) > 0.0 for each in servers)

    def wait_ms(self, server: EngineState, instant: Instant) -> float:
        """Return the time until this host may send a server a request.

        It is 0 for a server that is not cold, and at most the time that it stays cold.
        """
        left_ms = self.left_ms(server, instant.now_ms)
        if left_ms <= 0.0:
            return 0.0
        schedule = self._schedule(server)
        if schedule is None:
            return left_ms
        last_sent_ms = self._states[_key(server)].last_sent_ms
        return min(left_ms, schedule.wait_ms(instant, last_sent_ms))

    def allowed(
        self, service: str, servers: list[EngineState], instant: Instant
    ) -> list[EngineState]:
        """Return the servers of a service to which this host may send a request now."""
        rule = self.read_rule(service)
        if rule is None or rule.cold_per_s <= 0.0:
            return servers
        return [each for each in servers if self.wait_ms(each, instant) <= 0.0]

    def take_share(self, server: EngineState, instant: Instant) -> bool:
        """Use this host's share of a server; return whether the server is cold."""
        if self.left_ms(server, instant.now_ms) <= 0.0:
            return False
        self._states[_key(server)].last_sent_ms = instant.now_ms
        self.sent_count += 1
        return True

    def share_wait_ms(
        self, servers: Iterable[EngineState], position: int, instant: Instant
    ) -> float:
        """Return the time until the share for which no other request waits.

        `position` requests wait already. It is infinite without cold servers.
        """
        waits_ms = []
        for server in servers:
            left_ms = self.left_ms(server, instant.now_ms)
            wait_ms = self.wait_ms(server, instant)
            schedule = self._schedule(server)
            interval_ms = schedule.interval_ms if schedule else math.inf
            waits_ms.append(wait_ms)
            for number in range(1, position + 1):
                waits_ms.append(min(left_ms, wait_ms + number * interval_ms))
        waits_ms.sort()
        return waits_ms[position] if waits_ms else math.inf

    def _schedule(self, server: EngineState) -> ShareSchedule | None:
        rule = self._rule(server)
        state = self._states.get(_key(server))
        if rule is None or state is None:
            return None
        hosts = self.read_hosts()
        if state.schedule_hosts is hosts and state.schedule_per_s == rule.cold_per_s:
            return state.schedule
        state.schedule_hosts = hosts
        state.schedule_per_s = rule.cold_per_s
        state.schedule = ShareSchedule.of(
            self.host,
            hosts,
            f"{server.started_ms}/{server.name}",
            self.bounds.planned_per_s(rule.cold_per_s),
        )
        return state.schedule

    def _rule(self, server: EngineState) -> ServiceRule | None:
        """Return the rule of a server's service if that has a limit."""
        for service in server.models:
            rule = self.read_rule(service)
            if rule is not None and rule.cold_per_s > 0.0:
                return rule
        return None

    def _state(self, server: EngineState) -> ColdState:
        state = self._states.get(_key(server))
        if state is None:
            state = self._states[_key(server)] = ColdState()
            if len(self._states) > _MAX_STATES:
                del self._states[next(iter(self._states))]
        return state

    def _assume(
        self, server: EngineState, left_ms: float, now_ms: float, reason: str
    ) -> None:
        """Assume that a server is cold, for `left_ms` if it says so."""
        state = self._state(server)
        state.entries_late_until_ms = now_ms + _ENTRY_DELAY_MS
        if left_ms > 0.0:
            self._set(server, state, left_ms, now_ms, "its entry")
            return
        state.assumed_since_ms = now_ms
        self._log_left(server, now_ms, reason)

    def _set(
        self,
        server: EngineState,
        state: ColdState,
        left_ms: float,
        now_ms: float,
        source: str,
    ) -> None:
        was_cold = self.left_ms(server, now_ms) > 0.0
        state.assumed_since_ms = None
        state.until_ms = now_ms + left_ms
        if was_cold != (left_ms > 0.0):
            self._log_left(server, now_ms, f"as {source} says")

    def _log_left(self, server: EngineState, now_ms: float, reason: str) -> None:
        if self._rule(server) is None:
            return
        left_ms = self.left_ms(server, now_ms)
        _log.write(
            "cold" if left_ms > 0.0 else "no longer cold",
            reason,
            server=server.name,
            left_ms=round(left_ms),
        )


def _key(server: EngineState) -> tuple[str, int]:
    return server.name, server.started_ms
