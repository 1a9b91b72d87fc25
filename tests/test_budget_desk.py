"""Who spends a program's budget when hosts do not reach each other or the store."""

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
    """A home that answers no question."""

    request_count: int = 0

    async def request(self, host: str, kind: str, payload: list) -> list:
        self.request_count += 1
        raise NoReplyError(f"{host} says nothing")


@pytest.mark.parametrize("is_heard", [True, False])
async def test_store_is_used_only_if_the_coordinator_is_unreachable(
    monkeypatch, is_heard
):
    async with running_fleet(hosts=2) as fleet:
        desk = fleet.hosts[0].forwarder.streams.budgets
        program = next(
            name
            for name in (f"p{number}" for number in range(1, 100))
            if desk.coordinator_of(name) == "host-1"
        )
        silent = _UnresponsiveCoordinator()
        monkeypatch.setattr(desk.datagrams, "request", silent.request)
        monkeypatch.setattr(desk.gossip, "is_reachable", lambda _host: is_heard)
        if not is_heard:
            await desk.reserve("kiosks", program, BUDGET_TOKENS, MAX_TOKENS)
            return
        with pytest.raises(CallRefusedError) as refused:
            await desk.reserve("kiosks", program, BUDGET_TOKENS, MAX_TOKENS)
        assert refused.value.refusal.kind is ErrorKind.STATE_UNREACHABLE
        assert silent.request_count == 1


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
        total, *_ = msgpack.unpackb(fleet.store.value("budgets/o/p"))
        assert total == MAX_TOKENS


def test_unrecorded_usage_counts_after_a_restart():
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
    ("silent", "views", "deaf", "leads"),
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
        *("all", "one", "two", "three silent", "others know others", "4", "3"),
        *("two hear nothing", "three hear nothing", "one of each"),
    ],
)
def test_quorum_requires_the_agreement_of_most_hosts(silent, views, deaf, leads):
    """A host whose lease ran out behind a cut is no member for the others any more."""
    clock = ManualClock()
    members = {"me": ("", 1), **{f"h{number}": ("", 2) for number in range(1, 5)}}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    for host in set(members) - {"me"} - silent:
        unheard = ["me"] if host in deaf else []
        gossip._on_counts(host, ["s", 1, {}, {}, {}, {}, views.get(host, 1), unheard])
    assert gossip.has_quorum() is leads


def test_host_announces_an_unreachable_peer_before_it_acts():
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
        told: list[dict] = []
        host.gossip.announce_soon = host.escrow.announce_soon = lambda: told.append(
            host.escrow.unrecorded_usage()
        )
        await host.escrow.reserve(
            "o", "p", BUDGET_TOKENS, MAX_TOKENS, is_coordinator=True
        )
        assert told == [{"budgets/o/p": MAX_TOKENS}]
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
