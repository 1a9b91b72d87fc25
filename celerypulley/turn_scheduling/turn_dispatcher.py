"""Assign the engines of one failure domain to turns, in order, or refuse turns.

Load pattern: bursts of up to twice the capacity for seconds. Without a common order
every host fills the engines' own queues, programs under way wait behind new ones, and
all of them miss their targets long after the burst.
"""

import enum
import math
import random
from collections.abc import Callable

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.turn_scheduling.engine_slots import Assignment, EngineSlots
from celerypulley.turn_scheduling.turn_order import (
    Turn,
    WaitLimits,
    is_late,
    order_key,
    wait_limit_ms,
)

__all__ = ["Decision", "SlotOutcome", "TurnDispatcher", "TurnRefusal"]

_RATE_HALF_LIFE_MS = 1_000.0
# The fraction of the slots that a forecast without samples assumes for first turns.
_MIN_FIRST_FRACTION = 0.1
_TYPICAL_RUN_MS = 250.0  # of a turn, until turns have been measured
_RUN_GAIN = 0.05
# Two of the six slots of an engine become free in this time.
_CACHE_WAIT_MS = 80.0
_CACHED_FRACTION = 0.5
_OVERLOAD_AFTER_MS = 1_000.0
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 1.0  # callers wait no longer than a third of their deadline, 3 s
_PROGRAM_TTL_MS = 30_000.0  # pauses between the turns of a program are shorter
_MAX_PROGRAMS = 20_000


class SlotOutcome(enum.Enum):
    """What became of a turn on the engine that it was assigned.

    SHED: the engine was full. UNKNOWN: nothing is learned of the engine.
    """

    COMPLETE = "complete"
    FAILED = "failed"
    SHED = "shed"
    UNKNOWN = "unknown"


@attrs.frozen
class TurnRefusal:
    """Why a turn gets no engine, and when its caller should come back."""

    detail: str
    retry_after_s: float


@attrs.frozen
class Decision:
    """What becomes of a waiting turn: an assignment, or else a refusal."""

    turn: Turn
    outcome: Assignment | TurnRefusal


@attrs.define
class _DecayingCount:
    """Events a second, weighted by age with a half-life of a second."""

    weight: float = 0.0
    updated_ms: float = -math.inf

    def add(self, now_ms: float) -> None:
        """Count an event."""
        self.weight = self.current(now_ms) + 1.0
        self.updated_ms = now_ms

    def current(self, now_ms: float) -> float:
        """Return the decayed sum."""
        if not self.weight:
            return 0.0
        return self.weight * 0.5 ** ((now_ms - self.updated_ms) / _RATE_HALF_LIFE_MS)

    def rate_per_s(self, now_ms: float) -> float:
        """Return the average rate of the recent events."""
        return self.current(now_ms) * math.log(2) * 1000 / _RATE_HALF_LIFE_MS


class TurnDispatcher:
    """The waiting turns and the engine slots of one failure domain.

    `waiting` are turns without an engine. `refused_count` and `expired_count` count
    refused turns and slots that were freed without a release.
    """

    def __init__(
        self,
        domain: str,
        limits: WaitLimits | None = None,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Assign the engines of `domain`; `draw()` returns a number in [0, 1)."""
        self.domain = domain
        self.limits = limits or WaitLimits()
        self._draw = draw
        self.slots = EngineSlots()
        self.waiting: dict[tuple[str, int], Turn] = {}
        self.refused_count = 0
        self.expired_count = 0
        self._first_turns: dict[int, _DecayingCount] = {}
        self._loads: dict[str, _DecayingCount] = {}
        self._programs: dict[str, float] = {}
        self._run_ms = _TYPICAL_RUN_MS
        self._overloaded_since_ms = math.inf
        self._next_return_ms = -math.inf

    def update_engines(self, servers: list[EngineState], memory_tokens: int) -> None:
        """Take over the engines of the domain that accept work."""
        self.slots.update(servers, memory_tokens)

    def knows_program(self, program: str) -> bool:
        """Return whether a turn of this program has had an engine here."""
        return program in self._programs

    def try_assign(self, turn: Turn, now_ms: float) -> Assignment | None:
        """Assign an engine at once if one has room and no turn waits."""
        self._expire(now_ms)
        if self.waiting:
            return None
        assignment = self.slots.assign(turn, self.domain, now_ms)
        if assignment is not None:
            self._record_start(turn, now_ms)
        return assignment

    def submit(self, turn: Turn, now_ms: float) -> TurnRefusal | None:
        """Add a turn to those that wait, or refuse it at once.

        A first turn is refused if it would wait longer than its program can afford.
        """
        if turn.is_first:
            expected_ms = self.expected_wait_ms(turn, now_ms)
            limit_ms = wait_limit_ms(turn, self.limits)
            if expected_ms > limit_ms:
                return self._refuse(
                    f"expected wait of {expected_ms:.0f} ms exceeds {limit_ms:.0f} ms",
                    expected_ms,
                    now_ms,
                )
        self.waiting[turn.identity] = turn
        return None

    def withdraw(self, identity: tuple[str, int]) -> None:
        """Forget a waiting turn whose caller has left."""
        self.waiting.pop(identity, None)

    def release(
        self, identity: tuple[str, int], now_ms: float, outcome: SlotOutcome
    ) -> None:
        """Free the slot of a turn."""
        assignment = self.slots.release(identity)
        if assignment is None:
            return
        if outcome is SlotOutcome.COMPLETE:
            took_ms = now_ms - assignment.assigned_ms
            self._run_ms += (took_ms - self._run_ms) * _RUN_GAIN
            self.slots.record_success(assignment, now_ms)
        elif outcome is SlotOutcome.FAILED:
            self.slots.record_failure(assignment.server, now_ms)
        elif outcome is SlotOutcome.SHED:
            self.slots.record_shed(assignment.server, now_ms)

    def expected_wait_ms(self, turn: Turn, now_ms: float) -> float:
        """Return how long a new first turn would wait for an engine.

        Turns of programs under way take the next slots that become free. First turns
        follow at the rate at which they have recently got engines.
        """
        ahead = [
            each for each in self.waiting.values() if each.priority <= turn.priority
        ]
        first_ahead = sum(each.is_first for each in ahead)
        recent = self._first_turns.get(turn.priority)
        recent_per_s = recent.rate_per_s(now_ms) if recent else 0.0
        first_per_s = max(self._min_first_per_s(), recent_per_s)
        under_way_ms = (len(ahead) - first_ahead) / self._turns_per_s() * 1000
        return under_way_ms + first_ahead / first_per_s * 1000

    def _turns_per_s(self) -> float:
        """Return how many turns end in a second while all slots are occupied."""
        return max(1, self.slots.total) / self._run_ms * 1000

    def _min_first_per_s(self) -> float:
        return self._turns_per_s() * _MIN_FIRST_FRACTION

    def decide(self, now_ms: float) -> list[Decision]:
        """Return what becomes of waiting turns now; they wait no longer.

        A free slot goes to the first turn in order, except that for some time a program
        under way waits for an engine that has its history cached: to read it again
        delays all other turns on the engine, too.
        """
        self._expire(now_ms)
        decisions: list[Decision] = []
        without_cache: list[Turn] = []
        for turn in self._in_order(now_ms):
            waited_ms = now_ms - turn.submitted_ms
            waits_for_cache = not turn.is_first and waited_ms < _CACHE_WAIT_MS
            decision = self._decide_one(
                turn, now_ms, _CACHED_FRACTION if waits_for_cache else 0.0
            )
            if decision is not None:
                decisions.append(decision)
            elif waits_for_cache:
                without_cache.append(turn)
        for turn in without_cache:
            decision = self._decide_one(turn, now_ms)
            if decision is not None:
                decisions.append(decision)
        for decision in decisions:
            del self.waiting[decision.turn.identity]
        return decisions

    def next_due_ms(self) -> float:
        """Return when the wait of a turn ends without a slot, inf if none waits."""
        due_ms = math.inf
        for turn in self.waiting.values():
            limit_ms = wait_limit_ms(turn, self.limits)
            due_ms = min(due_ms, turn.submitted_ms + limit_ms)
        return due_ms

    def _decide_one(
        self, turn: Turn, now_ms: float, min_cached_fraction: float = 0.0
    ) -> Decision | None:
        assignment = self.slots.assign(
            turn, self.domain, now_ms, min_cached_fraction=min_cached_fraction
        )
        if assignment is not None:
            self._record_start(turn, now_ms)
            return Decision(turn, assignment)
        waited_ms = now_ms - turn.submitted_ms
        if waited_ms < wait_limit_ms(turn, self.limits):
            return None
        if turn.is_first:
            self._overloaded_since_ms = min(self._overloaded_since_ms, now_ms)
            refusal = self._refuse(
                f"no engine had room within {waited_ms:.0f} ms", waited_ms, now_ms
            )
            return Decision(turn, refusal)
        assignment = self.slots.assign(turn, self.domain, now_ms, must_fit=False)
        if assignment is None:
            refusal = self._refuse("no engine accepts work", waited_ms, now_ms)
            return Decision(turn, refusal)
        self._record_start(turn, now_ms)
        return Decision(turn, assignment)

    def _in_order(self, now_ms: float) -> list[Turn]:
        if not any(turn.is_first for turn in self.waiting.values()):
            self._overloaded_since_ms = math.inf
        newest_first = now_ms - self._overloaded_since_ms > _OVERLOAD_AFTER_MS

        def key(turn: Turn) -> tuple:
            load = self._loads.get(turn.organisation)
            return order_key(
                turn,
                is_late(turn, now_ms, self.limits, self._run_ms),
                load.current(now_ms) if load else 0.0,
                newest_first,
            )

        return sorted(self.waiting.values(), key=key)

    def _record_start(self, turn: Turn, now_ms: float) -> None:
        load = self._loads.setdefault(turn.organisation, _DecayingCount())
        load.add(now_ms)
        if turn.is_first:
            recent = self._first_turns.setdefault(turn.priority, _DecayingCount())
            recent.add(now_ms)
        if turn.program:
            self._programs.pop(turn.program, None)
            self._programs[turn.program] = now_ms
        while self._programs:
            oldest = next(iter(self._programs))
            is_recent = now_ms - self._programs[oldest] < _PROGRAM_TTL_MS
            if is_recent and len(self._programs) <= _MAX_PROGRAMS:
                break
            del self._programs[oldest]

    def _refuse(self, detail: str, wait_ms: float, now_ms: float) -> TurnRefusal:
        """Return a refusal whose callers come back one after another.

        They return in the order of their refusals, at the rate at which first turns get
        engines. Where that exceeds what callers wait for, they are spread by chance.
        """
        self.refused_count += 1
        recent_per_s = sum(
            each.rate_per_s(now_ms) for each in self._first_turns.values()
        )
        spacing_ms = 1000 / max(recent_per_s, self._min_first_per_s())
        return_ms = max(now_ms + wait_ms, self._next_return_ms + spacing_ms)
        latest_ms = now_ms + _MAX_RETRY_S * 1000
        if return_ms > latest_ms:
            return_ms = latest_ms - self._draw() * _MAX_RETRY_S * 500
        else:
            self._next_return_ms = return_ms
        retry_after_s = max(_MIN_RETRY_S, (return_ms - now_ms) / 1000)
        return TurnRefusal(detail, round(retry_after_s, 2))

    def _expire(self, now_ms: float) -> None:
        self.expired_count += self.slots.expire(now_ms)
