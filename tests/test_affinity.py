"""Order of servers for an object, and the bound on their loads."""

from collections import Counter

import pytest

from celerypulley.backend_servers.affinity import affinity_order, with_affinity
from celerypulley.backend_servers.engine_state import (
    EngineState,
    EngineTraits,
    ServerState,
)
from celerypulley.backend_servers.routing import EngineCall, choose_plain_server
from tests.fleet import desired_state, route, running_fleet

CALL = EngineCall("", "carts", 0, 0, "a", 1_000.0)
KEY = "cart-7"


def servers(slots: list[int]) -> list[EngineState]:
    return [
        EngineState(
            *(f"server-{number}", "a", "", frozenset(("carts",))),
            traits=EngineTraits(batch_limit=count),
        )
        for number, count in enumerate(slots)
    ]


@pytest.mark.parametrize(
    ("calls", "slots", "rank"),
    [
        pytest.param([0, 0, 0, 0], [8] * 4, 0, id="idle"),
        pytest.param([4, 4, 4, 4], [8] * 4, 0, id="even"),
        pytest.param([5, 4, 4, 4], [8] * 4, 0, id="at the bound"),
        pytest.param([6, 4, 4, 4], [8] * 4, 1, id="above the bound"),
        pytest.param([6, 6, 4, 4], [8] * 4, 0, id="the bound grows with the mean"),
        pytest.param([9, 9, 2, 2], [8] * 4, 2, id="third"),
        pytest.param([3, 0, 0, 0], [8] * 4, 0, id="half of the slots"),
        pytest.param([4, 0, 0, 0], [8] * 4, 1, id="more than half of the slots"),
        pytest.param([50], [8], 0, id="one server"),
        pytest.param([3, 3], [2, 14], 1, id="a server with few slots"),
    ],
)
def test_first_server_within_the_bound_is_chosen(calls, slots, rank):
    """Guards against an object that overloads its server, and needless changes."""
    order = affinity_order(KEY, servers([1] * len(calls)))
    for server, in_flight, count in zip(order, calls, slots, strict=True):
        server.in_flight = in_flight
        server.traits = EngineTraits(batch_limit=count)
    choice = with_affinity(KEY, choose_plain_server)(CALL, order[::-1], frozenset())
    assert choice.engine is order[rank]


@pytest.mark.parametrize(
    "skipped",
    [
        {"backoff_until_ms": CALL.now_ms + 1},
        {"state": ServerState.LEAVING},
        {"models": frozenset()},
    ],
)
def test_skipped_server_does_not_change_the_order_of_the_others(skipped):
    """Guards against objects that all move when one server is skipped."""
    firsts, seconds = Counter(), Counter()
    for key in (f"cart-{number}" for number in range(400)):
        order = affinity_order(key, servers([8] * 9))
        firsts[order[0].name] += 1
        for name, value in skipped.items():
            setattr(order[0], name, value)
        choice = with_affinity(key, choose_plain_server)(CALL, order, frozenset())
        assert choice.engine is order[1]
        seconds[order[1].name] += 1
    # With an even spread, 44 objects have each server as their first one.
    assert all(20 <= count <= 80 for count in (*firsts.values(), *seconds.values()))
    assert len(firsts) == len(seconds) == 9


@pytest.mark.parametrize(
    ("is_sticky", "headers", "is_kept"),
    [
        (True, {"Affinity-Key": KEY}, True),
        (False, {"Affinity-Key": KEY}, False),
        (True, {}, False),
        (True, {"Affinity-Key": KEY, "Prefix-Hash": "p:10"}, False),
    ],
)
async def test_requests_about_an_object_meet_on_one_server(is_sticky, headers, is_kept):
    """Guards against affinity for requests that don't ask for it."""
    safe = route("safe", "/safe/", type="idempotent", sticky=is_sticky)
    async with running_fleet(servers=4, state=desired_state(routes=[safe])) as fleet:
        directory = fleet.hosts[0].directory
        order = affinity_order(KEY, list(directory.servers.values()))
        # By cost alone, the last one would get all requests.
        for server in order[:-1]:
            server.slowdown, server.slowdown_updated_ms = 5.0, directory.clock.now_ms()
        for _ in range(6):
            assert (await fleet.call("/safe/x", headers=headers)).status == 200
        received = {each.name: len(each.received) for each in fleet.servers}
        assert (received[order[0].name] == 6) == is_kept
        assert (received[order[-1].name] == 6) == (not is_kept)
        counts = fleet.hosts[0].affinity_counts
        assert counts == ({"first": 6} if is_kept else {})
