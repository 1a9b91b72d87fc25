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
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}, {}), clock.clock)
    key = "budgets/o/p"
    gossip._take("h", ["first", 1, {}, {}, {}, {key: 300}])
    assert gossip.unsecured_elsewhere(key) == 300
    gossip._take("h", ["second", 1, {}, {}, {}, {}])
    assert gossip.unsecured_elsewhere(key) == 300
    assert isinstance(gossip.peers["h"], PeerCounts)
    clock.move(121_000.0)
    assert gossip.unsecured_elsewhere(key) == 0
