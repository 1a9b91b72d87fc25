"""Choice of the backend server for a call, by the state known of each server."""

from collections.abc import Callable, Sequence

import attrs
import xxhash

from celerypulley.backend_servers.engine_state import EngineState, ServerState
from celerypulley.contracts.declaration import Policy
from celerypulley.programs.opaque_request import PrefixPart

__all__ = [
    "POLICIES",
    "CallCosts",
    "Choice",
    "EngineCall",
    "cached_tokens",
    "choose_engine",
    "choose_plain_server",
    "expected_duration_ms",
    "expected_finish_ms",
    "expected_step_ms",
    "expected_wait_ms",
    "shared_cost_ms",
    "usable_engines",
]

_BOUNDED_LOAD_FACTOR = 1.25
_CROSS_DOMAIN_COST_MS = 2.0
_DELAYED_SEQUENCE_WEIGHT = 0.2
_EVICTION_WEIGHT = 10.0
# Replays with counts half a second old: remaining work by slots times 1 queues calls at
# fast servers, times 6 takes calls from where their prompts are cached. With the square
# of the load, as the risk of a wait grows, it costs little at idle servers.
_WAIT_WEIGHT = 2.0
_MAX_LOAD_FACTOR = 1.5
_MEAN_PLAIN_CALL_MS = 20.0  # site sheets give means of 14 to 78 ms


@attrs.frozen
class CallCosts:
    """The learned costs of a call on a server with the factor 1 at the pace 1.

    `expected_ms` is the duration of a plain call, 0 for a turn, whose duration follows
    from the engine's traits and its route's `factor`. A call of any route takes
    `typical_ms`, and a running one has `rest_fraction` of its duration left at least.
    """

    expected_ms: float = 0.0
    factor: float = 1.0
    rest_fraction: float = 0.0
    typical_ms: float = 0.0


@attrs.frozen
class EngineCall:
    """The properties of a call that determine the choice of its server.

    `cross_domain_ms` is the cost of a call to another failure domain: its latency
    and the price of its bytes, in ms. `costs` are the learned costs, None where the
    constants apply.
    """

    program: str
    model: str
    prompt_tokens: int
    expected_tokens: int
    domain: str
    now_ms: float
    round_robin_index: int = 0
    prefix_parts: tuple[PrefixPart, ...] = ()
    cross_domain_ms: float = _CROSS_DOMAIN_COST_MS
    costs: CallCosts | None = None


@attrs.frozen
class Choice:
    """The chosen server, the estimated time or cost in ms, and the reason."""

    engine: EngineState
    estimate_ms: float
    reason: str


def usable_engines(
    call: EngineCall, engines: Sequence[EngineState], avoid: frozenset[str]
) -> list[EngineState]:
    """Return the engines that serve the model and accept work, except `avoid`."""
    usable = []
    for engine in engines:
        if engine.state is ServerState.LEAVING or engine.name in avoid:
            continue
        if engine.backoff_until_ms > call.now_ms:
            continue
        if call.model not in engine.models:
            continue
        usable.append(engine)
    return usable


def cached_tokens(call: EngineCall, engine: EngineState) -> float:
    """Return an estimate of the prompt tokens that an engine has cached.

    Prefix parts count up to the first that is not cached.
    """
    if not call.prefix_parts:
        cached = engine.estimated_cached_tokens(call.program, call.now_ms)
        return min(cached, call.prompt_tokens)
    tokens = 0.0
    for part in call.prefix_parts:
        if part.name not in engine.cache_entries:
            break
        tokens += engine.estimated_cached_tokens(part.name, call.now_ms)
    return min(tokens, call.prompt_tokens)


def choose_plain_server(
    call: EngineCall, servers: Sequence[EngineState], avoid: frozenset[str]
) -> Choice | None:
    """Return the plain server with the lowest cost, or None if none is usable."""
    best = None
    best_cost_ms = float("inf")
    for server in usable_engines(call, servers, avoid):
        cross_domain_ms = 0.0 if server.domain == call.domain else call.cross_domain_ms
        cost_ms = _plain_work_ms(call, server) * server.expected_slowdown(call.now_ms)
        cost_ms += cross_domain_ms
        if cost_ms >= best_cost_ms:
            continue
        best = server
        best_cost_ms = cost_ms
    if best is None:
        return None
    return Choice(best, best_cost_ms, "least load")


def _plain_work_ms(call: EngineCall, server: EngineState) -> float:
    if call.costs is None:
        load = (1 + server.sequence_count(call.now_ms)) / server.traits.batch_limit
        return (1.0 + load) * _MEAN_PLAIN_CALL_MS
    duration_ms = expected_duration_ms(call, server)
    return (duration_ms + _wait_ms(call, server)) * server.expected_pace(call.now_ms)


def expected_duration_ms(call: EngineCall, server: EngineState) -> float:
    """Return how long a call with learned costs takes on a server at the pace 1, in ms.

    The wait for a slot does not count.
    """
    if call.costs is None:
        return 0.0
    if call.costs.expected_ms:
        return call.costs.expected_ms * server.speed.factor
    uncached_tokens = call.prompt_tokens - cached_tokens(call, server)
    prefill_ms = uncached_tokens / server.traits.prefill_tokens_per_s * 1000
    decode_ms = _call_step_ms(call, server) * call.expected_tokens
    return (server.traits.first_token_ms + prefill_ms + decode_ms) * call.costs.factor


def _wait_ms(call: EngineCall, server: EngineState) -> float:
    """Return the cost of the learned work that a server has left.

    It is the part for each slot, weighted by the square of the load: the work left by
    that of a server with a call of the typical duration in each slot.
    """
    if call.costs is None:
        return 0.0
    remaining_ms = server.remaining_work_ms(call.now_ms, call.costs.typical_ms)
    slots = server.traits.batch_limit
    full_ms = server.typical_rest_ms(call.costs.typical_ms) * slots
    load = min(_MAX_LOAD_FACTOR, remaining_ms / max(1.0, full_ms))
    return remaining_ms / slots * load * load * _WAIT_WEIGHT


def choose_engine(
    policy: Policy,
    call: EngineCall,
    engines: Sequence[EngineState],
    avoid: frozenset[str] = frozenset(),
) -> Choice | None:
    """Return the engine for a call under a policy, or None if none is usable."""
    usable = usable_engines(call, engines, avoid)
    if not usable:
        return None
    return POLICIES[policy](call, usable)


def expected_wait_ms(call: EngineCall, engine: EngineState) -> float:
    """Return the estimated time until an engine starts a new call, in ms."""
    traits = engine.traits
    report = engine.report
    backlog_tokens = report.prefill_tokens + engine.unreported_tokens
    sequences = report.running + report.waiting + len(engine.unreported_calls)
    step_ms = traits.step_base_ms + traits.step_per_sequence_ms * traits.batch_limit
    rounds = max(0.0, sequences / traits.batch_limit - 1.0)
    backlog_ms = backlog_tokens / traits.prefill_tokens_per_s * 1000
    return backlog_ms + rounds * step_ms * call.expected_tokens


def expected_finish_ms(call: EngineCall, engine: EngineState) -> float:
    """Return the estimated time until an engine has finished the call, in ms."""
    traits = engine.traits
    report = engine.report
    backlog_tokens = report.prefill_tokens + engine.unreported_tokens
    uncached_tokens = call.prompt_tokens - cached_tokens(call, engine)
    prefill_ms = (backlog_tokens + uncached_tokens) / traits.prefill_tokens_per_s * 1000
    cross_domain_ms = 0.0 if engine.domain == call.domain else call.cross_domain_ms
    decode_ms = _call_step_ms(call, engine) * call.expected_tokens
    work_ms = traits.first_token_ms + prefill_ms + decode_ms
    factor = 1.0 if call.costs is None else call.costs.factor
    return work_ms * factor * engine.expected_pace(call.now_ms) + cross_domain_ms


def expected_step_ms(engine: EngineState, now_ms: float) -> float:
    """Return the estimated time per token with one more call, in ms."""
    traits = engine.traits
    sequences = engine.sequence_count(now_ms) + 1
    step_ms = traits.step_base_ms + traits.step_per_sequence_ms * sequences
    return step_ms * max(1.0, sequences / traits.batch_limit)


def _call_step_ms(call: EngineCall, engine: EngineState) -> float:
    """Return the estimated time per token of a call.

    With learned costs, waiting calls delay the start of a call and not its tokens.
    """
    if call.costs is None:
        return expected_step_ms(engine, call.now_ms)
    traits = engine.traits
    sequences = min(traits.batch_limit, engine.sequence_count(call.now_ms) + 1)
    return traits.step_base_ms + traits.step_per_sequence_ms * sequences


def shared_cost_ms(call: EngineCall, engine: EngineState) -> float:
    """Return the estimated finish plus the delay caused to other calls, in ms.

    A prefill interrupts every running response. A prompt that exceeds the free
    cache evicts as many tokens of other programs, which must prefill them again.
    """
    traits = engine.traits
    report = engine.report
    uncached_tokens = call.prompt_tokens - cached_tokens(call, engine)
    other_sequences = engine.sequence_count(call.now_ms)
    occupied_tokens = report.cached_tokens + engine.unreported_tokens
    overflow_tokens = (
        occupied_tokens + uncached_tokens - report.memory_tokens
        if report.memory_tokens
        else 0.0
    )
    prefill_tokens = report.prefill_tokens + engine.unreported_tokens
    prefill_tokens += uncached_tokens * (
        1.0 + other_sequences * _DELAYED_SEQUENCE_WEIGHT
    )
    if overflow_tokens > 0.0:
        prefill_tokens += min(uncached_tokens, overflow_tokens) * _EVICTION_WEIGHT
    step_ms = _call_step_ms(call, engine)
    cross_domain_ms = 0.0 if engine.domain == call.domain else call.cross_domain_ms
    prefill_ms = prefill_tokens / traits.prefill_tokens_per_s * 1000
    work_ms = traits.first_token_ms + prefill_ms + step_ms * call.expected_tokens
    if call.costs is not None:
        work_ms = work_ms * call.costs.factor + _wait_ms(call, engine)
    work_ms *= engine.expected_pace(call.now_ms)
    return work_ms * engine.expected_slowdown(call.now_ms) + cross_domain_ms


def _shared_cost(call: EngineCall, engines: list[EngineState]) -> Choice:
    best = min(engines, key=lambda engine: shared_cost_ms(call, engine))
    finish_ms = expected_finish_ms(call, best)
    cached = cached_tokens(call, best)
    reason = f"lowest total cost, {cached:.0f} tokens cached"
    return Choice(best, finish_ms, reason)


def _expected_finish(call: EngineCall, engines: list[EngineState]) -> Choice:
    best = None
    best_ms = float("inf")
    for engine in engines:
        finish_ms = expected_finish_ms(call, engine)
        if finish_ms >= best_ms:
            continue
        best = engine
        best_ms = finish_ms
    assert best is not None
    cached = cached_tokens(call, best)
    reason = f"earliest expected finish, {cached:.0f} tokens cached"
    return Choice(best, best_ms, reason)


def _round_robin(call: EngineCall, engines: list[EngineState]) -> Choice:
    engine = engines[call.round_robin_index % len(engines)]
    return Choice(engine, expected_finish_ms(call, engine), "next in round robin")


def _least_outstanding(call: EngineCall, engines: list[EngineState]) -> Choice:
    def outstanding(engine: EngineState) -> tuple[int, str]:
        report = engine.report
        return report.running + report.waiting + len(
            engine.unreported_calls
        ), engine.name

    engine = min(engines, key=outstanding)
    return Choice(engine, expected_finish_ms(call, engine), "fewest outstanding calls")


def _prefix_hash(call: EngineCall, engines: list[EngineState]) -> Choice:
    total = sum(_outstanding_calls(engine) for engine in engines)
    bound = (total + 1) / len(engines) * _BOUNDED_LOAD_FACTOR
    ranked = sorted(engines, key=lambda engine: _hash_weight(call.program, engine.name))
    for engine in ranked:
        if _outstanding_calls(engine) + 1 <= max(1.0, bound):
            break
    else:
        engine = ranked[0]
    finish_ms = expected_finish_ms(call, engine)
    return Choice(engine, finish_ms, "prefix hash with bounded load")


def _outstanding_calls(engine: EngineState) -> int:
    return engine.report.running + engine.report.waiting + len(engine.unreported_calls)


def _hash_weight(program: str, engine: str) -> int:
    return xxhash.xxh64_intdigest(f"{program}\0{engine}".encode())


POLICIES: dict[Policy, Callable[[EngineCall, list[EngineState]], Choice]] = {
    Policy.SHARED_COST: _shared_cost,
    Policy.EXPECTED_FINISH: _expected_finish,
    Policy.ROUND_ROBIN: _round_robin,
    Policy.LEAST_OUTSTANDING: _least_outstanding,
    Policy.PREFIX_HASH: _prefix_hash,
}
