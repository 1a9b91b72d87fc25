"""Membership while many hosts join, and entries that are lost, late or replaced."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from celerypulley.fleet import fleet_members
from celerypulley.fleet.fleet_members import (
    HOST,
    STORAGE_HOST,
    FleetMember,
    FleetMembers,
)
from celerypulley.links.key_value import KeyValueStore
from celerypulley.stand_ins.fleet_store import FleetStore
from tests.fleet import running_fleet
from tests.harness import run_clock, wait_until
from tests.test_key_value_store import running_client


@pytest.mark.parametrize(("hosts", "max_watches"), [(3, 4), (60, 10), (171, 10)])
async def test_each_host_that_joins_wakes_all_others(hosts, max_watches):
    """Each of n hosts would make n calls while the fleet starts."""
    async with running_client() as (kv, store):
        own_member = FleetMember("host-0", HOST, "a", "127.0.0.1", 1)
        members = FleetMembers(own_member, kv, run_clock())
        await members.follower.start()
        await wait_until(lambda: kv.calls["kv-watch"])
        for number in range(1, hosts):
            joined = FleetMember(f"host-{number}", HOST, "a", "127.0.0.1", number)
            store.put(f"members/{joined.name}", joined.pack())
            await asyncio.sleep(0.005)
        await wait_until(lambda: len(members.addresses) == hosts)
        await members.follower.stop()
        assert kv.calls["kv-watch"] <= max_watches


_TTL_MS = 1_000
_KEY = "members/own"


@pytest.fixture(name="_short_leases")
def short_leases(monkeypatch):
    monkeypatch.setattr(fleet_members, "_LEASE_TTL_MS", _TTL_MS)
    monkeypatch.setattr(fleet_members, "_RENEW_PERIOD_MS", _TTL_MS / 5)
    monkeypatch.setattr(fleet_members, "_RETRY_MS", _TTL_MS / 5)


@asynccontextmanager
async def registering(
    kind: str, **faults: object
) -> AsyncIterator[tuple[FleetMembers, KeyValueStore, FleetStore]]:
    """Register a process while the store has these faults."""
    async with running_client() as (kv, store):
        for name, value in faults.items():
            setattr(store.faults, name, value)
        own_member = FleetMember("own", kind, "a", "127.0.0.1", 1)
        members = FleetMembers(own_member, kv, run_clock())
        await members.start()
        await members.follower.start()
        try:
            yield members, kv, store
        finally:
            await members.stop()
            await members.follower.stop()


def is_registered(members: FleetMembers, store: FleetStore) -> bool:
    """Return whether the entry is stored under a lease that has not ended."""
    store.expire_leases()
    entry = store.entries.get(_KEY)
    return (
        entry is not None
        and store.value(_KEY) == members.own_member.pack()
        and entry.lease_id in store.leases
    )


# The HTTP client resends a request once if its connection is closed.
@pytest.mark.usefixtures("_short_leases")
@pytest.mark.parametrize("kind", [HOST, STORAGE_HOST])
@pytest.mark.parametrize(
    "faults",
    [
        {"lose_write_responses": 2},
        {"delayed_writes": 2, "write_delay_ms": 50.0},
        {"delayed_writes": 2, "write_delay_ms": 0.6 * _TTL_MS},
        {"delayed_writes": 4, "write_delay_ms": 0.6 * _TTL_MS},
        {"delayed_writes": 2, "write_delay_ms": 1.5 * _TTL_MS},
    ],
    ids=["lost", "late", "after the next", "after the next two", "after a lease"],
)
async def test_process_is_forgotten_after_its_registration_got_no_answer(kind, faults):
    async with registering(kind, **faults) as (members, _, store):
        await wait_until(lambda: is_registered(members, store))
        await asyncio.sleep(faults.get("write_delay_ms", 0.0) / 1000)
        for _ in range(20):
            assert is_registered(members, store)
            await asyncio.sleep(_TTL_MS / 10_000)


def remove(store: FleetStore, _value: bytes) -> None:
    store.remove(_KEY)


def end_lease(store: FleetStore, _value: bytes) -> None:
    lease = store.entries[_KEY].lease_id
    del store.leases[lease]
    store.remove_keys_of_leases({lease})


def replace_lease(store: FleetStore, value: bytes) -> None:
    store.leases[7] = (float(_TTL_MS), store.clock.now_ms())
    store.put(_KEY, value, 7)


def replace_value(store: FleetStore, _value: bytes) -> None:
    store.put(_KEY, b"\xc1", store.entries[_KEY].lease_id)


def drop_history_and_entry(store: FleetStore, _value: bytes) -> None:
    store.remove(_KEY)
    store.compact_history()


@pytest.mark.usefixtures("_short_leases")
@pytest.mark.parametrize("kind", [HOST, STORAGE_HOST])
@pytest.mark.parametrize(
    "replace",
    [remove, end_lease, replace_lease, replace_value, drop_history_and_entry],
)
async def test_process_whose_entry_was_replaced_is_forgotten(
    kind, replace: Callable[[FleetStore, bytes], None]
):
    async with registering(kind) as (members, kv, store):
        await wait_until(lambda: is_registered(members, store))
        await wait_until(lambda: kv.calls["kv-watch"])
        replace(store, members.own_member.pack())
        await asyncio.sleep(1.5 * _TTL_MS / 1000)
        writes = kv.calls["kv-txn"]
        for _ in range(10):
            assert is_registered(members, store)
            await asyncio.sleep(_TTL_MS / 10_000)
        assert kv.calls["kv-txn"] == writes


async def test_registration_that_nobody_changes_is_written_once():
    async with registering(HOST) as (members, kv, store):
        await wait_until(lambda: is_registered(members, store))
        await wait_until(lambda: kv.calls["kv-watch"])
        await asyncio.sleep(0.1)
        assert kv.calls["kv-txn"] == 1
        assert kv.calls["kv-key"] == 0


@pytest.mark.usefixtures("_short_leases")
async def test_host_that_lost_its_entry_gets_no_counts_and_admits_its_share_on_top():
    async with running_fleet(hosts=2) as fleet:
        first, second = fleet.hosts
        fleet.store.remove("members/host-0")
        await wait_until(lambda: "host-0" not in second.members.others)
        await wait_until(lambda: "host-0" in second.members.others)
        received = first.gossip.peers["host-1"]
        await wait_until(lambda: first.gossip.peers["host-1"] is not received)


@pytest.mark.usefixtures("_short_leases")
async def test_drained_host_is_open_again_after_a_late_registration():
    async with registering(STORAGE_HOST) as (members, _, store):
        await wait_until(lambda: is_registered(members, store))
        store.faults.delayed_writes = 2
        store.faults.write_delay_ms = 1_500.0
        closed = FleetMember("own", STORAGE_HOST, "a", "127.0.0.1", 1, is_open=False)
        with pytest.raises(fleet_members.StoreUnavailableError):
            await members.update_registration(closed)
        await wait_until(lambda: is_registered(members, store))
        assert store.value(_KEY) == closed.pack()
        await members.deregister()
        await asyncio.sleep(1.6)
        assert _KEY not in store.entries
