"""Token budgets over several hosts, restarts and faults of the key-value store."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import attrs
import msgpack
import pytest

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.budget_escrow import BudgetEscrow
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, StoreFaults
from tests.fleet import BUDGET_TOKENS, MAX_TOKENS, running_store
from tests.harness import ManualClock, run_clock

KEY = "budgets/o/p"


@attrs.define(eq=False)
class _Hosts:
    """The escrows of several hosts on one key-value store, and what they spent."""

    store: FleetStore
    make_escrow: Callable[[], BudgetEscrow]
    escrows: list[BudgetEscrow]
    spent: int = 0

    async def spend_turn(self, index: int) -> int:
        """Reserve and spend one turn's tokens; return them, or 0 if refused."""
        try:
            await self.escrows[index].reserve("o", "p", BUDGET_TOKENS, MAX_TOKENS)
        except CallRefusedError:
            return 0
        self.spent += MAX_TOKENS
        return MAX_TOKENS

    async def spend_turns(self, index: int, turns: int) -> int:
        """Spend up to `turns` turns one after the other; return their tokens."""
        return sum([await self.spend_turn(index) for _ in range(turns)])

    def restart(self, index: int) -> None:
        """Replace a host by a new process without memory."""
        self.escrows[index] = self.make_escrow()

    def set_store_available(self, is_available: bool) -> None:
        """Begin or end an outage of the store."""
        self.store.faults.error_status = 0 if is_available else 503
        for escrow in self.escrows:
            escrow._next_attempt_ms = NEVER_MS

    def recorded(self) -> int:
        """Return the tokens that the counter shows as granted."""
        value = self.store.value(KEY)
        return msgpack.unpackb(value)[0] if value else 0


@asynccontextmanager
async def _running_hosts(
    count: int, clock: Clock | None = None
) -> AsyncIterator[_Hosts]:
    async with AsyncExitStack() as stack:
        store, address = await stack.enter_async_context(running_store())
        session = await stack.enter_async_context(aiohttp.ClientSession())

        def make_escrow() -> BudgetEscrow:
            client = PlatformStore(address, session, 300.0)
            return BudgetEscrow(client, clock or run_clock())

        yield _Hosts(store, make_escrow, [make_escrow() for _ in range(count)])


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
    async with _running_hosts(3) as hosts:
        hosts.store.faults = faults
        await asyncio.gather(*(hosts.spend_turn(number % 3) for number in range(30)))
        assert MAX_TOKENS <= hosts.spent <= BUDGET_TOKENS + MAX_TOKENS


@pytest.mark.parametrize("turns_without_store", [1, 4, 6, 8])
async def test_coordinator_overspends_after_an_outage(turns_without_store):
    """Its own usage without the store counts when the store is available again."""
    async with _running_hosts(1) as hosts:
        hosts.set_store_available(False)
        await hosts.spend_turns(0, turns_without_store)
        hosts.set_store_available(True)
        await hosts.spend_turns(0, 20)
        assert BUDGET_TOKENS <= hosts.spent <= BUDGET_TOKENS + MAX_TOKENS


@pytest.mark.parametrize("turns_before", [0, 1, 3])
@pytest.mark.parametrize("turns_without_store", [1, 4, 8])
async def test_successor_overspends_after_a_coordinator_was_killed_in_an_outage(
    turns_before, turns_without_store
):
    """A successor knows nothing of its predecessor but what the store shows."""
    async with _running_hosts(1) as hosts:
        await hosts.spend_turns(0, turns_before)
        hosts.set_store_available(False)
        await hosts.spend_turns(0, turns_without_store)
        hosts.restart(0)
        hosts.set_store_available(True)
        await hosts.spend_turns(0, 20)
        assert hosts.spent <= BUDGET_TOKENS + MAX_TOKENS


@pytest.mark.parametrize("turns_before", [0, 1, 3])
async def test_two_hosts_overspend_if_both_coordinate_in_an_outage(turns_before):
    """Cut off from each other, each may take the other for unreachable."""
    async with _running_hosts(2) as hosts:
        for index in range(2):
            await hosts.spend_turns(index, turns_before)
        hosts.set_store_available(False)
        for index in range(2):
            await hosts.spend_turns(index, 10)
        hosts.set_store_available(True)
        for index in range(2):
            await hosts.spend_turns(index, 10)
        assert hosts.spent <= BUDGET_TOKENS + MAX_TOKENS


@pytest.mark.parametrize("seed", range(12))
async def test_no_token_is_spent_that_the_counter_does_not_show(seed):
    """Random turns, outages, lost and late writes, and restarts of three hosts."""
    draws = random.Random(seed)
    async with _running_hosts(3) as hosts:
        for _ in range(60):
            draw = draws.random()
            index = draws.randrange(3)
            if draw < 0.7:
                await hosts.spend_turn(index)
            elif draw < 0.8:
                hosts.restart(index)
            elif draw < 0.9:
                hosts.set_store_available(draws.random() < 0.5)
            elif draw < 0.95:
                hosts.store.faults.lose_write_responses = 1
            else:
                hosts.store.faults.delayed_writes = 1
            assert hosts.spent <= hosts.recorded()
        assert hosts.spent <= hosts.recorded() <= BUDGET_TOKENS + MAX_TOKENS


async def test_granted_tokens_are_spent_without_the_store():
    async with _running_hosts(1) as hosts:
        await hosts.spend_turn(0)
        granted = hosts.recorded()
        hosts.set_store_available(False)
        await hosts.spend_turns(0, 20)
        assert hosts.spent == granted > MAX_TOKENS


async def test_delayed_write_is_credited():
    async with _running_hosts(1) as hosts:
        hosts.store.faults = StoreFaults(delayed_writes=1, write_delay_ms=100.0)
        while await hosts.spend_turn(0):
            await asyncio.sleep(0.05)
        assert BUDGET_TOKENS - MAX_TOKENS <= hosts.spent <= BUDGET_TOKENS + MAX_TOKENS


async def test_turns_wait_for_a_store_that_is_known_to_be_unavailable():
    """After a failed attempt, one turn at a time tries the store again."""
    clock = ManualClock()
    async with _running_hosts(1, clock.clock) as hosts:
        hosts.store.faults.error_status = 503
        for _ in range(5):
            with pytest.raises(CallRefusedError) as refused:
                await hosts.escrows[0].reserve("o", "p", BUDGET_TOKENS, MAX_TOKENS)
            assert refused.value.refusal.kind is ErrorKind.STATE_UNREACHABLE
        assert len(hosts.store.request_paths) == 1
        hosts.store.faults.error_status = 0
        clock.advance(501.0)
        assert await hosts.spend_turn(0) == MAX_TOKENS
