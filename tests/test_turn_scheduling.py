"""Turns that compete for engine slots: order, refusals, and a replay of a burst."""

import heapq
import itertools
import math
from collections.abc import Callable

import attrs
import pytest

from celerypulley.backend_servers.engine_state import EngineState, EngineTraits
from celerypulley.programs.opaque_request import PrefixPart
from celerypulley.turn_scheduling.engine_slots import EngineSlots
from celerypulley.turn_scheduling.turn_dispatcher import (
    SlotOutcome,
    TurnDispatcher,
)
from celerypulley.turn_scheduling.turn_order import (
    Turn,
    WaitLimits,
    is_late,
    order_key,
    wait_limit_ms,
)

NOW_MS = 100_000.0
SLOTS = 6
RUN_MS = 220.0
PROMPT = (PrefixPart("shared", 512), PrefixPart("own", 600))


def make_engine(name: str = "engine-0", started_ms: int = 0) -> EngineState:
    traits = EngineTraits(3.0, 0.02, 221_000.0, SLOTS)
    return EngineState(
        name, "a", "", frozenset(("chat",)), traits=traits, started_ms=started_ms
    )


def make_turn(number: int = 0, **changes: object) -> Turn:
    defaults = {
        "identity": ("host", number),
        "service": "chat",
        "organisation": "clerks",
        "program": f"program-{number}",
        "is_first": False,
        "priority": 0,
        "prompt_tokens": 1_112,
        "expected_tokens": 73,
        "prefix_parts": PROMPT,
        "submitted_ms": NOW_MS,
        "deadline_ms": NOW_MS + 3_000,
        "target_ms": NOW_MS + 1_500,
    }
    return Turn(**{**defaults, **changes})


LATE = {"target_ms": NOW_MS - 1}
FIRST = {"is_first": True}
WAITED = {"submitted_ms": NOW_MS - 500}


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        pytest.param({}, FIRST, id="under way before new"),
        pytest.param(FIRST, {"priority": 1}, id="priority before under way"),
        pytest.param(FIRST, LATE, id="in time before late"),
        pytest.param(LATE, {**FIRST, **LATE}, id="late under way before late new"),
        pytest.param({**LATE, **WAITED}, FIRST, id="late one that waited is promoted"),
        pytest.param({}, {"priority": 1}, id="by priority"),
        pytest.param({"target_ms": NOW_MS + 900}, {}, id="least time left"),
        pytest.param(
            {**FIRST, "submitted_ms": NOW_MS - 20}, FIRST, id="first come, first served"
        ),
        pytest.param(
            {**FIRST, "organisation": "idle"}, FIRST, id="least served organisation"
        ),
    ],
)
def test_order_of_waiting_turns(earlier, later):
    """Guards against programs under way that wait behind those that begin."""
    loads = {"clerks": 8.0, "idle": 0.0}

    def key(turn: Turn) -> tuple:
        load = loads[turn.organisation]
        is_late_turn = is_late(turn, NOW_MS, WaitLimits(), RUN_MS)
        return order_key(turn, is_late_turn, load, False)

    assert key(make_turn(1, **earlier)) < key(make_turn(2, **later))


@pytest.mark.parametrize(
    ("changes", "limit_ms"),
    [
        ({}, 600.0),
        ({"deadline_ms": NOW_MS + 200}, 200.0),
        (FIRST, 225.0),
        ({**FIRST, "target_ms": math.inf}, 100.0),
        ({**FIRST, **LATE}, 50.0),
        ({**FIRST, "target_ms": NOW_MS + 9e9}, 600.0),
    ],
)
def test_turns_wait_no_longer_than_their_program_can_afford(changes, limit_ms):
    """Guards against turns that wait until their deadline and are refused then."""
    assert wait_limit_ms(make_turn(**changes), WaitLimits()) == limit_ms


@pytest.mark.parametrize(
    ("turns", "memory_tokens", "has_room"),
    [
        (SLOTS - 1, 0, True),
        (SLOTS, 0, False),
        (2, 3 * 1_185, False),
        (2, 4 * 1_185, True),
        (0, 100, True),
    ],
)
def test_engine_gets_what_fits_its_slots_and_memory(turns, memory_tokens, has_room):
    """Guards against engines that preempt turns and read their prompts again."""
    slots = EngineSlots()
    slots.update([make_engine()], memory_tokens)
    for number in range(turns):
        assert slots.assign(make_turn(number), "a", NOW_MS) is not None
    assigned = slots.assign(make_turn(99), "a", NOW_MS)
    assert (assigned is not None) == has_room


def test_slot_whose_release_was_lost_is_freed_after_a_while():
    """Guards against slots that stay occupied because a datagram was lost."""
    slots = EngineSlots()
    slots.update([make_engine()], 0)
    assignment = slots.assign(make_turn(), "a", NOW_MS)
    assert slots.expire(assignment.expires_ms - 1) == 0
    assert slots.expire(assignment.expires_ms) == 1
    for number in range(10, 10 + SLOTS):
        assert slots.assign(make_turn(number), "a", NOW_MS) is not None


def test_new_start_of_an_engine_has_free_slots_and_no_cache():
    """Guards against slots of a former start that are never freed."""
    slots = EngineSlots()
    slots.update([make_engine()], 0)
    for number in range(SLOTS):
        slots.assign(make_turn(number), "a", NOW_MS)
    slots.update([make_engine(started_ms=1)], 0)
    assert slots.assign(make_turn(99), "a", NOW_MS) is not None
    assert slots.release(("host", 0)) is None


def test_turn_goes_where_its_prompt_is_cached():
    """Guards against shared prompts that every engine reads again."""
    slots = EngineSlots()
    slots.update([make_engine(), make_engine("engine-1")], 100_000)
    first = slots.assign(make_turn(0), "a", NOW_MS)
    slots.release(("host", 0))
    assert slots.assign(make_turn(1), "a", NOW_MS + 300).server == first.server


def test_refused_callers_return_in_order_and_not_together():
    """Guards against callers that all come back at the same moment."""
    dispatcher = TurnDispatcher("a", draw=lambda: 0.5)
    dispatcher.update_engines([make_engine()], 0)
    for number in range(SLOTS):
        dispatcher.try_assign(make_turn(number), NOW_MS)
    refusals = []
    for number in range(10, 40):
        refusal = dispatcher.submit(make_turn(number, **FIRST), NOW_MS)
        if refusal is not None:
            refusals.append(refusal.retry_after_s)
    spaced = [each for each in refusals if each < 0.75]
    assert len(refusals) > 10
    assert spaced == sorted(set(spaced))
    assert all(0.1 <= each <= 1.0 for each in refusals)


@attrs.define(eq=False)
class _Program:
    started_ms: float
    turns: int
    pause_ms: float
    turns_done: int = 0
    ended_ms: float = math.inf

    @property
    def target_ms(self) -> float:
        idle_ms = self.turns * (RUN_MS + self.pause_ms)
        return self.started_ms + 1.2 * idle_ms + 200

    @property
    def is_in_time(self) -> bool:
        return self.ended_ms <= self.target_ms


_ENGINES = 4
# Turns of a program and the pause between them: two short programs for a long one.
_KINDS = ((4, 60.0), (4, 60.0), (11, 250.0))
_RETRIES = 3
_BURST_MS = (4_000.0, 16_000.0)
_END_MS = 40_000.0
# Programs a second that the slots can run, and the load as a fraction of that.
_TURNS_PER_PROGRAM = sum(turns for turns, _ in _KINDS) / len(_KINDS)
_CAPACITY_PER_S = _ENGINES * SLOTS / RUN_MS * 1000 / _TURNS_PER_PROGRAM
_CALM_LOAD, _BURST_LOAD = 0.6, 2.0


class _Replay:
    """Programs that begin at a given rate, on engines with a fixed run time."""

    def __init__(self) -> None:
        self.events: list[tuple] = []
        self.numbers = itertools.count()
        self.programs: list[_Program] = []

    def at(self, at_ms: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def run(self, begin_turn: Callable[[float, _Program, int], None]) -> None:
        at_ms = 0.0
        while at_ms < _END_MS:
            program = _Program(at_ms, *_KINDS[len(self.programs) % len(_KINDS)])
            self.programs.append(program)
            self.at(at_ms, begin_turn, program, 0)
            in_burst = _BURST_MS[0] <= at_ms < _BURST_MS[1]
            load = _BURST_LOAD if in_burst else _CALM_LOAD
            at_ms += 1000 / (_CAPACITY_PER_S * load)
        while self.events:
            at_ms, _, action, arguments = heapq.heappop(self.events)
            action(at_ms, *arguments)

    def end_turn(self, now_ms: float, program: _Program, begin_turn: Callable) -> None:
        program.turns_done += 1
        if program.turns_done < program.turns:
            self.at(now_ms + program.pause_ms, begin_turn, program, 0)
        else:
            program.ended_ms = now_ms

    def late_until_ms(self) -> float:
        """Return when the last program began that missed its target."""
        return max(each.started_ms for each in self.programs if not each.is_in_time)

    def in_time(self) -> int:
        return sum(each.is_in_time for each in self.programs)


def _replay_without_order() -> _Replay:
    """Send each turn to the engine with the fewest turns; 18 wait there at most."""
    replay = _Replay()
    free_at_ms = [[0.0] * SLOTS for _ in range(_ENGINES)]

    def begin_turn(now_ms: float, program: _Program, tries: int) -> None:
        slots = min(free_at_ms, key=lambda each: (min(each), sum(each)))
        earliest_ms = min(slots)
        if earliest_ms > now_ms + 18 / SLOTS * RUN_MS:
            if tries < _RETRIES:
                replay.at(now_ms + 100.0, begin_turn, program, tries + 1)
            return
        end_ms = max(now_ms, earliest_ms) + RUN_MS
        slots[slots.index(earliest_ms)] = end_ms
        replay.at(end_ms, replay.end_turn, program, begin_turn)

    replay.run(begin_turn)
    return replay


def _replay_with_dispatcher() -> _Replay:
    replay = _Replay()
    dispatcher = TurnDispatcher("a", draw=lambda: 0.5)
    dispatcher.update_engines([make_engine(f"e{n}") for n in range(_ENGINES)], 0)
    waiting: dict[tuple[str, int], tuple[_Program, int]] = {}
    due: list[float] = []

    def begin_turn(now_ms: float, program: _Program, tries: int) -> None:
        turn = make_turn(
            next(replay.numbers),
            program=f"{program.started_ms}",
            is_first=program.turns_done == 0,
            submitted_ms=now_ms,
            deadline_ms=now_ms + 3_000,
            target_ms=program.target_ms,
        )
        if dispatcher.try_assign(turn, now_ms) is not None:
            start(now_ms, turn, program)
            return
        refusal = dispatcher.submit(turn, now_ms)
        if refusal is not None:
            refuse(now_ms, refusal.retry_after_s, program, tries)
            return
        waiting[turn.identity] = program, tries
        decide(now_ms)

    def start(now_ms: float, turn: Turn, program: _Program) -> None:
        replay.at(now_ms + RUN_MS, end_turn, turn, program)

    def refuse(now_ms: float, after_s: float, program: _Program, tries: int) -> None:
        if tries < _RETRIES:
            replay.at(now_ms + after_s * 1000, begin_turn, program, tries + 1)

    def end_turn(now_ms: float, turn: Turn, program: _Program) -> None:
        dispatcher.release(turn.identity, now_ms, SlotOutcome.COMPLETE)
        replay.end_turn(now_ms, program, begin_turn)
        decide(now_ms)

    def decide(now_ms: float) -> None:
        for decision in dispatcher.decide(now_ms):
            program, tries = waiting.pop(decision.turn.identity)
            retry_after_s = getattr(decision.outcome, "retry_after_s", None)
            if retry_after_s is None:
                start(now_ms, decision.turn, program)
            else:
                refuse(now_ms, retry_after_s, program, tries)
        if waiting and not due:
            due.append(max(now_ms + 1.0, dispatcher.next_due_ms()))
            replay.at(due[0], decide_due)

    def decide_due(now_ms: float) -> None:
        due.clear()
        decide(now_ms)

    replay.run(begin_turn)
    return replay


def test_callers_are_served_in_time_soon_after_a_burst():
    """Guards against an overload that outlasts its cause by many seconds."""
    before, after = _replay_without_order(), _replay_with_dispatcher()
    assert before.late_until_ms() > _BURST_MS[1]
    assert after.late_until_ms() <= _BURST_MS[1] + 5_000
    assert after.in_time() > before.in_time()
