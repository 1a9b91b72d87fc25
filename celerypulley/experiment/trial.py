"""One trial: one policy on one seed, in virtual time.

Engines are the stand-ins' cores. Of a host only its beliefs are kept, since they
are what the decisions see: late load reports, its own sends, its own counters.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from celerypulley.backend_servers.engine_state import (
    EngineReport,
    EngineState,
    EngineTraits,
)
from celerypulley.backend_servers.ordering import OrderedCall, priority_of
from celerypulley.backend_servers.routing import EngineCall, choose_engine
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.experiment.plan import ExperimentPlan, PolicySet
from celerypulley.experiment.programs import TokenProgram
from celerypulley.stand_ins.engine_core import (
    EngineCore,
    EngineLimits,
    EngineRequest,
    Segment,
    StepReport,
)

__all__ = ["Trial", "TrialResult"]

_LINK_MS = 2.0
_REPORT_PERIOD_MS = 500.0
_SAMPLE_MS = 2_000.0
_EXPECTED_TOKENS = 128
_DOMAIN = "a"
_MODEL = "m"


@attrs.define
class ProgramRun:
    """One program under way."""

    program: TokenProgram
    next_turn: int = 0
    segments: list[Segment] = attrs.Factory(list)
    attained_tokens: int = 0
    waited_ms: float = 0.0
    ideal_ms: float = 0.0
    known_tokens: int = 0
    engine: str = ""


@attrs.define
class HostBeliefs:
    """What one host knows: its engine states and its own counters."""

    engines: dict[str, EngineState]
    shares: ServiceShares = attrs.Factory(ServiceShares)
    numbers: itertools.count = attrs.Factory(itertools.count)


@attrs.define
class EngineRun:
    """One engine and whether a step of it is under way."""

    name: str
    core: EngineCore
    busy: bool = False
    lost: bool = False
    stepping: StepReport | None = None


@attrs.define(kw_only=True)
class TrialResult:
    """What one trial gave; times in ms."""

    policy: str
    seed: int
    program_ms: dict[str, list[float]] = attrs.Factory(dict)
    slowdowns: dict[str, list[float]] = attrs.Factory(dict)
    first_token_ms: list[float] = attrs.Factory(list)
    token_gap_ms: list[float] = attrs.Factory(list)
    prefilled_tokens: int = 0
    repeated_tokens: int = 0
    dead_token_s: float = 0.0
    held: list[tuple[float, int, int]] = attrs.Factory(list)
    finished: int = 0
    lost_calls: int = 0


class Trial:
    """Run one policy over the programs of one seed."""

    def __init__(
        self,
        plan: ExperimentPlan,
        policy: PolicySet,
        seed: int,
        programs: list[TokenProgram],
    ) -> None:
        """Prepare engines, hosts and the first events."""
        self.plan = plan
        self.policy = policy
        self.result = TrialResult(policy=policy.name, seed=seed)
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        limits = EngineLimits(memory_tokens=plan.memory_tokens)
        self.engines = {
            f"e{number}": EngineRun(f"e{number}", EngineCore(limits))
            for number in range(plan.engines)
        }
        self.hosts = [HostBeliefs(self._beliefs()) for _ in range(plan.hosts)]
        self._requests: dict[EngineRequest, tuple[ProgramRun, float, str]] = {}
        self._closed: set[str] = set()
        self._open = len(programs)
        for program in programs:
            run = ProgramRun(program)
            self._at(program.starts_ms, lambda run=run: self._send_turn(run))
        self._at(0.0, self._report)
        self._at(_SAMPLE_MS, self._sample)
        if plan.engine_lost_at_s:
            self._at(plan.engine_lost_at_s * 1_000, self._lose_engine)

    def run(self) -> TrialResult:
        """Run until every program has ended."""
        while self._events and self._open:
            at_ms, _, work = heapq.heappop(self._events)
            self.now_ms = at_ms
            work()
        for engine in self.engines.values():
            self.result.prefilled_tokens += engine.core.prefilled_tokens
            self.result.repeated_tokens += engine.core.repeated_tokens
        return self.result

    def _beliefs(self) -> dict[str, EngineState]:
        traits = EngineTraits()
        return {
            name: EngineState(name, _DOMAIN, "", frozenset({_MODEL}), traits=traits)
            for name in self.engines
        }

    def _at(self, at_ms: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), work))

    def _send_turn(self, run: ProgramRun) -> None:
        turn = run.program.turns[run.next_turn]
        if not run.segments:
            system = hash(run.program.organisation)
            run.segments.append(Segment(system, self.plan.mix.system_tokens))
        new = Segment(
            hash((run.program.name, run.next_turn, "asked")), turn.prompt_tokens
        )
        segments = (*run.segments, new)
        prompt_tokens = sum(each.tokens for each in segments)
        host = self.hosts[run.program.host]
        call = EngineCall(
            program=run.program.name,
            model=_MODEL,
            prompt_tokens=prompt_tokens,
            expected_tokens=_EXPECTED_TOKENS,
            domain=_DOMAIN,
            now_ms=self.now_ms,
            number=next(host.numbers),
        )
        usable = list(host.engines.values())
        choice = choose_engine(self.policy.routing, call, usable)
        if choice is None:
            self._at(self.now_ms + 1_000, lambda: self._send_turn(run))
            return
        state = choice.engine
        fresh = prompt_tokens - state.believed_cached(run.program.name, self.now_ms)
        state.note_send(self.now_ms, max(0.0, fresh))
        request = EngineRequest(
            name=f"{run.program.name}/{run.next_turn}",
            program=run.program.name,
            segments=segments,
            max_tokens=turn.answer_tokens,
            priority=self._priority(run, host),
            answer_hash=hash((run.program.name, run.next_turn, "answer")),
            known_tokens=run.known_tokens,
        )
        self._requests[request] = (run, self.now_ms, state.name)
        run.engine = state.name
        self._at(self.now_ms + _LINK_MS, lambda: self._arrive(state.name, request))

    def _priority(self, run: ProgramRun, host: HostBeliefs) -> int:
        active = max(1, len(host.shares.active(self.now_ms)))
        share = host.shares.share(
            run.program.organisation, 1.0, float(active), self.now_ms
        )
        call = OrderedCall(1, run.attained_tokens, share)
        return priority_of(self.policy.ordering, call)

    def _arrive(self, name: str, request: EngineRequest) -> None:
        engine = self.engines[name]
        if engine.lost:
            self._fail(request)
            return
        engine.core.submit(request, self.now_ms)
        if not engine.busy:
            self._step(engine)

    def _step(self, engine: EngineRun) -> None:
        report = engine.core.step(self.now_ms)
        engine.core.events.clear()
        engine.busy = report.duration_ms > 0
        engine.stepping = report
        if engine.busy:
            end_ms = self.now_ms + report.duration_ms
            self._at(end_ms, lambda: self._stepped(engine, report))

    def _stepped(self, engine: EngineRun, report: StepReport) -> None:
        if engine.lost:
            return
        for request in report.finished:
            self._finish(request)
        self._step(engine)

    def _finish(self, request: EngineRequest) -> None:
        run, sent_ms, engine = self._requests.pop(request)
        turn = run.program.turns[run.next_turn]
        host = self.hosts[run.program.host]
        took_ms = self.now_ms + _LINK_MS - sent_ms
        self._note_turn(run, request, took_ms, sent_ms)
        state = host.engines[engine]
        state.note_end()
        run.segments = list(request.segments)
        run.segments.append(Segment(request.answer_hash, turn.answer_tokens))
        run.known_tokens = sum(each.tokens for each in run.segments)
        state.note_cached(run.program.name, run.known_tokens, self.now_ms)
        served = turn.answer_tokens + request.prompt_tokens - request.cached_tokens
        run.attained_tokens += served
        host.shares.note(run.program.organisation, served, self.now_ms)
        run.next_turn += 1
        if run.next_turn == len(run.program.turns):
            self._close(run)
            return
        pause_ms = run.program.turns[run.next_turn].pause_ms
        self._at(self.now_ms + _LINK_MS + pause_ms, lambda: self._send_turn(run))

    def _note_turn(
        self, run: ProgramRun, request: EngineRequest, took_ms: float, sent_ms: float
    ) -> None:
        turn = run.program.turns[run.next_turn]
        limits = self.engines["e0"].core.limits
        fresh = request.prompt_tokens - run.known_tokens
        step_ms = limits.step_base_ms + limits.step_per_sequence_ms
        run.ideal_ms += fresh / limits.prefill_tokens_per_s * 1_000
        run.ideal_ms += turn.answer_tokens * step_ms + 2 * _LINK_MS
        run.waited_ms += took_ms
        first_ms = request.first_token_ms or self.now_ms
        self.result.first_token_ms.append(first_ms - sent_ms + _LINK_MS)
        if request.generated > 1:
            gap_ms = (self.now_ms - first_ms) / (request.generated - 1)
            self.result.token_gap_ms.append(gap_ms)

    def _close(self, run: ProgramRun) -> None:
        self._open -= 1
        self.result.finished += 1
        organisation = run.program.organisation
        self.result.program_ms.setdefault(organisation, []).append(run.waited_ms)
        self.result.slowdowns.setdefault(organisation, []).append(
            run.waited_ms / run.ideal_ms
        )
        self._closed.add(run.program.name)
        if self.policy.releases:
            for engine in self.engines.values():
                engine.core.release(run.program.name)

    def _report(self) -> None:
        lag_ms = self.plan.report_lag_ms
        for engine in self.engines.values():
            if engine.lost:
                continue
            report = _measure(engine.core, self.now_ms)
            self._at(
                self.now_ms + lag_ms,
                lambda name=engine.name, report=report: self._deliver(name, report),
            )
        self._at(self.now_ms + _REPORT_PERIOD_MS, self._report)

    def _deliver(self, name: str, report: EngineReport) -> None:
        for host in self.hosts:
            host.engines[name].note_report(report)

    def _sample(self) -> None:
        dead = total = 0
        for engine in self.engines.values():
            if engine.lost:
                continue
            total += engine.core.cached_tokens
            for program, tokens in engine.core.held_programs().items():
                if program in self._closed:
                    dead += tokens
        self.result.dead_token_s += dead * _SAMPLE_MS / 1_000
        self.result.held.append((self.now_ms / 1_000, total, dead))
        self._at(self.now_ms + _SAMPLE_MS, self._sample)

    def _lose_engine(self) -> None:
        engine = self.engines["e0"]
        engine.lost = True
        for host in self.hosts:
            host.engines["e0"].failing_until_ms = float("inf")
        cut_short = engine.stepping.finished if engine.stepping else ()
        for request in (*engine.core.running, *engine.core.waiting, *cut_short):
            if request in self._requests:
                self._fail(request)

    def _fail(self, request: EngineRequest) -> None:
        run, sent_ms, name = self._requests.pop(request)
        self.hosts[run.program.host].engines[name].note_end()
        self.result.lost_calls += 1
        run.waited_ms += self.now_ms - sent_ms
        self._send_turn(run)


def _measure(core: EngineCore, now_ms: float) -> EngineReport:
    waiting_tokens = sum(each.prompt_tokens for each in core.waiting)
    running_tokens = sum(each.prefill_left for each in core.running)
    return EngineReport(
        now_ms,
        len(core.running),
        len(core.waiting),
        waiting_tokens + running_tokens,
        core.cached_tokens,
        core.limits.memory_tokens,
    )
