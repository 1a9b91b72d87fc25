"""Histories and budgets of programs, across hosts, restarts and a failing store."""

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
    """Return the headers of a turn."""
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
            answer = await fleet.call(
                "/turns/x",
                host=second_host,
                body=b"input %d " % number,
                headers=turn_headers(number, previous),
            )
            assert answer.complete
        bodies = [seen.body for seen in fleet.servers[0].received]
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
        unsure = await fleet.call("/turns/x", host=1, headers=turn_headers(3, 1))
        assert unsure.status == 503
        assert float(unsure.headers["Retry-After"]) > 0
        assert len(fleet.servers[0].received) == 1


async def test_turn_is_incomplete_until_it_is_stored():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        fleet.store.faults.error_status = 503
        sent = {**turn_headers(1), "Deadline-Ms": "400"}
        answer = await fleet.call("/turns/x", headers=sent)
        assert not answer.complete
        assert fleet.store.value("turns/kiosks/turn-1") is None


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(lose_write_responses=1),
        StoreFaults(delayed_writes=1),
        StoreFaults(delay_ms=30.0),
    ],
    ids=["answer lost", "done later", "slow"],
)
async def test_turn_is_stored_whatever_happens_to_one_write(faults):
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        await fleet.call("/turns/x", headers=turn_headers(1))
        fleet.store.faults = faults
        answer = await fleet.call("/turns/x", headers=turn_headers(2, 1))
        assert answer.complete
        assert fleet.store.value("turns/kiosks/turn-2") is not None


async def test_budget_is_shared_by_all_hosts():
    async with running_fleet(hosts=3) as fleet:
        fleet.servers[0].mode = Mode.STREAM
        calls = [
            fleet.call("/turns/x", host=number % 3, headers=turn_headers(number))
            for number in range(1, 41)
        ]
        answers = await asyncio.gather(*calls)
        served = [answer for answer in answers if answer.status == 200]
        assert len(served) * 40 <= BUDGET_TOKENS + MAX_TOKENS
        assert {answer.status for answer in answers} == {200, 402}
        assert len(fleet.servers[0].received) == len(served)


async def test_used_budget_stays_used_after_all_hosts_restart():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        while (
            await fleet.call("/turns/x", headers=turn_headers(fleet.request_count))
        ).status == 200:
            pass
        served = len(fleet.servers[0].received)
        anew = BudgetEscrow(fleet.hosts[0].store, Clock())
        with pytest.raises(CallRefusedError) as refused:
            await anew.reserve(
                "kiosks", "p1", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True
            )
        assert refused.value.refusal.kind is ErrorKind.BUDGET_EXHAUSTED
        assert served * 40 <= BUDGET_TOKENS + MAX_TOKENS


class _Escrows:
    """Several hosts' escrows over one store."""

    def __init__(self, store: FleetStore, escrows: list[BudgetEscrow]) -> None:
        self.store = store
        self.escrows = escrows

    async def reserve_turn(self, index: int, is_coordinator: bool = True) -> int:
        """Reserve and use one turn's most; return it, or 0 where it is refused."""
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
    ids=["sound", "answers lost", "writes done later", "slow"],
)
async def test_hosts_together_never_spend_more_than_the_budget(faults):
    async with AsyncExitStack() as stack:
        fleet = await _make_escrows(stack, 3)
        fleet.store.faults = faults
        spent = await asyncio.gather(
            *(
                fleet.reserve_turn(number % 3, is_coordinator=False)
                for number in range(30)
            )
        )
        assert MAX_TOKENS <= sum(spent) <= BUDGET_TOKENS + MAX_TOKENS


async def test_only_the_coordinator_continues_without_the_store():
    async with AsyncExitStack() as stack:
        fleet = await _make_escrows(stack, 2)
        fleet.store.faults.error_status = 503
        assert await fleet.reserve_turn(1, is_coordinator=False) == 0
        spent = 0
        for _ in range(20):
            spent += await fleet.reserve_turn(0)
        assert MAX_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS
        fleet.store.faults.error_status = 0
        await fleet.escrows[0].record_usage()
        assert await fleet.reserve_turn(1) == 0


async def test_coordinator_and_other_hosts_never_overspend_together():
    """A home that the store turns away spends alone, and is counted when it dies."""
    async with AsyncExitStack() as stack:
        fleet = await _make_escrows(stack, 2)
        home, other = fleet.escrows
        spent = 0
        fleet.store.faults.error_status = 503
        for _ in range(4):
            spent += await fleet.reserve_turn(0)
        fleet.store.faults.error_status = 0
        # The home is not heard any more: what it has told is counted elsewhere.
        told = home.unrecorded_usage()
        other.unrecorded_on_other_hosts = lambda key: told.get(key, 0)
        for _ in range(10):
            spent += await fleet.reserve_turn(1, is_coordinator=False)
        assert 4 * MAX_TOKENS < spent <= BUDGET_TOKENS + MAX_TOKENS


async def test_coordinator_in_a_minority_needs_the_store():
    async with AsyncExitStack() as stack:
        fleet = await _make_escrows(stack, 1)
        fleet.escrows[0].may_coordinate = lambda: False
        fleet.store.faults.error_status = 503
        assert await fleet.reserve_turn(0) == 0


async def test_delayed_write_is_credited():
    async with AsyncExitStack() as stack:
        fleet = await _make_escrows(stack, 1)
        fleet.store.faults = StoreFaults(delayed_writes=1, write_delay_ms=100.0)
        spent = 0
        while taken := await fleet.reserve_turn(0):
            spent += taken
            await asyncio.sleep(0.05)
        assert BUDGET_TOKENS - MAX_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS
