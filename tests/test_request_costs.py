"""Learned costs of requests: estimators, a replay against the constants, and wiring."""

import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable

import attrs
import pytest

from celerypulley.backend_servers.cost_model import CostModel, PlainSample, TurnSample
from celerypulley.backend_servers.engine_state import (
    EngineReport,
    EngineState,
    EngineTraits,
    RunningCall,
)
from celerypulley.backend_servers.routing import (
    EngineCall,
    choose_engine,
    choose_plain_server,
    expected_duration_ms,
    expected_finish_ms,
    expected_step_ms,
    shared_cost_ms,
)
from celerypulley.contracts.declaration import Policy
from celerypulley.stand_ins.opaque_server import Mode
from celerypulley.turn_scheduling.engine_slots import EngineSlots
from tests.fleet import desired_state, route, running_fleet
from tests.harness import wait_until

_CONSTANTS = EngineTraits(2.18, 0.0548, 187_000.0, 6, 42.0)
_SPEEDS = (0.7, 0.8, 1.0, 1.0, 1.2, 1.7)
_HOSTS = 10
_GOSSIP_MS = 500.0
_SLOW_MS, _SLOW_PACE, _SLOW_FRACTION = 600.0, 2.5, 0.15
_WARM_UP_MS, _END_MS = 10_000.0, 40_000.0
_MEAN_WORK_MS = {"small": 15.0, "large": 120.0}  # of plain calls, by route
_FIRST_EVENT_MS, _TOKEN_MS, _MEAN_TOKENS = 55.0, 2.4, 73
_UTILISATION = 0.7


def make_server(name: str = "s0") -> EngineState:
    services = frozenset(("m",))
    server = EngineState(name, "a", "", services, traits=_CONSTANTS)
    server.max_report_age_ms = 300.0
    return server


@attrs.define(eq=False)
class _Server:
    """A server with six slots, on a machine that is slow in some periods."""

    speed: float
    slow_from_ms: list[float]
    running: int = 0
    queue: deque = attrs.Factory(deque)

    def pace(self, now_ms: float) -> float:
        is_slow = any(0 <= now_ms - each < _SLOW_MS for each in self.slow_from_ms)
        return _SLOW_PACE if is_slow else 1.0


class _Replay:
    """Hosts that each see a part of the requests, and servers that queue them."""

    def __init__(self, seed: int, is_learned: bool, is_turn: bool) -> None:
        self.draw = random.Random(seed)
        self.is_learned, self.is_turn = is_learned, is_turn
        self.servers = [_Server(each, self._slow_periods()) for each in _SPEEDS]
        names = [f"s{number}" for number in range(len(_SPEEDS))]
        self.states = [[make_server(name) for name in names] for _ in range(_HOSTS)]
        self.models = [CostModel() for _ in range(_HOSTS)]
        self.told = [[0] * len(names) for _ in range(_HOSTS)]
        self.means: list[dict[str, float]] = [{} for _ in range(_HOSTS)]
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.waits_ms: list[float] = []
        self.deviations: list[float] = []

    def _slow_periods(self) -> list[float]:
        gap_ms = _SLOW_MS / _SLOW_FRACTION - _SLOW_MS
        starts = [self.draw.expovariate(1 / gap_ms)]
        while starts[-1] < _END_MS:
            starts.append(starts[-1] + _SLOW_MS + self.draw.expovariate(1 / gap_ms))
        return starts

    def _push(self, at_ms: float, action: Callable, *arguments: object) -> None:
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def run(self) -> tuple[float, float]:
        """Return the mean wait in ms, and the mean deviation of calls by server."""
        mean_ms = statistics.mean(_MEAN_WORK_MS.values())
        if self.is_turn:
            mean_ms = _FIRST_EVENT_MS + _MEAN_TOKENS * _TOKEN_MS
        slots = sum(_SPEEDS) * 6 / (1 + (_SLOW_PACE - 1) * _SLOW_FRACTION)
        self.calls_per_ms = _UTILISATION * slots / mean_ms
        self._push(0.0, self._send)
        for host in range(_HOSTS):
            self._push(_GOSSIP_MS * host / _HOSTS, self._gossip, host)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(now_ms, *arguments)
        return statistics.mean(self.waits_ms), statistics.mean(self.deviations)

    def _gossip(self, now_ms: float, host: int) -> None:
        for number, state in enumerate(self.states[host]):
            change = state.in_flight - self.told[host][number]
            self.told[host][number] = state.in_flight
            for states in self.states:
                other = states[number]
                if other is not state:
                    other.record_others(other.in_flight_on_others + change, now_ms)
        if now_ms < _END_MS:
            self._push(now_ms + _GOSSIP_MS, self._gossip, host)

    def _send(self, sent_ms: float) -> None:
        if sent_ms < _END_MS:
            pause_ms = self.draw.expovariate(self.calls_per_ms)
            self._push(sent_ms + pause_ms, self._send)
        host = self.draw.randrange(_HOSTS)
        model, states = self.models[host], self.states[host]
        name = self.draw.choice(list(_MEAN_WORK_MS))
        tokens = round(self.draw.lognormvariate(4.1, 0.6))
        work_ms = self.draw.expovariate(1 / _MEAN_WORK_MS[name])
        if self.is_turn:
            work_ms = _FIRST_EVENT_MS + tokens * _TOKEN_MS
        costs = model.call_costs("m", name, 0, self.is_turn)
        call = EngineCall("p", "m", 1_000, _MEAN_TOKENS, "a", sent_ms, costs=costs)
        choice = choose_plain_server(call, states, frozenset())
        if self.is_turn:
            choice = choose_engine(Policy.SHARED_COST, call, states)
        state = choice.engine
        server = self.servers[states.index(state)]
        expected_ms = expected_duration_ms(call, state)
        rest_ms = expected_ms * costs.rest_fraction if costs else 0.0
        running = RunningCall(sent_ms, expected_ms, rest_ms)
        state.running_calls.add(running)
        state.record_send(sent_ms, 0.0)
        first_ms = expected_finish_ms(attrs.evolve(call, expected_tokens=0), state)
        constant_ms = first_ms + expected_step_ms(state, sent_ms) * tokens
        queued, sequences = state.is_full(sent_ms), state.sequence_count(sent_ms)

        def start(now_ms: float) -> None:
            server.running += 1
            if sent_ms > _WARM_UP_MS:
                counts = [each.running + len(each.queue) for each in self.servers]
                self.waits_ms.append(now_ms - sent_ms)
                self.deviations.append(statistics.pstdev(counts))
            scale = server.pace(now_ms) / server.speed
            head_ms = now_ms + min(work_ms, _FIRST_EVENT_MS) * scale
            end_ms = now_ms + work_ms * scale
            self._push(head_ms if self.is_turn else end_ms, report)
            self._push(end_ms, end, head_ms)

        def report(now_ms: float) -> None:
            load = EngineReport(now_ms, server.running, len(server.queue))
            state.apply_report(load)
            pace = server.pace(now_ms) if self.is_learned else None
            model.record_load("m", state, 6, pace, now_ms)

        def end(now_ms: float, head_ms: float) -> None:
            server.running -= 1
            pace = server.pace(head_ms if self.is_turn else now_ms)
            took_ms = now_ms - sent_ms
            estimate_ms = constant_ms
            if costs is not None:
                answered = attrs.evolve(call, expected_tokens=tokens)
                estimate_ms = expected_duration_ms(answered, state) * pace
            elif not self.is_turn:
                estimate_ms = self.means[host].get(name, took_ms)
                self.means[host][name] = estimate_ms + (took_ms - estimate_ms) * 0.02
            gain = 0.25 if self.is_turn else 0.05
            state.record_duration(now_ms, took_ms, estimate_ms, gain)
            state.record_end()
            state.running_calls.discard(running)
            fields = {"pace": pace, "queued": queued}
            if self.is_turn:
                times = (head_ms - sent_ms, now_ms - head_ms, tokens)
                sample = turn_sample(*times, sequences=sequences, **fields)
                model.add_turn("m", name, state, sample)
                model.update_traits("m", state, states, now_ms)
            else:
                model.add_plain("m", name, state, plain_sample(took_ms, **fields))
            if server.queue:
                server.queue.popleft()(now_ms)

        if server.running < 6:
            start(sent_ms)
        else:
            server.queue.append(start)


def turn_sample(first_ms: float, decode_ms: float, tokens: int, **fields) -> TurnSample:
    defaults = {"uncached_tokens": 1_000, "sequences": 1, "decode_tokens": tokens}
    measured = {"tokens": tokens, "first_ms": first_ms, "decode_ms": decode_ms}
    return TurnSample(**{**defaults, **measured, **fields})


def plain_sample(
    took_ms: float, pace: float = 1.0, queued: bool = False, body_bytes: int = 0
) -> PlainSample:
    return PlainSample(body_bytes=body_bytes, took_ms=took_ms, pace=pace, queued=queued)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("is_turn", [False, True])
def test_calls_wait_less_and_load_is_evener_than_with_the_constants(is_turn, seed):
    """Guards against costs that send calls of all hosts to the same fast servers."""
    constant = _Replay(seed, False, is_turn).run()
    learned = _Replay(seed, True, is_turn).run()
    assert learned[0] < constant[0]
    assert learned[1] < constant[1]


def learning_model(*servers: EngineState) -> CostModel:
    model = CostModel()
    for server in servers:
        model.record_load("m", server, None, 1.0, 0.0)
    return model


@pytest.mark.parametrize(
    ("samples", "pace", "lowest", "highest"),
    [
        pytest.param([], 1.0, 20.0, 20.0, id="constant at first"),
        pytest.param([100.0] * 2, 1.0, 60.0, 90.0, id="first samples weigh most"),
        pytest.param([100.0] * 30, 1.0, 90.0, 101.0, id="settled"),
        pytest.param([100.0] * 30 + [50_000.0], 1.0, 90.0, 130.0, id="outlier"),
        pytest.param([100.0] * 30 + [30.0] * 200, 1.0, 28.0, 45.0, id="change"),
        pytest.param([0.0] * 200, 1.0, 0.05, 2.0, id="too short to measure"),
        pytest.param([200.0] * 30, 2.0, 90.0, 101.0, id="slow machine"),
    ],
)
def test_duration_of_a_plain_call_follows_its_samples(samples, pace, lowest, highest):
    """Guards against estimates that stay at the constant or follow single samples.

    What a slow machine adds is not learned.
    """
    server = make_server()
    model = learning_model(server)
    for took_ms in samples:
        model.add_plain("m", "r", server, plain_sample(took_ms, pace=pace))
    costs = model.call_costs("m", "r", 0, False)
    duration_ms = costs.expected_ms * server.speed.factor
    assert lowest <= duration_ms <= highest


def test_durations_differ_by_size_and_route():
    """Guards against one mean for calls whose work differs visibly."""
    server = make_server()
    model = learning_model(server)
    for _ in range(40):
        for name, body_bytes, took_ms in (("r", 0, 20.0), ("r", 90_000, 200.0)):
            sample = plain_sample(took_ms, body_bytes=body_bytes)
            model.add_plain("m", name, server, sample)
    small, large, other = (
        model.call_costs("m", name, body_bytes, False).expected_ms
        for name, body_bytes in (("r", 10), ("r", 100_000), ("other", 100_000))
    )
    assert small < 40.0 < 150.0 < large
    assert other == 20.0


@pytest.mark.parametrize(
    ("first_ms", "token_ms", "outliers"), [(42, 2.2, 0), (90, 5.0, 0), (90, 5.0, 3)]
)
def test_parts_of_a_turn_are_learned_separately(first_ms, token_ms, outliers):
    """Guards against a time per token that hides in the time to the first event."""
    draw = random.Random(3)
    server = make_server()
    model = learning_model(server)
    for number in range(150):
        uncached = draw.randrange(0, 20_000)
        noise = 100.0 if number in range(50, 50 + outliers) else 1.0
        parts = ((first_ms + uncached / 100) * noise, 80 * token_ms * noise)
        sample = turn_sample(*parts, 80, uncached_tokens=uncached)
        model.add_turn("m", "r", server, sample)
    model.update_traits("m", server, [server], 0.0)
    factor = model.call_costs("m", "r", 0, True).factor
    traits = server.traits
    assert traits.first_token_ms * factor == pytest.approx(first_ms, rel=0.25)
    prefill_ms = 1000 / traits.prefill_tokens_per_s
    assert prefill_ms * factor == pytest.approx(0.01, rel=0.25)
    step_ms = traits.step_base_ms + traits.step_per_sequence_ms
    assert step_ms * factor == pytest.approx(token_ms, rel=0.25)


@pytest.mark.parametrize(
    ("samples", "lowest", "highest"),
    [(0, 1.0, 1.0), (1, 1.02, 1.4), (40, 1.5, 2.1)],
)
def test_factor_of_a_server_begins_at_the_mean_of_its_service(samples, lowest, highest):
    """Guards against one slow call that excludes a server, and speeds never learned."""
    slow, others = make_server(), [make_server(f"s{number}") for number in (1, 2, 3, 4)]
    model = learning_model(slow, *others)
    for _ in range(60):
        for server in others:
            model.add_plain("m", "r", server, plain_sample(50.0))
    for _ in range(samples):
        model.add_plain("m", "r", slow, plain_sample(100.0))
        model.add_plain("m", "r", others[0], plain_sample(50.0))
    assert lowest <= slow.speed.factor <= highest


@pytest.mark.parametrize(
    ("age_ms", "lowest", "highest"), [(0, 2.5, 2.5), (250, 1.7, 1.8), (1_500, 1, 1.1)]
)
def test_pace_counts_for_about_a_second(age_ms, lowest, highest):
    """Guards against servers that are avoided long after their machine was slow."""
    server = make_server()
    server.record_pace(2.5, 0.0)
    assert lowest <= server.expected_pace(age_ms) <= highest
    slots = EngineSlots()
    slots.update([server], 0)
    assert slots._engines["s0"].state.expected_pace(age_ms) == server.expected_pace(
        age_ms
    )


@pytest.mark.parametrize(
    ("elapsed_ms", "rest_fraction", "remaining_ms"),
    [(0, 0, 100), (60, 0, 40), (500, 0, 0), (60, 0.5, 50), (500, 1, 100)],
)
def test_remaining_work_of_calls_in_flight(elapsed_ms, rest_fraction, remaining_ms):
    """Guards against long calls that count as finished while they run."""
    server = make_server()
    server.record_send(0.0, 0.0)
    server.running_calls.add(RunningCall(0.0, 100.0, 100.0 * rest_fraction))
    assert server.remaining_work_ms(elapsed_ms, 30.0) == remaining_ms
    server.in_flight_on_others = 2
    assert server.remaining_work_ms(elapsed_ms, 30.0) == remaining_ms + 30.0


@pytest.mark.parametrize(
    ("hint", "limit", "samples", "expected"),
    [
        (0, 300, [], 100),
        (0, 300, [50] * 50, 50),
        (40, 300, [], 40),
        (40, 300, [80] * 50, 78),
        (40, 60, [80] * 50, 60),
    ],
)
def test_expected_output(hint, limit, samples, expected):
    """Guards against hints that are believed although outputs are twice as long."""
    server = make_server()
    model = learning_model(server)
    for tokens in samples:
        sample = turn_sample(50.0, 100.0, tokens, hint_tokens=hint)
        model.add_turn("m", "r", server, sample)
    tokens = model.expected_tokens("m", "r", hint, limit)
    assert tokens == pytest.approx(expected, abs=3)


def test_without_a_pace_costs_are_the_constants():
    """Guards against other choices where servers send three figures."""
    server, untouched = make_server(), make_server()
    model = CostModel()
    for _ in range(20):
        model.record_load("m", server, 9, None, 0.0)
        model.add_plain("m", "r", server, plain_sample(500.0))
        model.add_turn("m", "r", server, turn_sample(500.0, 900.0, 40))
        model.update_traits("m", server, [server], 0.0)
    call = EngineCall("p", "m", 1_000, 73, "a", 0.0)
    assert model.call_costs("m", "r", 0, False) is None
    assert model.expected_tokens("m", "r", 0, 300) == 100
    assert server.traits == untouched.traits
    prefill_ms = 1_000 / 187_000 * 1000
    assert shared_cost_ms(call, server) == 42.0 + prefill_ms + (2.18 + 0.0548) * 73
    choice = choose_plain_server(call, [server], frozenset())
    assert choice.estimate_ms == (1.0 + 1 / 6) * 20.0


@pytest.mark.parametrize(
    ("load", "pace", "slots"),
    [
        ("1,0,8", None, 8),
        ("1,0,8,100", 1.0, 8),
        ("2, 1, 6, 250", 2.5, 6),
        ("1,0,8,40,7", 0.4, 8),
        ("1,0,8,0", None, 8),
        ("1,0,8,99999999999999999999", 20.0, 8),
        ("1,0,8,-100", None, 8),
        ("1,0,8,1e3", None, 8),
        ("1,,8,250", None, 8),
        ("1,0,,250", 2.5, 8),
    ],
)
@pytest.mark.parametrize(
    ("path", "mode"), [("/unsafe/x", Mode.COMPLETE), ("/resumable/x", Mode.STREAM)]
)
async def test_figures_of_a_response_reach_the_state_of_its_server(
    path, mode, load, pace, slots
):
    """Guards against a fourth figure that is dropped, or misread as a load."""
    state = desired_state(
        routes=[
            route("unsafe", "/unsafe/"),
            route("resumable", "/resumable/", type="stream", resumable=True),
        ]
    )
    async with running_fleet(servers=1, state=state) as fleet:
        fleet.servers[0].load = load
        fleet.servers[0].mode = mode
        for _ in range(2):
            assert (await fleet.call(path)).status == 200
        costs = fleet.hosts[0].costs
        server = fleet.hosts[0].directory.servers["server-0"]
        assert costs.is_learned("engines") == (pace is not None)
        assert server.pace == (pace or 1.0)
        assert server.traits.batch_limit == slots
        assert costs.samples == (2 if pace else 0)
        assert not server.running_calls


@pytest.mark.parametrize(("born", "is_new"), [(0, False), (9, True)])
async def test_new_start_of_a_server_begins_at_the_mean(born, is_new):
    """Guards against a restarted server that is avoided for its former slowness."""
    async with running_fleet(servers=1) as fleet:
        fleet.servers[0].load = "1,0,8,250"
        assert (await fleet.call("/unsafe/x")).status == 200
        directory = fleet.hosts[0].directory
        former = directory.servers["server-0"]
        former.speed.add(1.0, 0.1)
        fleet.register(fleet.servers[0], born=born, seq=2)
        await wait_until(lambda: directory.follower._revision >= fleet.store.revision)
        server = directory.servers["server-0"]
        assert (server is not former) == is_new
        assert (server.speed.factor == 1.0, server.pace == 1.0) == (is_new, is_new)
        assert fleet.hosts[0].costs.is_learned("engines")


@pytest.mark.parametrize(
    ("mode", "is_learned"),
    [(Mode.ERROR, True), (Mode.OTHER_INSTANCE, False), (Mode.NO_SEAL, False)],
)
async def test_failed_calls_and_responses_of_others_are_no_samples(mode, is_learned):
    """Guards against servers that fail at once and count as fast ever after."""
    state = desired_state(routes=[route("unsafe", "/unsafe/", attempts=1)])
    async with running_fleet(servers=1, state=state) as fleet:
        fleet.servers[0].load = "1,0,8,250"
        fleet.servers[0].mode = mode
        assert (await fleet.call("/unsafe/x")).status != 200
        costs = fleet.hosts[0].costs
        assert (costs.is_learned("engines"), costs.samples) == (is_learned, 0)
