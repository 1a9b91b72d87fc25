"""Order of servers for an object, and the bound on their loads."""

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


def servers(count: int, slots: int = 8, first: int = 0) -> list[EngineState]:
    return [
        EngineState(
            f"server-{number}",
            "a",
            "",
            frozenset(("carts",)),
            traits=EngineTraits(batch_limit=slots),
        )
        for number in range(first, first + count)
    ]


def chosen_rank(key: str, candidates: list[EngineState], avoid=frozenset()) -> int:
    """Return the position of the chosen server among all `candidates`."""
    order = affinity_order(key, candidates)
    choice = with_affinity(key, choose_plain_server)(CALL, candidates, avoid)
    return -1 if choice is None else order.index(choice.engine)


@pytest.mark.parametrize(
    ("calls", "slots", "rank"),
    [
        pytest.param([0, 0, 0, 0], 8, 0, id="idle"),
        pytest.param([4, 4, 4, 4], 8, 0, id="even"),
        pytest.param([5, 4, 4, 4], 8, 0, id="at the bound"),
        pytest.param([6, 4, 4, 4], 8, 1, id="above the bound"),
        pytest.param([6, 6, 4, 4], 8, 0, id="the bound grows with the mean"),
        pytest.param([9, 9, 2, 2], 8, 2, id="third"),
        pytest.param([3, 0, 0, 0], 8, 0, id="half of the slots"),
        pytest.param([4, 0, 0, 0], 8, 1, id="more than half of the slots"),
        pytest.param([50], 8, 0, id="one server"),
    ],
)
def test_first_server_within_the_bound_is_chosen(calls, slots, rank):
    """Guards against an object that overloads its server, and needless changes."""
    candidates = servers(len(calls), slots)
    for server, in_flight in zip(affinity_order(KEY, candidates), calls, strict=True):
        server.in_flight = in_flight
    assert chosen_rank(KEY, candidates) == rank


def test_load_is_relative_to_the_slots_of_a_server():
    """Guards against small servers that get as many calls as large ones."""
    candidates = [*servers(1, 2), *servers(1, 14, first=1)]
    for server in candidates:
        server.in_flight = 3
    choose = with_affinity("cart-1", choose_plain_server)
    for key in map(str, range(20)):
        assert affinity_order(key, candidates)
        choice = with_affinity(key, choose_plain_server)(CALL, candidates, frozenset())
        assert choice.engine.name == "server-1"
    assert choose(CALL, candidates, frozenset(("server-1",))).engine is candidates[0]


def exclude(candidates: list[EngineState], server: EngineState) -> list[EngineState]:
    return [each for each in candidates if each is not server]


def fail(candidates: list[EngineState], server: EngineState) -> list[EngineState]:
    server.backoff_until_ms = CALL.now_ms + 1
    return candidates


def leave(candidates: list[EngineState], server: EngineState) -> list[EngineState]:
    server.state = ServerState.LEAVING
    return candidates


@pytest.mark.parametrize("skip", [exclude, fail, leave])
def test_skipped_server_does_not_change_the_order_of_the_others(skip):
    """Guards against objects that all move when one server is skipped."""
    keys = [f"cart-{number}" for number in range(400)]
    before = {key: affinity_order(key, servers(9)) for key in keys}
    firsts = {key: order[0].name for key, order in before.items()}
    assert all(20 <= list(firsts.values()).count(f"server-{n}") <= 80 for n in range(9))
    for key in keys:
        candidates = servers(9)
        left = skip(candidates, affinity_order(key, candidates)[0])
        choice = with_affinity(key, choose_plain_server)(CALL, left, frozenset())
        assert choice.engine.name == before[key][1].name
    seconds = {order[1].name for order in before.values()}
    assert len(seconds) == 9


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
