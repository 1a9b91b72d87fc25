"""The engines of one failure domain as the host that assigns their slots sees them.

All turns for these engines are assigned here, so that occupied slots, memory and cached
prefixes are known without waiting for reports.
"""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import (
    EngineCall,
    cached_tokens,
    expected_finish_ms,
    shared_cost_ms,
    usable_engines,
)
from celerypulley.turn_scheduling.turn_order import Turn

__all__ = ["Assignment", "EngineSlots"]

# A release may be lost. Responses rarely take three times the estimate.
_EXPIRY_FACTOR = 3.0
_MIN_EXPIRY_MS = 600.0
_PACE_GAIN = 0.25
_SHED_BACKOFF_MS = 100.0  # a slot of a full engine becomes free within 40 ms
_MAX_PREFIXES = 2_000  # of an engine whose memory is unknown
_MEMORY_FRACTION = 0.9  # the rest is for outputs above the expected length


@attrs.frozen
class Assignment:
    """A slot that a turn occupies until it is released, or until `expires_ms`.

    `expected_ms` is the estimated duration of the turn.
    """

    turn: Turn
    server: str
    assigned_ms: float
    expected_ms: float
    expires_ms: float


@attrs.define(eq=False)
class _Engine:
    """One engine: its state for the cost functions, and what occupies it.

    `prefix_tokens` are the tokens of all prefixes in `state.cache_entries`.
    """

    state: EngineState
    assignments: OrderedDict[tuple[str, int], Assignment] = attrs.Factory(OrderedDict)
    prefix_tokens: int = 0

    def used_tokens(self) -> int:
        """Return the memory in tokens that running turns occupy."""
        return sum(each.turn.memory_tokens for each in self.assignments.values())

    def has_room(self, turn: Turn, memory_tokens: int) -> bool:
        """Return whether the turn can run at once and preempts nothing."""
        if len(self.assignments) >= self.state.traits.batch_limit:
            return False
        if not memory_tokens or not self.assignments:
            return True
        used_tokens = self.used_tokens() + turn.memory_tokens
        return used_tokens <= memory_tokens * _MEMORY_FRACTION

    def record_prefixes(self, turn: Turn, now_ms: float, memory_tokens: int) -> None:
        """Record what the engine has cached after a turn.

        The least recently used prefixes yield once its memory is full.
        """
        for part in turn.prefix_parts:
            known = self.state.cache_entries.get(part.name)
            self.prefix_tokens += part.tokens - (known[0] if known else 0)
            self.state.record_cached(part.name, part.tokens, now_ms)
        entries = self.state.cache_entries
        while entries:
            is_full = memory_tokens and self.prefix_tokens > memory_tokens
            if not is_full and len(entries) <= _MAX_PREFIXES:
                return
            _, (tokens, _) = entries.popitem(last=False)
            self.prefix_tokens -= tokens


class EngineSlots:
    """The slots of engines, and the turns that occupy them."""

    def __init__(self) -> None:
        """Start without engines; `update` names them."""
        self._engines: dict[str, _Engine] = {}
        self._servers: dict[tuple[str, int], str] = {}

    def update(self, servers: Iterable[EngineState], memory_tokens: int) -> None:
        """Take over the engines that accept work, and what else is known of them.

        A new start of an engine begins with free slots and an empty cache.
        """
        engines: dict[str, _Engine] = {}
        for server in servers:
            engine = self._engines.get(server.name)
            if engine is None or engine.state.started_ms != server.started_ms:
                engine = _Engine(_own_state(server))
            engine.state.traits = server.traits
            engine.state.pace = server.pace
            engine.state.pace_updated_ms = server.pace_updated_ms
            engine.state.state = server.state
            engine.state.backoff_until_ms = max(
                engine.state.backoff_until_ms, server.backoff_until_ms
            )
            engine.state.report = attrs.evolve(
                engine.state.report, memory_tokens=memory_tokens
            )
            engines[server.name] = engine
        for name, engine in self._engines.items():
            if engines.get(name) is engine:
                continue
            for identity in engine.assignments:
                self._servers.pop(identity, None)
        self._engines = engines

    @property
    def total(self) -> int:
        """Return the number of slots of all engines."""
        return sum(each.state.traits.batch_limit for each in self._engines.values())

    def is_usable(self, turn: Turn, domain: str, now_ms: float) -> bool:
        """Return whether an engine accepts the turn, now or once it has room."""
        return bool(self._usable(_engine_call(turn, domain, now_ms), turn))

    def _usable(self, call: EngineCall, turn: Turn) -> list[EngineState]:
        states = [each.state for each in self._engines.values()]
        return usable_engines(call, states, turn.excluded_servers)

    def assign(
        self,
        turn: Turn,
        domain: str,
        now_ms: float,
        must_fit: bool = True,
        min_cached_fraction: float = 0.0,
    ) -> Assignment | None:
        """Assign the engine with the lowest cost, or return None if none has room.

        Without `must_fit` a full engine is assigned too; it queues the turn. Engines
        that have cached less than `min_cached_fraction` of the prompt are left out.
        """
        min_cached_tokens = turn.prompt_tokens * min_cached_fraction
        call = _engine_call(turn, domain, now_ms)
        best: _Engine | None = None
        best_cost_ms = float("inf")
        for state in self._usable(call, turn):
            engine = self._engines[state.name]
            if must_fit and not engine.has_room(turn, state.report.memory_tokens):
                continue
            if min_cached_tokens and cached_tokens(call, state) < min_cached_tokens:
                continue
            cost_ms = shared_cost_ms(call, state)
            if cost_ms >= best_cost_ms:
                continue
            best = engine
            best_cost_ms = cost_ms
        if best is None:
            return None
        return self._occupy(best, turn, call)

    def _occupy(self, engine: _Engine, turn: Turn, call: EngineCall) -> Assignment:
        expected_ms = expected_finish_ms(call, engine.state)
        expires_ms = call.now_ms + max(_MIN_EXPIRY_MS, expected_ms * _EXPIRY_FACTOR)
        assignment = Assignment(
            turn, engine.state.name, call.now_ms, expected_ms, expires_ms
        )
        self._servers[turn.identity] = engine.state.name
        engine.assignments[turn.identity] = assignment
        engine.state.in_flight = len(engine.assignments)
        engine.record_prefixes(turn, call.now_ms, engine.state.report.memory_tokens)
        return assignment

    def release(self, identity: tuple[str, int]) -> Assignment | None:
        """Free the slot of a turn; return its assignment, None if it has none."""
        engine = self._engines.get(self._servers.pop(identity, ""))
        if engine is None:
            return None
        assignment = engine.assignments.pop(identity, None)
        engine.state.in_flight = len(engine.assignments)
        return assignment

    def record_failure(self, server: str, now_ms: float) -> None:
        """Back off from an engine that a host could not use."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.state.record_unreachable(now_ms)

    def record_shed(self, server: str, now_ms: float) -> None:
        """Leave out an engine for a moment that is full although it has free slots.

        Hosts that got no reply have sent it turns of their own choice.
        """
        engine = self._engines.get(server)
        if engine is not None:
            engine.state.backoff_until_ms = now_ms + _SHED_BACKOFF_MS

    def record_success(self, assignment: Assignment, now_ms: float) -> None:
        """Learn the pace of an engine from a completed turn, and end its back-off."""
        engine = self._engines.get(assignment.server)
        if engine is None:
            return
        engine.state.record_success()
        took_ms = now_ms - assignment.assigned_ms
        engine.state.record_duration(
            now_ms, took_ms, assignment.expected_ms, _PACE_GAIN
        )

    def expire(self, now_ms: float) -> int:
        """Free the slots whose release is overdue; return how many."""
        overdue = [
            identity
            for engine in self._engines.values()
            for identity, assignment in engine.assignments.items()
            if assignment.expires_ms <= now_ms
        ]
        for identity in overdue:
            self.release(identity)
        return len(overdue)


def _own_state(server: EngineState) -> EngineState:
    return EngineState(
        server.name,
        server.domain,
        server.address,
        server.models,
        traits=server.traits,
        started_ms=server.started_ms,
    )


def _engine_call(turn: Turn, domain: str, now_ms: float) -> EngineCall:
    return EngineCall(
        program=turn.program,
        model=turn.service,
        prompt_tokens=turn.prompt_tokens,
        expected_tokens=turn.expected_tokens,
        domain=domain,
        now_ms=now_ms,
        prefix_parts=turn.prefix_parts,
    )
