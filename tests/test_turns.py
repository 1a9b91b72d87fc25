"""Histories and budgets of programs over several hosts, restarts and store faults."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
import pytest

from celerypulley.clock import Clock
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.budget_escrow import BudgetEscrow
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, StoreFaults
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import BUDGET_TOKENS, MAX_TOKENS, running_fleet, running_store

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
        fleet.store.faults.error_status = 503
        headers = {**turn_headers(1), "Deadline-Ms": "400"}
        response = await fleet.call("/turns/x", headers=headers)
        assert not response.complete
        assert fleet.store.value("turns/kiosks/turn-1") is None


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


async def test_used_budget_stays_used_after_all_hosts_restart():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        while (
            await fleet.call("/turns/x", headers=turn_headers(fleet.request_count))
        ).status == 200:
            pass
        served = len(fleet.servers[0].received)
        restarted = BudgetEscrow(fleet.hosts[0].store, Clock())
        with pytest.raises(CallRefusedError) as refused:
            await restarted.reserve(
                "kiosks", "p1", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True
            )
        assert refused.value.refusal.kind is ErrorKind.BUDGET_EXHAUSTED
        assert served * 40 <= BUDGET_TOKENS + MAX_TOKENS


class _Escrows:
    """The escrows of several hosts on one key-value store."""

    def __init__(self, store: FleetStore, escrows: list[BudgetEscrow]) -> None:
        self.store = store
        self.escrows = escrows

    async def reserve_turn(self, index: int, is_coordinator: bool = True) -> int:
        """Reserve and use one turn's tokens; return them, or 0 if refused."""
        try:
            await self.escrows[index].reserve(
                "o", "p", BUDGET_TOKENS, MAX_TOKENS, is_coordinator
            )
        except CallRefusedError:
            return 0
        return MAX_TOKENS


async def _make_escrows(stack: AsyncExitStack, count: int) -> _Escrows:
    store, address = await stack.enter_async_context(running_store())
    escrows = []
    for _ in range(count):
        session = await stack.enter_async_context(aiohttp.ClientSession())
        client = PlatformStore(address, session, 300.0)
        escrows.append(BudgetEscrow(client, Clock()))
    return _Escrows(store, escrows)


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(),
        StoreFaults(lose_write_responses=3),
        StoreFaults(delayed_writes=3),
        StoreFaults(delay_ms=20.0),
    ],
    ids=["no fault", "responses lost", "writes delayed", "slow"],
)
async def test_hosts_together_never_spend_more_than_the_budget(faults):
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 3)
        escrows.store.faults = faults
        spent = await asyncio.gather(
            *(
                escrows.reserve_turn(number % 3, is_coordinator=False)
                for number in range(30)
            )
        )
        assert MAX_TOKENS <= sum(spent) <= BUDGET_TOKENS + MAX_TOKENS


async def test_only_the_coordinator_continues_without_the_store():
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 2)
        escrows.store.faults.error_status = 503
        assert await escrows.reserve_turn(1, is_coordinator=False) == 0
        spent = 0
        for _ in range(20):
            spent += await escrows.reserve_turn(0)
        assert MAX_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS
        escrows.store.faults.error_status = 0
        await escrows.escrows[0].record_usage()
        assert await escrows.reserve_turn(1) == 0


async def test_coordinator_and_other_hosts_never_overspend_together():
    """Unrecorded usage of a coordinator counts after the coordinator is lost.

    It reserves tokens while the store is unavailable and announces them to the others.
    """
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 2)
        coordinator, other = escrows.escrows
        spent = 0
        escrows.store.faults.error_status = 503
        for _ in range(4):
            spent += await escrows.reserve_turn(0)
        escrows.store.faults.error_status = 0
        # The coordinator is unreachable from here on; other hosts count the usage that
        # it announced.
        unrecorded = coordinator.unrecorded_usage()
        other.unrecorded_on_other_hosts = lambda key: unrecorded.get(key, 0)
        for _ in range(10):
            spent += await escrows.reserve_turn(1, is_coordinator=False)
        assert 4 * MAX_TOKENS < spent <= BUDGET_TOKENS + MAX_TOKENS


@pytest.mark.parametrize("turns_without_store", [1, 4, 6, 8])
async def test_coordinator_overspends_after_an_outage(turns_without_store):
    """Its own usage without the store counts before it is recorded."""
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 1)
        escrows.store.faults.error_status = 503
        spent = 0
        for _ in range(turns_without_store):
            spent += await escrows.reserve_turn(0)
        escrows.store.faults.error_status = 0
        escrows.escrows[0]._store_unavailable_until_ms = 0.0
        for _ in range(20):
            spent += await escrows.reserve_turn(0)
        assert BUDGET_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS


async def test_coordinator_in_a_minority_needs_the_store():
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 1)
        escrows.escrows[0].may_coordinate = lambda: False
        escrows.store.faults.error_status = 503
        assert await escrows.reserve_turn(0) == 0


async def test_delayed_write_is_credited():
    async with AsyncExitStack() as stack:
        escrows = await _make_escrows(stack, 1)
        escrows.store.faults = StoreFaults(delayed_writes=1, write_delay_ms=100.0)
        spent = 0
        while reserved := await escrows.reserve_turn(0):
            spent += reserved
            await asyncio.sleep(0.05)
        assert BUDGET_TOKENS - MAX_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS
