"""What requests cost on servers, learned from the requests of this host.

A service is learned from the first response with a pace on, so that deployments whose
servers report none are served with the constants.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from celerypulley.backend_servers.engine_state import EngineState, EngineTraits
from celerypulley.backend_servers.estimates import (
    RunningMean,
    Spread,
    TwoTermEstimate,
)
from celerypulley.backend_servers.routing import CallCosts

__all__ = ["CostModel", "PlainSample", "TurnSample"]

_MAX_ESTIMATES = 200  # services and routes change between versions; bounds the memory
_FIRST_PLAIN_CALL_MS = 20.0  # site sheets give means of 14 to 78 ms
_SIZE_CLASS_WEIGHT = 4.0  # samples as which the route's mean counts in a new class
_ROUTE_FACTOR_WEIGHT = 20.0  # samples until which the service's estimates count more
_MIN_CALL_MS = 0.1  # keeps estimates above zero, by which others are divided
_HINT_WEIGHT = 4.0
# Outputs and calls longer than this multiple of the estimate count as that long.
_MAX_RATIO = 8.0
_MIN_DECODE_TOKENS = 4  # with fewer, the time per token is that of single chunks
_REFRESH_PERIOD_MS = 250.0  # between updates of the traits of all servers


@attrs.frozen(kw_only=True)
class TurnSample:
    """What was measured of one complete turn on one server.

    `first_ms` is the time from the send to the first events, `decode_ms` that from
    there to the last one, which brought `decode_tokens` of `tokens`. `sequences` are
    the calls on the server at the send, this one included. `queued` means that the turn
    may have waited for a slot. `hint_tokens` is the length that the caller expected, 0
    if unknown. `pace` came with the response.
    """

    uncached_tokens: float
    sequences: int
    tokens: int
    decode_tokens: int
    first_ms: float
    decode_ms: float
    hint_tokens: int = 0
    pace: float = 1.0
    queued: bool = False


@attrs.frozen(kw_only=True)
class PlainSample:
    """What was measured of one plain call; the fields are as in `TurnSample`."""

    body_bytes: int
    took_ms: float
    pace: float = 1.0
    queued: bool = False


@attrs.define(eq=False)
class _ServiceCosts:
    """The estimates of one service, for a server with the factor 1 at the pace 1.

    `base` has the constants, of which `first_event` and `step` hold the factors.
    """

    base: EngineTraits
    first_event: TwoTermEstimate = attrs.Factory(TwoTermEstimate)
    step: TwoTermEstimate = attrs.Factory(TwoTermEstimate)
    call_ms: RunningMean = attrs.Factory(lambda: RunningMean(_FIRST_PLAIN_CALL_MS))
    refreshed_ms: float = -math.inf

    def first_event_terms(self, uncached_tokens: float) -> tuple[float, float]:
        """Return the constant fixed time, and the one to read the prompt, in ms."""
        prefill_ms = uncached_tokens / self.base.prefill_tokens_per_s * 1000
        return self.base.first_token_ms, prefill_ms

    def step_terms(self, sequences: int) -> tuple[float, float]:
        """Return the constant time for a token, and the one for running calls."""
        return self.base.step_base_ms, self.base.step_per_sequence_ms * sequences

    def traits(self, server: EngineState) -> EngineTraits:
        """Return the learned traits of a server."""
        factor = server.speed.factor
        base = self.base
        return EngineTraits(
            step_base_ms=base.step_base_ms * self.step.first * factor,
            step_per_sequence_ms=base.step_per_sequence_ms * self.step.second * factor,
            prefill_tokens_per_s=base.prefill_tokens_per_s
            / (self.first_event.second * factor),
            batch_limit=server.traits.batch_limit,
            first_token_ms=base.first_token_ms * self.first_event.first * factor,
        )


@attrs.define(eq=False)
class _RouteCosts:
    """The estimates of one route at one service."""

    spread: Spread = attrs.Factory(Spread)
    turn_factor: RunningMean = attrs.Factory(
        lambda: RunningMean(1.0, _ROUTE_FACTOR_WEIGHT)
    )
    hint_ratio: RunningMean = attrs.Factory(lambda: RunningMean(1.0, _HINT_WEIGHT))
    output_tokens: RunningMean | None = None
    plain_ms: RunningMean = attrs.Factory(lambda: RunningMean(_FIRST_PLAIN_CALL_MS))
    plain_ms_of_size: dict[int, RunningMean] = attrs.Factory(dict)

    def expected_plain_ms(self, body_bytes: int) -> float:
        """Return the expected duration of a plain call by the size of its body."""
        known = self.plain_ms_of_size.get(_size_class(body_bytes))
        return known.mean if known is not None else self.plain_ms.mean

    def add_plain(self, body_bytes: int, took_ms: float) -> None:
        """Add a duration to the mean of the route and of the size class."""
        size = _size_class(body_bytes)
        of_size = self.plain_ms_of_size.get(size)
        if of_size is None:
            weight = min(_SIZE_CLASS_WEIGHT, self.plain_ms.weight)
            of_size = RunningMean(self.plain_ms.mean, weight)
            self.plain_ms_of_size[size] = of_size
        for estimate in (self.plain_ms, of_size):
            estimate.add(min(took_ms, estimate.mean * _MAX_RATIO))


class CostModel:
    """The costs of calls by service, route and server, for learned services only.

    Estimates of a server are in its `EngineState`, since they end with its start.
    """

    def __init__(self) -> None:
        """Start without a learned service."""
        self._services: OrderedDict[str, _ServiceCosts] = OrderedDict()
        self._routes: OrderedDict[tuple[str, str], _RouteCosts] = OrderedDict()
        self.samples = 0
        self.queued_samples = 0

    def is_learned(self, service: str) -> bool:
        """Return whether a server of the service has reported its pace."""
        return service in self._services

    @property
    def learned_services(self) -> int:
        """Return the number of services whose costs are learned."""
        return len(self._services)

    def record_load(
        self,
        service: str,
        server: EngineState,
        slots: int | None,
        pace: float | None,
        now_ms: float,
    ) -> bool:
        """Record what a response reports; return whether the service is new here."""
        is_new = pace is not None and service not in self._services
        if is_new:
            self._services[service] = _ServiceCosts(server.traits)
            _drop_oldest(self._services)
        if service not in self._services:
            return False
        if pace is not None:
            server.record_pace(pace, now_ms)
        if slots and slots != server.traits.batch_limit:
            server.traits = attrs.evolve(server.traits, batch_limit=slots)
        return is_new

    def call_costs(
        self, service: str, route: str, body_bytes: int, is_streaming: bool
    ) -> CallCosts | None:
        """Return the learned costs of a call, None for a service with the constants."""
        costs = self._services.get(service)
        if costs is None:
            return None
        of_route = self._route(service, route)
        return CallCosts(
            expected_ms=0.0 if is_streaming else of_route.expected_plain_ms(body_bytes),
            factor=of_route.turn_factor.mean,
            rest_fraction=of_route.spread.rest_fraction,
            typical_ms=costs.call_ms.mean,
        )

    def expected_tokens(
        self, service: str, route: str, hint_tokens: int, max_tokens: int
    ) -> int:
        """Return the expected output of a turn; `max_tokens` is 0 without a limit."""
        of_route = self._route(service, route) if self.is_learned(service) else None
        if of_route is not None and hint_tokens:
            tokens = round(hint_tokens * of_route.hint_ratio.mean)
        elif of_route is not None and of_route.output_tokens is not None:
            tokens = round(of_route.output_tokens.mean)
        else:
            return hint_tokens or max_tokens // 3
        return min(tokens, max_tokens) if max_tokens else tokens

    def add_turn(
        self, service: str, route: str, server: EngineState, sample: TurnSample
    ) -> None:
        """Learn from a complete turn."""
        costs = self._services.get(service)
        if costs is None:
            return
        of_route = self._route(service, route)
        _add_length(of_route, sample)
        if not self._count(sample.queued):
            return
        first_terms = costs.first_event_terms(sample.uncached_tokens)
        step_terms = costs.step_terms(sample.sequences)
        predicted_ms = costs.first_event.predict_ms(*first_terms)
        predicted_ms += costs.step.predict_ms(*step_terms) * sample.decode_tokens
        predicted_ms = max(1.0, predicted_ms)
        took_ms = (sample.first_ms + sample.decode_ms) / sample.pace
        unit_ms = took_ms / server.speed.factor
        factor = of_route.turn_factor.mean
        scale = sample.pace * server.speed.factor * factor
        costs.first_event.add(*first_terms, sample.first_ms / scale)
        if sample.decode_tokens >= _MIN_DECODE_TOKENS:
            step_ms = sample.decode_ms / sample.decode_tokens
            costs.step.add(*step_terms, step_ms / scale)
        of_route.turn_factor.add(min(_MAX_RATIO, unit_ms / predicted_ms))
        costs.call_ms.add(min(unit_ms, _MAX_RATIO * predicted_ms))
        _add_server_sample(of_route, server, unit_ms / (predicted_ms * factor))

    def add_plain(
        self, service: str, route: str, server: EngineState, sample: PlainSample
    ) -> None:
        """Learn from a complete plain call."""
        costs = self._services.get(service)
        if costs is None or not self._count(sample.queued):
            return
        of_route = self._route(service, route)
        expected_ms = of_route.expected_plain_ms(sample.body_bytes)
        took_ms = max(_MIN_CALL_MS, sample.took_ms / sample.pace)
        unit_ms = took_ms / server.speed.factor
        of_route.add_plain(sample.body_bytes, unit_ms)
        costs.call_ms.add(min(unit_ms, _MAX_RATIO * expected_ms))
        _add_server_sample(of_route, server, unit_ms / expected_ms)

    def update_traits(
        self,
        service: str,
        measured: EngineState,
        servers: Iterable[EngineState],
        now_ms: float,
    ) -> None:
        """Set the learned traits of the measured server, and regularly of all."""
        costs = self._services.get(service)
        if costs is None:
            return
        measured.traits = costs.traits(measured)
        if now_ms - costs.refreshed_ms < _REFRESH_PERIOD_MS:
            return
        costs.refreshed_ms = now_ms
        for server in servers:
            server.traits = costs.traits(server)

    def _route(self, service: str, route: str) -> _RouteCosts:
        of_route = self._routes.get((service, route))
        if of_route is None:
            of_route = self._routes[service, route] = _RouteCosts()
        self._routes.move_to_end((service, route))
        _drop_oldest(self._routes)
        return of_route

    def _count(self, queued: bool) -> bool:
        """Count a sample; return whether its duration is that of the call alone."""
        self.samples += 1
        self.queued_samples += queued
        return not queued


def _add_length(of_route: _RouteCosts, sample: TurnSample) -> None:
    if sample.hint_tokens:
        ratio = sample.tokens / sample.hint_tokens
        of_route.hint_ratio.add(min(_MAX_RATIO, ratio))
        return
    if of_route.output_tokens is None:
        of_route.output_tokens = RunningMean(float(sample.tokens))
    of_route.output_tokens.add(float(sample.tokens))


def _add_server_sample(
    of_route: _RouteCosts, server: EngineState, ratio: float
) -> None:
    """Learn a server's factor from a duration by the expected one on it."""
    log_ratio = math.log(max(ratio, 1 / _MAX_RATIO**2))
    deviation = of_route.spread.add(log_ratio)
    server.speed.add(
        deviation + server.speed.log_factor, of_route.spread.log_variance.mean
    )


def _size_class(body_bytes: int) -> int:
    """Return a class of body sizes, each four times as wide as the one below."""
    return (body_bytes // 256).bit_length() // 2


def _drop_oldest(estimates: OrderedDict) -> None:
    while len(estimates) > _MAX_ESTIMATES:
        estimates.popitem(last=False)
