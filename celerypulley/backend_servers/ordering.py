"""The order in which engines serve waiting calls, by attained service.

Engines serve the lowest priority number first. Each host knows the attained
service of the programs that it owns exactly. It estimates that of organisations
from its own programs only, which are a random sample of all.
"""

import math
from collections.abc import Callable

import attrs

from celerypulley.contracts.declaration import Ordering
from celerypulley.contracts.desired_state import OrganisationRule

__all__ = ["ORDERINGS", "OrderedCall", "engine_priority", "forward_priority"]

_LEVELS_PER_ROUTE_PRIORITY = 1_000
_LEVEL_BASE_TOKENS = 256.0
_MAX_SERVICE_LEVEL = 300
_MAX_SHARE_LEVEL = 600
_LOWEST_RANK = 9  # platform engines accept the ranks 0 to 9, 0 first
_RANKS_PER_PRIORITY = 2


@attrs.frozen
class OrderedCall:
    """The properties of a call that determine its order.

    `attained_tokens` is the service that its program has received so far.
    `relative_share` is its organisation's fraction of all recent service, divided
    by its fraction of all weights (1: exactly its share).
    """

    route_priority: int
    attained_tokens: int
    relative_share: float
    fairness_weight: float = 1.0
    latency_weight: float = 1.0


def engine_priority(ordering: Ordering, call: OrderedCall) -> int:
    """Return the priority number of a call for its engine, lowest first."""
    return call.route_priority * _LEVELS_PER_ROUTE_PRIORITY + ORDERINGS[ordering](call)


def _first_come(_call: OrderedCall) -> int:
    return 0


def _attained_service(call: OrderedCall) -> int:
    """Return a level whose width doubles, so that long programs do not starve."""
    level = math.log2(1.0 + call.attained_tokens / _LEVEL_BASE_TOKENS)
    return min(_MAX_SERVICE_LEVEL, int(level * 20))


def _fair_attained_service(call: OrderedCall) -> int:
    excess = max(0.0, call.relative_share - 1.0)
    share_level = min(_MAX_SHARE_LEVEL, int(excess * 200 * call.fairness_weight))
    return share_level + int(_attained_service(call) * call.latency_weight)


ORDERINGS: dict[Ordering, Callable[[OrderedCall], int]] = {
    Ordering.FIRST_COME: _first_come,
    Ordering.ATTAINED_SERVICE: _attained_service,
    Ordering.FAIR_ATTAINED_SERVICE: _fair_attained_service,
}


def forward_priority(route_priority: int, organisation: OrganisationRule | None) -> int:
    """Return the rank of a forwarded call, 0 first.

    The priority of the organisation takes precedence over that of the route.
    """
    priority = route_priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    return min(_LOWEST_RANK, max(0, priority) * _RANKS_PER_PRIORITY)
