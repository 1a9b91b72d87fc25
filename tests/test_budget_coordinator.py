"""Budgets of programs if hosts cannot reach each other or the key-value store."""

import attrs
import msgpack
import pytest

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.fleet_gossip import FleetGossip, PeerCounts
from celerypulley.links.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.links.key_value import StoreUnavailableError
from tests.fleet import BUDGET_TOKENS, MAX_TOKENS, running_fleet
from tests.harness import ManualClock, wait_until


@attrs.define
class _UnresponsiveCoordinator:
    """Datagrams to a coordinator that never replies."""

    request_count: int = 0

    async def request(self, host: str, kind: str, payload: list) -> list:
        self.request_count += 1
        raise NoReplyError(f"no reply from {host}")


@pytest.mark.parametrize("is_reachable", [True, False])
async def test_store_is_used_only_if_the_coordinator_is_unreachable(
    monkeypatch, is_reachable
):
    async with running_fleet(hosts=2) as fleet:
        budgets = fleet.hosts[0].forwarder.streams.budgets
        program = next(
            name
            for name in (f"p{number}" for number in range(1, 100))
            if budgets.coordinator_of(name) == "host-1"
        )
        coordinator = _UnresponsiveCoordinator()
        monkeypatch.setattr(budgets.datagrams, "request", coordinator.request)
        monkeypatch.setattr(budgets.gossip, "is_reachable", lambda _host: is_reachable)
        if not is_reachable:
            await budgets.reserve("kiosks", program, BUDGET_TOKENS, MAX_TOKENS)
            return
        with pytest.raises(CallRefusedError) as refused:
            await budgets.reserve("kiosks", program, BUDGET_TOKENS, MAX_TOKENS)
        assert refused.value.refusal.kind is ErrorKind.STATE_UNREACHABLE
        assert coordinator.request_count == 1


async def test_coordinator_replies_while_a_slow_store_records_usage():
    async with running_fleet() as fleet:
        escrow = fleet.hosts[0].escrow
        fleet.store.faults.error_status = 503
        await escrow.reserve("o", "p", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True)
        fleet.store.faults.error_status = 0
        fleet.store.faults.delay_ms = 400.0
        with pytest.raises(StoreUnavailableError):
            await escrow.record_usage()
        assert escrow.unrecorded_usage() == {"budgets/o/p": MAX_TOKENS}
        fleet.store.faults.delay_ms = 0.0
        await wait_until(lambda: escrow.unrecorded_usage() == {})
        recorded, *_ = msgpack.unpackb(fleet.store.value("budgets/o/p"))
        assert recorded == MAX_TOKENS


def test_unrecorded_usage_counts_after_a_restart():
    """A restarted host no longer announces the usage that it could not record."""
    clock = ManualClock()
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, {"me": ("", 1), "h": ("", 2)})
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    key = "budgets/o/p"
    gossip._on_counts("h", ["first", 1, {}, {}, {}, {key: 300}, 1, []])
    assert gossip.unrecorded_on_other_hosts(key) == 300
    gossip._on_counts("h", ["second", 1, {}, {}, {}, {}, 1, []])
    assert gossip.unrecorded_on_other_hosts(key) == 300
    assert isinstance(gossip.peers["h"], PeerCounts)
    clock.advance(121_000.0)
    assert gossip.unrecorded_on_other_hosts(key) == 0


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
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    for host in set(members) - {"me"} - unreachable:
        unreachable_for_host = ["me"] if host in not_receiving else []
        gossip._on_counts(
            host, ["s", 1, {}, {}, {}, {}, views.get(host, 1), unreachable_for_host]
        )
    assert gossip.has_quorum() is has_quorum


def test_host_announces_an_unreachable_peer_before_it_acts():
    """Gossip lists a peer as unreachable while the host itself still counts on it."""
    clock = ManualClock()
    members = {"me": ("", 1), "h": ("", 2)}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    sent: list[list] = []
    datagrams.broadcast = lambda _kind, message: sent.append(message)
    gossip._on_counts("h", ["s", 1, {}, {}, {}, {}, 1, []])
    gossip.announce()
    clock.advance(2.1 * gossip.period_ms())
    gossip.announce()
    assert gossip.is_reachable("h")
    assert [message[-1] for message in sent] == [[], ["h"]]


async def test_unrecorded_usage_is_announced_at_once():
    async with running_fleet(hosts=2) as fleet:
        fleet.store.faults.error_status = 503
        host, other = fleet.hosts
        announced: list[dict] = []
        host.gossip.announce_soon = host.escrow.announce_soon = lambda: (
            announced.append(host.escrow.unrecorded_usage())
        )
        await host.escrow.reserve(
            "o", "p", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True
        )
        assert announced == [{"budgets/o/p": MAX_TOKENS}]
        await wait_until(
            lambda: other.gossip.unrecorded_on_other_hosts("budgets/o/p") == MAX_TOKENS
        )


async def test_host_that_cannot_renew_its_lease_loses_its_quorum():
    async with running_fleet(hosts=3) as fleet:
        host = fleet.hosts[0]
        assert host._may_coordinate()
        host.members._renewed_ms -= 19_500.0
        assert not host._may_coordinate()
        fleet.store.faults.error_status = 503
        with pytest.raises(CallRefusedError):
            await host.escrow.reserve(
                "kiosks", "p", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True
            )
