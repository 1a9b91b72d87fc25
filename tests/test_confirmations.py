"""Confirmations of the desired state, of which most hosts read none themselves."""

import asyncio
import math

import attrs
import pytest

from celerypulley.fleet.confirmations import Confirmations
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.links.key_poller import KeyPoller
from celerypulley.links.key_value import Item, WatchBatch
from celerypulley.links.prefix_follower import PrefixFollower
from tests.harness import run_clock

VERSION = 7


@attrs.define(eq=False)
class _CountedStore:
    reads: int = 0

    async def read(self, key: str) -> Item:
        self.reads += 1
        return Item(key, b"state", 1)


@attrs.define(eq=False)
class _Host:
    """A host of a fleet whose datagrams arrive at once, all hosts being reachable."""

    name: str
    domains: dict[str, str]
    fleet: dict[str, "_Host"]
    store: _CountedStore
    version: int = VERSION
    confirmations: Confirmations = attrs.field(init=False)
    poller: KeyPoller = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        members = {host: ("", 1) for host in self.domains}
        datagrams = FleetDatagrams(self.name, "", 1, members)
        datagrams.request = self._request
        gossip = FleetGossip(
            datagrams, lambda: ({}, {}, {}), lambda: 1, run_clock(), self.domains
        )
        gossip.is_reachable = lambda _host: True
        self.poller = KeyPoller(self.store, "state", run_clock(), lambda _item: None)
        self.confirmations = Confirmations(
            datagrams, gossip, lambda: self.version, self.poller.age_ms
        )
        self.poller.ask_peer = self.confirmations.ask
        self.poller.pause_ms = self.confirmations.pause_ms

    async def _request(self, host: str, _kind: str, payload: list) -> list:
        return await self.fleet[host].confirmations._handle_request(self.name, payload)


def _make_fleet(hosts: int, domains: int) -> tuple[dict[str, _Host], _CountedStore]:
    fleet: dict[str, _Host] = {}
    store = _CountedStore()
    domain_of = {f"host-{i}": f"{i % domains}" for i in range(hosts)}
    for name in domain_of:
        fleet[name] = _Host(name, domain_of, fleet, store)
    return fleet, store


@pytest.mark.parametrize(
    ("hosts", "domains", "max_reads"), [(8, 3, 8 * 3), (60, 3, 80), (171, 5, 200)]
)
async def test_each_host_reads_the_desired_state(hosts, domains, max_reads):
    """At the start each host reads it once; after that, one host of each domain."""
    fleet, store = _make_fleet(hosts, domains)
    for host in fleet.values():
        await host.poller.start()
    await asyncio.sleep(2.5)
    ages_ms = [host.poller.age_ms() for host in fleet.values()]
    for host in fleet.values():
        await host.poller.stop()
    assert store.reads <= max_reads
    assert max(ages_ms) < 2_000.0


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        ([VERSION, 0], 0),
        ([VERSION, 900], 900),
        ([VERSION, 1_001], None),
        ([VERSION, -1], None),
        ([VERSION, 12.5], None),
        ([VERSION, "12"], None),
        ([VERSION + 1, 10], None),
        ([VERSION - 1, 10], None),
        ([VERSION], None),
        ([VERSION, 10, 10], None),
        (VERSION, None),
        (None, None),
        (NoReplyError("source"), None),
    ],
)
async def test_confirmation_that_confirms_nothing_is_believed(reply, expected):
    fleet, _ = _make_fleet(20, 2)

    async def request(_host: str, _kind: str, _payload: list) -> list:
        if isinstance(reply, Exception):
            raise reply
        return reply

    asker = next(h for n, h in fleet.items() if h.confirmations.source() != n)
    asker.confirmations.datagrams.request = request
    assert await asker.confirmations.ask() == expected


async def test_age_leaves_out_the_time_of_the_answer():
    store = _CountedStore()
    poller = KeyPoller(store, "state", run_clock(), lambda _item: None)

    async def ask_peer() -> float:
        await asyncio.sleep(0.2)
        return 500.0

    poller.ask_peer = ask_peer
    await poller.start()
    await asyncio.sleep(0.3)
    age_ms = poller.age_ms()
    await poller.stop()
    assert store.reads == 0
    assert 700.0 <= age_ms < math.inf


@attrs.define(eq=False)
class _WatchedStore:
    """A store whose watches end when they are released; it counts them."""

    waits_ms: list[int] = attrs.Factory(list)
    is_released: asyncio.Event = attrs.Factory(asyncio.Event)
    connection_checks: int = 0

    async def read_prefix(self, _prefix: str) -> WatchBatch:
        return WatchBatch((), 5)

    async def watch(self, _prefix: str, after: int, wait_ms: int) -> WatchBatch:
        self.waits_ms.append(wait_ms)
        await self.is_released.wait()
        return WatchBatch((), after)

    def check_connections(self) -> None:
        self.connection_checks += 1


@pytest.mark.parametrize(
    ("peer_revisions", "is_sent_again"),
    [
        pytest.param([5, 5, 5], False, id="peer knows no more"),
        pytest.param([5, 4, 5], False, id="peer knows less"),
        pytest.param([5, 9, 9, 9, 9], True, id="changes are missing"),
    ],
)
async def test_long_watch_is_sent_again_if_it_misses_changes(
    peer_revisions, is_sent_again
):
    """Guards against a long watch on a connection that has gone silent."""
    store = _WatchedStore()
    follower = PrefixFollower(
        "servers", store, "", 50, run_clock(), lambda _items: None, lambda _item: None
    )
    follower.check(0)
    await follower.start()
    for revision in peer_revisions:
        follower.check(revision)
        await asyncio.sleep(0.6)
    waits_ms = list(store.waits_ms)
    store.is_released.set()
    await follower.stop()
    assert waits_ms[0] > 1_000
    assert (len(waits_ms) > 1) == is_sent_again
    assert (store.connection_checks > 0) == is_sent_again


async def test_watch_without_a_peer_is_short():
    """Guards against a long watch that nobody checks."""
    store = _WatchedStore()
    follower = PrefixFollower(
        "servers", store, "", 50, run_clock(), lambda _items: None, lambda _item: None
    )
    await follower.start()
    await asyncio.sleep(0.05)
    store.is_released.set()
    await follower.stop()
    assert store.waits_ms[0] == 50
