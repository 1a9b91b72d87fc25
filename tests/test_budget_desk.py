"""Who spends a program's budget when hosts do not reach each other or the store."""

import attrs
import pytest

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.fleet_gossip import FleetGossip, PeerCounts
from celerypulley.links.fleet_datagrams import FleetDatagrams, NoReplyError
from tests.fleet import BUDGET, MOST, running_fleet
from tests.harness import ManualClock


@attrs.define
class _Silent:
    """A home that answers no question."""

    asked: int = 0

    async def ask(self, host: str, kind: str, payload: list) -> list:
        self.asked += 1
        raise NoReplyError(f"{host} says nothing")


@pytest.mark.parametrize(
    ("unsecured", "is_served"),
    [({}, True), ({"budgets/kiosks/p1": 100}, False)],
    ids=["home is only slow", "home goes on without the store"],
)
async def test_store_is_asked_only_beside_a_home_that_uses_it(
    monkeypatch, unsecured, is_served
):
    async with running_fleet(hosts=2) as fleet:
        desk = fleet.hosts[0].forwarder.streams.budgets
        program = next(
            name
            for name in (f"p{number}" for number in range(1, 100))
            if desk.home_of(name) == "host-1"
        )
        silent = _Silent()
        monkeypatch.setattr(desk.datagrams, "ask", silent.ask)
        known = desk.gossip.peers["host-1"]
        desk.gossip.peers["host-1"] = attrs.evolve(
            known, unsecured=unsecured, number=known.number + 1_000
        )
        if is_served:
            await desk.reserve("kiosks", program, BUDGET, MOST)
        else:
            with pytest.raises(CallRefusedError) as refused:
                await desk.reserve("kiosks", program, BUDGET, MOST)
            assert refused.value.refusal.kind is ErrorKind.STATE_UNREACHABLE
        assert silent.asked == 1


def test_what_a_host_used_counts_also_after_it_started_anew():
    clock = ManualClock()
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, {"me": ("", 1), "h": ("", 2)})
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    key = "budgets/o/p"
    gossip._take("h", ["first", 1, {}, {}, {}, {key: 300}, 1])
    assert gossip.unsecured_elsewhere(key) == 300
    gossip._take("h", ["second", 1, {}, {}, {}, {}, 1])
    assert gossip.unsecured_elsewhere(key) == 300
    assert isinstance(gossip.peers["h"], PeerCounts)
    clock.move(121_000.0)
    assert gossip.unsecured_elsewhere(key) == 0


@pytest.mark.parametrize(
    ("silent", "views", "leads"),
    [
        (set(), {}, True),
        ({"h1"}, {}, True),
        ({"h1", "h2"}, {}, True),
        ({"h1", "h2", "h3"}, {}, False),
        (set(), {"h1": 2, "h2": 2, "h3": 2}, False),
        ({"h1"}, {"h2": 2}, True),
        ({"h1"}, {"h2": 2, "h3": 2}, False),
    ],
    ids=["all", "one", "two", "three silent", "others know others", "4", "3"],
)
def test_only_a_host_on_which_most_agree_leads(silent, views, leads):
    """A host whose lease ran out behind a cut is no member for the others any more."""
    clock = ManualClock()
    members = {"me": ("", 1), **{f"h{number}": ("", 2) for number in range(1, 5)}}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), lambda: 1, clock.clock)
    for host in set(members) - {"me"} - silent:
        gossip._take(host, ["s", 1, {}, {}, {}, {}, views.get(host, 1)])
    assert gossip.leads() is leads


async def test_host_that_cannot_renew_its_lease_stops_to_lead():
    async with running_fleet(hosts=3) as fleet:
        host = fleet.hosts[0]
        assert host._may_lead()
        host.members._renewed_ms -= 19_500.0
        assert not host._may_lead()
        fleet.store.faults.refuse_status = 503
        with pytest.raises(CallRefusedError):
            await host.escrow.reserve("kiosks", "p", BUDGET, MOST, is_home=True)
