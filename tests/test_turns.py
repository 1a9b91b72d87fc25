"""Histories and budgets of programs over several hosts, restarts and store faults."""

import asyncio

import pytest

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.budget_escrow import BudgetEscrow
from celerypulley.stand_ins.fleet_store import StoreFaults
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import BUDGET_TOKENS, MAX_TOKENS, running_fleet
from tests.harness import run_clock

PIECES = b"".join(b"piece %d\n" % number for number in range(1, 5))


def turn_headers(number: int, previous: int = 0, program: str = "p1") -> dict:
    """Return the headers of a turn; 0 as `previous` begins a new chain."""
    headers = {
        "Request-Id": f"turn-{number}",
        "Program-Id": program,
        "Token-Budget": str(BUDGET_TOKENS),
        "Token-Usage": f"10,{MAX_TOKENS}",
    }
    if previous:
        headers["Previous-Turn"] = f"turn-{previous}"
    return headers


@pytest.mark.parametrize("second_host", [0, 1])
async def test_turn_continues_its_chain_on_any_host(second_host):
    async with running_fleet(hosts=2) as fleet:
        fleet.servers[0].mode = Mode.STREAM
        first = await fleet.call("/turns/x", body=b"one ", headers=turn_headers(1))
        assert (first.status, first.complete) == (200, True)
        for number, previous in ((2, 1), (3, 1), (4, 2)):
            response = await fleet.call(
                "/turns/x",
                host=second_host,
                body=b"input %d " % number,
                headers=turn_headers(number, previous),
            )
            assert response.complete
        bodies = [request.body for request in fleet.servers[0].received]
        assert bodies[1] == b"one " + PIECES + b"input 2 "
        assert bodies[2] == b"one " + PIECES + b"input 3 "
        assert bodies[3] == bodies[1] + PIECES + b"input 4 "


async def test_unknown_turn_differs_from_an_unavailable_store():
    async with running_fleet(hosts=2) as fleet:
        fleet.servers[0].mode = Mode.STREAM
        await fleet.call("/turns/x", headers=turn_headers(1))
        unknown = await fleet.call("/turns/x", headers=turn_headers(2, 77))
        assert unknown.status == 404
        fleet.store.faults.error_status = 503
        unavailable = await fleet.call("/turns/x", host=1, headers=turn_headers(3, 1))
        assert unavailable.status == 503
        assert float(unavailable.headers["Retry-After"]) > 0
        assert len(fleet.servers[0].received) == 1


async def test_turn_is_incomplete_until_it_is_stored():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        granted = await fleet.call("/turns/x", headers=turn_headers(1))
        assert granted.complete
        fleet.store.faults.error_status = 503
        headers = {**turn_headers(2), "Deadline-Ms": "400"}
        response = await fleet.call("/turns/x", headers=headers)
        assert not response.complete
        assert fleet.store.value("turns/kiosks/turn-2") is None


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(lose_write_responses=1),
        StoreFaults(delayed_writes=1),
        StoreFaults(delay_ms=30.0),
    ],
    ids=["response lost", "write delayed", "slow"],
)
async def test_turn_is_stored_whatever_happens_to_one_write(faults):
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        await fleet.call("/turns/x", headers=turn_headers(1))
        fleet.store.faults = faults
        response = await fleet.call("/turns/x", headers=turn_headers(2, 1))
        assert response.complete
        assert fleet.store.value("turns/kiosks/turn-2") is not None


async def test_budget_is_shared_by_all_hosts():
    async with running_fleet(hosts=3) as fleet:
        fleet.servers[0].mode = Mode.STREAM
        calls = [
            fleet.call("/turns/x", host=number % 3, headers=turn_headers(number))
            for number in range(1, 41)
        ]
        responses = await asyncio.gather(*calls)
        served = [response for response in responses if response.status == 200]
        assert len(served) * 40 <= BUDGET_TOKENS + MAX_TOKENS
        assert {response.status for response in responses} == {200, 402}
        assert len(fleet.servers[0].received) == len(served)


@pytest.mark.parametrize(
    ("headers", "max_turns"),
    [
        ({"Token-Budget": "0"}, 0),
        ({"Token-Usage": ""}, 1),
        ({"Token-Usage": "10,0"}, 1),
    ],
    ids=["budget of 0", "no limit of the turn", "limit of 0"],
)
async def test_turn_without_a_limit_is_free(headers, max_turns):
    """Turns at the same time, each of which may use all that is left."""
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        calls = [
            fleet.call("/turns/x", headers={**turn_headers(number), **headers})
            for number in range(1, 41)
        ]
        responses = await asyncio.gather(*calls)
        served = sum(response.status == 200 for response in responses)
        assert {response.status for response in responses} <= {200, 402}
        assert served * 40 <= max_turns * BUDGET_TOKENS + MAX_TOKENS


async def test_used_budget_stays_used_after_all_hosts_restart():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        while (
            await fleet.call("/turns/x", headers=turn_headers(fleet.request_count))
        ).status == 200:
            pass
        served = len(fleet.servers[0].received)
        restarted = BudgetEscrow(fleet.hosts[0].store, run_clock())
        with pytest.raises(CallRefusedError) as refused:
            await restarted.reserve("kiosks", "p1", BUDGET_TOKENS, MAX_TOKENS)
        assert refused.value.refusal.kind is ErrorKind.BUDGET_EXHAUSTED
        assert served * 40 <= BUDGET_TOKENS + MAX_TOKENS
