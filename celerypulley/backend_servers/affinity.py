"""Order of servers for an object, so that requests about it meet on one server."""

import math
from collections.abc import Callable
from fractions import Fraction

import attrs
import xxhash

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import Choice, EngineCall, usable_engines

__all__ = ["affinity_order", "preferred_rank", "with_affinity"]

_LOAD_FACTOR = Fraction(5, 4)  # exact, since bounds are rounded up
# Up to half of its slots a server is not overloaded, however idle the others are. With
# few calls, the mean alone moves an object after each call that ended just before.
_SLOTS_PER_FREE_CALL = 2

_Chooser = Callable[[EngineCall, list[EngineState], frozenset[str]], Choice | None]


def affinity_order(key: str, servers: list[EngineState]) -> list[EngineState]:
    """Return the servers in their order for an object.

    Leaving servers out doesn't change the order of the others.
    """

    def weight(server: EngineState) -> tuple[int, str]:
        digest = xxhash.xxh64_intdigest(f"{key}\0{server.name}".encode())
        return digest, server.name

    return sorted(servers, key=weight)


def preferred_rank(order: list[EngineState], now_ms: float) -> int:
    """Return the position of the first server in the order that isn't overloaded.

    Its calls, with the new one, are at most 1.25 times its part of all calls by slots,
    rounded up, or at most half of its slots. At least one server satisfies this.
    """
    calls = [server.sequence_count(now_ms) for server in order]
    slots = [server.traits.batch_limit for server in order]
    for rank, server_calls in enumerate(calls):
        part = Fraction(slots[rank], sum(slots))
        bound = math.ceil(_LOAD_FACTOR * (sum(calls) + 1) * part)
        if server_calls + 1 <= max(bound, slots[rank] // _SLOTS_PER_FREE_CALL):
            return rank
    return 0


def with_affinity(
    key: str, chooser: _Chooser, record_rank: Callable[[int], None] = lambda _rank: None
) -> _Chooser:
    """Return a chooser of the server for an object.

    `chooser` estimates the cost. `record_rank(rank)` gets the position of the chosen
    server in the order for the object.
    """

    def choose(
        call: EngineCall, servers: list[EngineState], avoid: frozenset[str]
    ) -> Choice | None:
        order = affinity_order(key, usable_engines(call, servers, avoid))
        if not order:
            return None
        rank = preferred_rank(order, call.now_ms)
        choice = chooser(call, [order[rank]], avoid)
        if choice is None:
            return None
        record_rank(rank)
        return attrs.evolve(choice, reason=f"number {rank + 1} for its object")

    return choose
