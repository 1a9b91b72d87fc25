"""One trial: one set of policies on the programs of one seed, in virtual time.

Engines are simulated by the cores of the stand-ins. Of a host only the input of its
decisions is simulated: delayed load reports, the calls it sent, and its counters.
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
from celerypulley.backend_servers.ordering import OrderedCall, engine_priority
from celerypulley.backend_servers.routing import EngineCall, choose_engine
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.experiment.plan import ExperimentPlan, PolicySet
from celerypulley.experiment.programs import TokenProgram
from celerypulley.stand_ins.engine_core import (
    EngineCore,
    EngineLimits,
    EngineRequest,
    Segment,
    StepResult,
)

__all__ = ["Trial", "TrialResult"]

_LINK_DELAY_MS = 2.0
_REPORT_PERIOD_MS = 500.0
_SAMPLE_PERIOD_MS = 2_000.0
_EXPECTED_TOKENS = 128
_DOMAIN = "a"
_MODEL = "m"


@attrs.define
class ProgramRun:
    """The state of one program.

    `attained_tokens` is the service that it has received, `latency_ms` the time of
    its turns so far, and `ideal_ms` that time on an idle engine with a perfect cache.
    """

    program: TokenProgram
    next_turn: int = 0
    segments: list[Segment] = attrs.Factory(list)
    attained_tokens: int = 0
    latency_ms: float = 0.0
    ideal_ms: float = 0.0
    processed_tokens: int = 0
    engine: str = ""


@attrs.define
class HostView:
    """The state that one host's decisions depend on."""

    engines: dict[str, EngineState]
    shares: ServiceShares = attrs.Factory(ServiceShares)
    call_numbers: itertools.count = attrs.Factory(itertools.count)


@attrs.define
class SimulatedEngine:
    """One engine; `busy` while a step is in progress, `lost` once it has failed."""

    name: str
    core: EngineCore
    busy: bool = False
    lost: bool = False
    current_step: StepResult | None = None


@attrs.define(kw_only=True)
class TrialResult:
    """The results of one trial, with times in ms.

    `program_ms` and `slowdowns` have a list for each organisation. Each of
    `cache_samples` is a time in s, the cached tokens, and those of closed programs.
    """

    policy: str
    seed: int
    program_ms: dict[str, list[float]] = attrs.Factory(dict)
    slowdowns: dict[str, list[float]] = attrs.Factory(dict)
    first_token_ms: list[float] = attrs.Factory(list)
    token_gap_ms: list[float] = attrs.Factory(list)
    prefilled_tokens: int = 0
    repeated_tokens: int = 0
    dead_token_s: float = 0.0
    cache_samples: list[tuple[float, int, int]] = attrs.Factory(list)
    finished: int = 0
    lost_calls: int = 0


class Trial:
    """A simulation of one set of policies on the programs of one seed."""

    def __init__(
        self,
        plan: ExperimentPlan,
        policy: PolicySet,
        seed: int,
        programs: list[TokenProgram],
    ) -> None:
        """Create engines and hosts and schedule the first events."""
        self.plan = plan
        self.policy = policy
        self.result = TrialResult(policy=policy.name, seed=seed)
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        limits = EngineLimits(memory_tokens=plan.memory_tokens)
        self.engines = {
            f"e{number}": SimulatedEngine(f"e{number}", EngineCore(limits))
            for number in range(plan.engines)
        }
        self.hosts = [HostView(self._make_engine_states()) for _ in range(plan.hosts)]
        self._active_requests: dict[EngineRequest, tuple[ProgramRun, float, str]] = {}
        self._closed_programs: set[str] = set()
        self._open_program_count = len(programs)
        for program in programs:
            run = ProgramRun(program)
            self._schedule(program.starts_ms, lambda run=run: self._send_turn(run))
        self._schedule(0.0, self._send_reports)
        self._schedule(_SAMPLE_PERIOD_MS, self._sample_caches)
        if plan.engine_lost_at_s:
            self._schedule(plan.engine_lost_at_s * 1_000, self._lose_engine)

    def run(self) -> TrialResult:
        """Run until every program has ended; return the results."""
        while self._events and self._open_program_count:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = at_ms
            action()
        for engine in self.engines.values():
            self.result.prefilled_tokens += engine.core.prefilled_tokens
            self.result.repeated_tokens += engine.core.repeated_tokens
        return self.result

    def _make_engine_states(self) -> dict[str, EngineState]:
        traits = EngineTraits()
        return {
            name: EngineState(name, _DOMAIN, "", frozenset({_MODEL}), traits=traits)
            for name in self.engines
        }

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def _send_turn(self, run: ProgramRun) -> None:
        turn = run.program.turns[run.next_turn]
        if not run.segments:
            system_hash = hash(run.program.organisation)
            run.segments.append(Segment(system_hash, self.plan.mix.system_tokens))
        new_segment = Segment(
            hash((run.program.name, run.next_turn, "asked")), turn.prompt_tokens
        )
        segments = (*run.segments, new_segment)
        prompt_tokens = sum(each.tokens for each in segments)
        host = self.hosts[run.program.host]
        call = EngineCall(
            program=run.program.name,
            model=_MODEL,
            prompt_tokens=prompt_tokens,
            expected_tokens=_EXPECTED_TOKENS,
            domain=_DOMAIN,
            now_ms=self.now_ms,
            round_robin_index=next(host.call_numbers),
        )
        engines = list(host.engines.values())
        choice = choose_engine(self.policy.routing, call, engines)
        if choice is None:
            self._schedule(self.now_ms + 1_000, lambda: self._send_turn(run))
            return
        state = choice.engine
        uncached_tokens = prompt_tokens - state.estimated_cached_tokens(
            run.program.name, self.now_ms
        )
        state.record_send(self.now_ms, max(0.0, uncached_tokens))
        request = EngineRequest(
            name=f"{run.program.name}/{run.next_turn}",
            program=run.program.name,
            segments=segments,
            max_tokens=turn.answer_tokens,
            priority=self._priority(run, host),
            completion_hash=hash((run.program.name, run.next_turn, "answer")),
            processed_tokens=run.processed_tokens,
        )
        self._active_requests[request] = (run, self.now_ms, state.name)
        run.engine = state.name
        self._schedule(
            self.now_ms + _LINK_DELAY_MS,
            lambda: self._receive_request(state.name, request),
        )

    def _priority(self, run: ProgramRun, host: HostView) -> int:
        active = max(1, len(host.shares.active_organisations(self.now_ms)))
        share = host.shares.relative_share(
            run.program.organisation, 1.0, float(active), self.now_ms
        )
        call = OrderedCall(1, run.attained_tokens, share)
        return engine_priority(self.policy.ordering, call)

    def _receive_request(self, engine_name: str, request: EngineRequest) -> None:
        engine = self.engines[engine_name]
        if engine.lost:
            self._retry_turn(request)
            return
        engine.core.submit(request, self.now_ms)
        if not engine.busy:
            self._start_step(engine)

    def _start_step(self, engine: SimulatedEngine) -> None:
        step = engine.core.step(self.now_ms)
        engine.core.cache_events.clear()
        engine.busy = step.duration_ms > 0
        engine.current_step = step
        if engine.busy:
            end_ms = self.now_ms + step.duration_ms
            self._schedule(end_ms, lambda: self._finish_step(engine, step))

    def _finish_step(self, engine: SimulatedEngine, step: StepResult) -> None:
        if engine.lost:
            return
        for request in step.finished:
            self._finish_turn(request)
        self._start_step(engine)

    def _finish_turn(self, request: EngineRequest) -> None:
        run, sent_ms, engine_name = self._active_requests.pop(request)
        turn = run.program.turns[run.next_turn]
        host = self.hosts[run.program.host]
        latency_ms = self.now_ms + _LINK_DELAY_MS - sent_ms
        self._record_turn(run, request, latency_ms, sent_ms)
        state = host.engines[engine_name]
        state.record_end()
        run.segments = list(request.segments)
        run.segments.append(Segment(request.completion_hash, turn.answer_tokens))
        run.processed_tokens = sum(each.tokens for each in run.segments)
        state.record_cached(run.program.name, run.processed_tokens, self.now_ms)
        served_tokens = (
            turn.answer_tokens + request.prompt_tokens - request.cached_tokens
        )
        run.attained_tokens += served_tokens
        host.shares.record(run.program.organisation, served_tokens, self.now_ms)
        run.next_turn += 1
        if run.next_turn == len(run.program.turns):
            self._close_program(run)
            return
        pause_ms = run.program.turns[run.next_turn].pause_ms
        self._schedule(
            self.now_ms + _LINK_DELAY_MS + pause_ms, lambda: self._send_turn(run)
        )

    def _record_turn(
        self, run: ProgramRun, request: EngineRequest, latency_ms: float, sent_ms: float
    ) -> None:
        turn = run.program.turns[run.next_turn]
        limits = self.engines["e0"].core.limits
        new_tokens = request.prompt_tokens - run.processed_tokens
        step_ms = limits.step_base_ms + limits.step_per_sequence_ms
        run.ideal_ms += new_tokens / limits.prefill_tokens_per_s * 1_000
        run.ideal_ms += turn.answer_tokens * step_ms + 2 * _LINK_DELAY_MS
        run.latency_ms += latency_ms
        first_ms = request.first_token_ms or self.now_ms
        self.result.first_token_ms.append(first_ms - sent_ms + _LINK_DELAY_MS)
        if request.generated_tokens > 1:
            gap_ms = (self.now_ms - first_ms) / (request.generated_tokens - 1)
            self.result.token_gap_ms.append(gap_ms)

    def _close_program(self, run: ProgramRun) -> None:
        self._open_program_count -= 1
        self.result.finished += 1
        organisation = run.program.organisation
        self.result.program_ms.setdefault(organisation, []).append(run.latency_ms)
        self.result.slowdowns.setdefault(organisation, []).append(
            run.latency_ms / run.ideal_ms
        )
        self._closed_programs.add(run.program.name)
        if self.policy.releases:
            for engine in self.engines.values():
                engine.core.release(run.program.name)

    def _send_reports(self) -> None:
        lag_ms = self.plan.report_lag_ms
        for engine in self.engines.values():
            if engine.lost:
                continue
            report = _make_report(engine.core, self.now_ms)
            self._schedule(
                self.now_ms + lag_ms,
                lambda name=engine.name, report=report: self._deliver_report(
                    name, report
                ),
            )
        self._schedule(self.now_ms + _REPORT_PERIOD_MS, self._send_reports)

    def _deliver_report(self, engine_name: str, report: EngineReport) -> None:
        for host in self.hosts:
            host.engines[engine_name].apply_report(report)

    def _sample_caches(self) -> None:
        closed_tokens = cached_tokens = 0
        for engine in self.engines.values():
            if engine.lost:
                continue
            cached_tokens += engine.core.cached_tokens
            for program, tokens in engine.core.cached_tokens_by_program().items():
                if program in self._closed_programs:
                    closed_tokens += tokens
        self.result.dead_token_s += closed_tokens * _SAMPLE_PERIOD_MS / 1_000
        self.result.cache_samples.append(
            (self.now_ms / 1_000, cached_tokens, closed_tokens)
        )
        self._schedule(self.now_ms + _SAMPLE_PERIOD_MS, self._sample_caches)

    def _lose_engine(self) -> None:
        engine = self.engines["e0"]
        engine.lost = True
        for host in self.hosts:
            host.engines["e0"].backoff_until_ms = float("inf")
        finishing = engine.current_step.finished if engine.current_step else ()
        for request in (*engine.core.running, *engine.core.waiting, *finishing):
            if request in self._active_requests:
                self._retry_turn(request)

    def _retry_turn(self, request: EngineRequest) -> None:
        run, sent_ms, engine_name = self._active_requests.pop(request)
        self.hosts[run.program.host].engines[engine_name].record_end()
        self.result.lost_calls += 1
        run.latency_ms += self.now_ms - sent_ms
        self._send_turn(run)


def _make_report(core: EngineCore, now_ms: float) -> EngineReport:
    waiting_tokens = sum(each.prompt_tokens for each in core.waiting)
    running_tokens = sum(each.remaining_prefill_tokens for each in core.running)
    return EngineReport(
        now_ms,
        len(core.running),
        len(core.waiting),
        waiting_tokens + running_tokens,
        core.cached_tokens,
        core.limits.memory_tokens,
    )
