"""Evacuated failure domains and home regions: what is known, and where requests go."""

import orjson
import pytest

from celerypulley.contracts.evacuations import Evacuations
from celerypulley.contracts.home_regions import HomeRegions
from celerypulley.fleet.confirmations import Confirmations
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.platform.desired_state import decode_desired_state
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import desired_state, route, running_fleet
from tests.harness import run_clock, wait_until

MARK = "op/evacuate/a"
REGIONS = {"a": "north", "b": "south"}


@pytest.mark.parametrize(
    ("steps", "domains"),
    [
        pytest.param([("a", 5, True)], {"a"}, id="marked"),
        pytest.param([("a", 5, True), ("a", 6, False)], set(), id="taken back"),
        pytest.param([("a", 6, False), ("a", 5, True)], set(), id="late event"),
        pytest.param([({"a": 5}, 9)], {"a"}, id="read"),
        pytest.param([("a", 5, True), ({}, 9)], set(), id="removal seen by a read"),
        pytest.param([("a", 5, True), ({}, 4)], {"a"}, id="read from before"),
        pytest.param([({}, 9), ("a", 5, True)], set(), id="event before a read"),
        pytest.param([({}, 9), ({"a": 5}, 5)], set(), id="read of a peer that lags"),
        pytest.param([({}, 9), ("a", 10, True)], {"a"}, id="event after a read"),
        pytest.param(
            [({"a": 5}, 5), ({}, 6), ({"a": 7}, 7), ({}, 6)], {"a"}, id="marked again"
        ),
        pytest.param([({"a": 5, "b": 6}, 6), ("b", 7, False)], {"a"}, id="two domains"),
    ],
)
def test_newest_information_about_a_domain_counts(steps, domains):
    """Guards against a late answer that ends an evacuation, or one that returns."""
    evacuations = Evacuations()
    for step in steps:
        apply = evacuations.apply_event if len(step) == 3 else evacuations.apply_read
        apply(*step)
    assert evacuations.domains == domains


@pytest.mark.parametrize(
    ("watch_is_silent", "path"),
    [(False, "/safe/x"), (False, "/unsafe/x"), (True, "/safe/x"), (True, "/turns/x")],
)
async def test_evacuated_domain_gets_no_requests(watch_is_silent, path):
    """Guards against hosts that learn of an evacuation by a watch alone."""
    async with running_fleet(evacuates_domains=True) as fleet:
        evacuations = fleet.hosts[0].desired_state.evacuations
        fleet.store.faults.suppress_watch_events = watch_is_silent
        fleet.store.put(MARK, b"{}")
        await wait_until(lambda: evacuations.domains == {"a"})
        refused = await fleet.call(path)
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        assert not fleet.servers[0].received
        fleet.store.remove(MARK)
        await wait_until(lambda: not evacuations.domains)
        await fleet.call(path)
        assert len(fleet.servers[0].received) == 1


async def test_host_that_starts_during_an_evacuation_knows_it_when_it_is_ready():
    """Guards against the first requests of a host that has just started."""
    async with running_fleet(evacuates_domains=True) as fleet:
        fleet.store.put(MARK, b"{}")
        await fleet.start_host()
        host = fleet.hosts[1]
        await wait_until(host.is_ready)
        assert host.desired_state.evacuations.domains == {"a"}


async def test_evacuations_stay_as_they_were_while_the_store_is_unavailable():
    """Guards against an outage of the store that ends an evacuation."""
    async with running_fleet(evacuates_domains=True) as fleet:
        desired = fleet.hosts[0].desired_state
        fleet.store.put(MARK, b"{}")
        await wait_until(lambda: desired.evacuations.domains == {"a"})
        fleet.store.faults.error_status = 503
        await wait_until(lambda: desired.confirmer.is_store_unavailable)
        assert (await fleet.call("/safe/x")).status == 503
        assert not fleet.servers[0].received


@pytest.mark.parametrize(
    ("reply", "age_ms", "domains"),
    [
        ([7, 10, {"evacuations": [{"a": 5}, 9]}], 10, {"a"}),
        ([7, 10, {"evacuations": [{}, 9]}], 10, set()),
        ([7, 10], None, {"b"}),
        ([7, 10, {}], None, {"b"}),
        ([7, 10, {"evacuations": [5, 9]}], None, {"b"}),
        ([7, 10, {"evacuations": 5}], None, {"b"}),
        ([7, 10, {"evacuations": [{"a": "x"}, 9]}], None, {"b"}),
        ([8, 10, {"evacuations": [{"a": 5}, 9]}], None, {"a"}),
        ([7, 1_001, {"evacuations": [{"a": 5}, 9]}], None, {"a"}),
    ],
)
async def test_answer_of_a_peer_confirms_evacuations(reply, age_ms, domains):
    """Guards against an answer of a former version that confirms all the same."""
    hosts = {f"host-{number}": "a" for number in range(20)}
    datagrams = FleetDatagrams("host-0", "", 1, {name: ("", 1) for name in hosts})
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 1, run_clock(), hosts)
    gossip.is_reachable = lambda host: host == "host-1"
    evacuations = Evacuations()
    evacuations.apply_event("b", 3, True)

    async def request(_host: str, _kind: str, _payload: list) -> list:
        return reply

    datagrams.request = request
    confirmations = Confirmations(
        datagrams, gossip, lambda: 7, lambda: 0.0, evacuations
    )
    assert await confirmations.ask() == age_ms
    assert evacuations.domains == domains


@pytest.mark.parametrize(
    ("lists", "allowed"),
    [
        ([[], []], {"a", "b", "c"}),
        ([["north"], []], {"a"}),
        ([[], ["south"]], {"b"}),
        ([["north", "south"], ["south"]], {"b"}),
        ([["north"], ["south"]], set()),
    ],
)
def test_home_regions_of_route_and_organisation_both_bind(lists, allowed):
    """Guards against a request that leaves one of its homes."""
    home = HomeRegions.of(*map(frozenset, lists))
    assert {each for each in "abc" if home.allows(each, REGIONS)} == allowed


@pytest.mark.parametrize(
    ("regions", "region", "status", "is_on_disk"),
    [
        ([], "north", 200, True),
        (["north"], "north", 200, False),
        (["south"], "north", 503, False),
        (["north", "south"], "north", 200, True),
    ],
)
async def test_request_and_its_turn_stay_in_their_home(
    regions, region, status, is_on_disk
):
    """Guards against requests and histories that leave their home regions."""
    turns = route(
        "turns",
        "/turns/",
        type="stream",
        serverHistory=True,
        retainS=60.0,
        regionsAllowed=regions,
    )
    state = desired_state(routes=[turns])
    regions_of = {"a": region, "b": "south"}
    async with running_fleet(state=state, region_of_domain=regions_of) as fleet:
        saved = []
        archive = fleet.hosts[0].archive

        async def save(turn) -> None:
            saved.append(turn.may_use_storage_hosts)

        archive.save = save
        fleet.servers[0].next_modes = [Mode.STREAM]
        assert (await fleet.call("/turns/x")).status == status
        assert saved == ([is_on_disk] if status == 200 else [])


@pytest.mark.parametrize("regions", ["north", [1], {"north": 1}, "", 0, False, {}])
def test_malformed_home_regions_make_a_version_invalid(regions):
    """Guards against a restriction that is dropped because it can't be read."""
    state = desired_state(routes=[route("safe", "/safe/", regionsAllowed=regions)])
    with pytest.raises(ValueError, match="regionsAllowed"):
        decode_desired_state(orjson.dumps(state))


@pytest.mark.parametrize("hosts", [3, 20])
async def test_host_that_the_store_refuses_learns_of_evacuations(hosts):
    """Guards against hosts that know only what the store tells them."""
    members = {f"host-{number}": "a" for number in range(hosts)}
    datagrams = FleetDatagrams("host-0", "", 1, {name: ("", 1) for name in members})
    gossip = FleetGossip(
        datagrams, lambda: ({}, {}, {}), lambda: 1, run_clock(), members
    )
    gossip.is_reachable = lambda _host: True
    asked = []

    async def request(host: str, _kind: str, _payload: list) -> list:
        asked.append(host)
        return [7, 5_000, {"evacuations": [{"a": 5}, 9]}]

    datagrams.request = request
    evacuations = Evacuations()
    confirmations = Confirmations(
        datagrams, gossip, lambda: 7, lambda: 0.0, evacuations
    )
    confirmations.source = lambda: "host-0"
    assert await confirmations.ask() is None
    assert not asked
    confirmations.is_store_unavailable = lambda: True
    for _ in range(5):
        assert await confirmations.ask() is None
    assert len(set(asked)) > 1
    assert "host-0" not in asked
    assert evacuations.domains == {"a"}
