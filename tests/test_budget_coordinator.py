"""Budgets of programs if hosts cannot reach each other or the key-value store."""

import asyncio

import aiohttp
import pytest

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.hosts.budget_coordinator import BudgetCoordinator
from celerypulley.hosts.budget_escrow import BudgetEscrow
from celerypulley.platform.store import PlatformStore
from tests.fleet import BUDGET_TOKENS, MAX_TOKENS, running_fleet, running_store
from tests.harness import ManualClock, run_clock, wait_until


class _Datagrams(FleetDatagrams):
    """Datagrams of which some requests get no reply, and those that were sent."""

    def __init__(self, silent_hosts: set[str], members: dict) -> None:
        super().__init__("host-0", "127.0.0.1", 1, members)
        self.silent_hosts = silent_hosts
        self.requested: list[str] = []
        self.sent: list[tuple[str, str, list]] = []

    async def request(self, host: str, kind: str, payload: list) -> list:
        self.requested.append(host)
        if host in self.silent_hosts:
            raise NoReplyError(f"no reply from {host}")
        return []

    def send(self, host: str, kind: str, payload: list) -> None:
        self.sent.append((host, kind, payload))


def _program_of(budgets: BudgetCoordinator, hosts: list[str]) -> str:
    """Return a program for which `budgets` tries exactly these hosts."""
    names = (f"p{number}" for number in range(1, 1_000))
    return next(name for name in names if budgets.hosts_to_try(name) == hosts)


@pytest.mark.parametrize(
    ("unreachable", "silent", "requested"),
    [
        (set(), set(), ["host-1"]),
        (set(), {"host-1"}, ["host-1", "host-2"]),
        (set(), {"host-1", "host-2"}, ["host-1", "host-2"]),
        ({"host-1"}, set(), ["host-2"]),
        ({"host-1", "host-2", "host-3"}, set(), []),
    ],
    ids=["coordinator", "deputy", "this host", "unreachable coordinator", "isolated"],
)
async def test_turn_is_lost_if_only_its_coordinator_fails(
    unreachable, silent, requested
):
    """Any host may acquire tokens, so another one takes over."""
    members = {f"host-{number}": ("127.0.0.1", 1) for number in range(4)}
    datagrams = _Datagrams(silent, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 1, run_clock())
    async with running_store() as (_, address), aiohttp.ClientSession() as session:
        escrow = BudgetEscrow(PlatformStore(address, session, 500.0), run_clock())
        budgets = BudgetCoordinator(escrow, datagrams, gossip)
        gossip.is_reachable = lambda _host: True
        program = _program_of(budgets, ["host-1", "host-2", "host-0"])
        gossip.is_reachable = lambda host: host not in unreachable
        turn = await budgets.reserve("o", program, BUDGET_TOKENS, MAX_TOKENS)
        assert turn.max_tokens == MAX_TOKENS
        assert datagrams.requested == requested
        # The tokens that a silent host may have reserved are returned to it.
        assert [(host, payload[2]) for host, _, payload in datagrams.sent] == [
            (host, MAX_TOKENS) for host in requested if host in silent
        ]


async def test_hosts_that_cannot_reach_each_other_overspend():
    """Each is its own coordinator then, and the store is the only thing they share."""
    async with running_fleet(hosts=3) as fleet:
        for host in fleet.hosts:
            host.gossip.is_reachable = lambda name, own=host.datagrams.host: name == own
        budgets = [host.forwarder.streams.budgets for host in fleet.hosts]
        spent = 0
        for number in range(30):
            if number == 5:
                fleet.store.faults.error_status = 503
            if number == 15:
                fleet.store.faults.error_status = 0
                for host in fleet.hosts:
                    host.escrow._next_attempt_ms = 0.0
            try:
                await budgets[number % 3].reserve("o", "p", BUDGET_TOKENS, MAX_TOKENS)
            except CallRefusedError:
                continue
            spent += MAX_TOKENS
        assert BUDGET_TOKENS <= spent <= BUDGET_TOKENS + MAX_TOKENS


async def test_coordinator_without_the_store_refuses_a_turn_that_another_host_can_run():
    async with running_fleet(hosts=3) as fleet:
        for unavailable in fleet.hosts[1:]:
            unavailable.escrow._is_store_unavailable = True
            unavailable.escrow._next_attempt_ms = float("inf")
        budgets = fleet.hosts[0].forwarder.streams.budgets
        for number in range(20):
            await budgets.reserve("o", f"p{number}", BUDGET_TOKENS, MAX_TOKENS)


async def test_coordinator_replies_while_the_store_is_slow():
    """Its reply comes before the requesting host gives up waiting."""
    async with running_fleet(hosts=2) as fleet:
        budgets = fleet.hosts[0].forwarder.streams.budgets
        program = _program_of(budgets, ["host-1", "host-0"])
        fleet.store.faults.hang = True
        with pytest.raises(CallRefusedError) as refused:
            await budgets._reserve_at("host-1", "o", program, 600, MAX_TOKENS)
        assert refused.value.refusal.kind is ErrorKind.STATE_UNREACHABLE


async def test_reservation_leaks_if_it_is_settled_while_it_is_made():
    """The requesting host gave up before the coordinator had acquired the tokens."""
    async with running_fleet(hosts=2) as fleet:
        budgets = fleet.hosts[0].forwarder.streams.budgets
        program = _program_of(budgets, ["host-1", "host-0"])
        fleet.store.faults.delay_ms = 200.0
        reserving = asyncio.create_task(
            budgets.reserve("o", program, BUDGET_TOKENS, MAX_TOKENS)
        )
        coordinator = fleet.hosts[1].forwarder.streams.budgets
        await wait_until(lambda: coordinator._remote_reservations)
        reserving.cancel()
        await wait_until(lambda: not coordinator._remote_reservations)
        fleet.store.faults.delay_ms = 0.0
        pool = fleet.hosts[1].escrow._pools[f"budgets/o/{program}"]
        await wait_until(lambda: pool.granted > 0 and pool.used == 0)


@pytest.mark.parametrize(
    ("unreachable", "views", "not_receiving", "has_quorum"),
    [
        (set(), {}, set(), True),
        ({"h1"}, {}, set(), True),
        ({"h1", "h2"}, {}, set(), True),
        ({"h1", "h2", "h3"}, {}, set(), False),
        (set(), {"h1": 2, "h2": 2, "h3": 2}, set(), False),
        ({"h1"}, {"h2": 2}, set(), True),
        ({"h1"}, {"h2": 2, "h3": 2}, set(), False),
        (set(), {}, {"h1", "h2"}, True),
        (set(), {}, {"h1", "h2", "h3"}, False),
        ({"h1"}, {"h2": 2}, {"h3"}, False),
    ],
    ids=[
        *("all reachable", "one unreachable", "two unreachable", "three unreachable"),
        *("three other views", "one unreachable, one other view"),
        *("one unreachable, two other views", "two do not receive"),
        *("three do not receive", "one of each"),
    ],
)
def test_quorum_requires_the_agreement_of_most_hosts(
    unreachable, views, not_receiving, has_quorum
):
    """After a lease expired behind a cut, hosts differ in their view of the members."""
    clock = ManualClock()
    members = {"me": ("", 1), **{f"h{number}": ("", 2) for number in range(1, 5)}}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 1, clock.clock)
    for host in set(members) - {"me"} - unreachable:
        # A bit for each member in the order of their names; "me" is the fifth.
        unreachable_for_host = b"\x10" if host in not_receiving else b""
        gossip._on_counts(
            host,
            ["s", 1, {}, {}, {}, views.get(host, 1), unreachable_for_host, 0, {}, 0],
        )
    assert gossip.has_quorum() is has_quorum


def test_host_announces_an_unreachable_peer_before_it_acts():
    """Gossip lists a peer as unreachable while the host itself still counts on it."""
    clock = ManualClock()
    members = {"me": ("", 1), "h": ("", 2)}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 1, clock.clock)
    sent: list[list] = []
    datagrams.broadcast = lambda _kind, message: sent.append(message)
    gossip._on_counts("h", ["s", 1, {}, {}, {}, 1, b"", 0, {}, 0])
    gossip.announce()
    clock.advance(2.1 * gossip.period_ms())
    gossip.announce()
    assert gossip.is_reachable("h")
    assert [message[-4] for message in sent] == [b"", b"\x01"]
