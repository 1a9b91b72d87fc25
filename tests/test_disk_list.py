"""The list of disks: no failure of the store and no late write shortens it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import msgpack
import pytest

from celerypulley.fleet.disk_list import DISK_PREFIX, Disk, DiskList
from celerypulley.links.key_value import KeyValueStore
from celerypulley.stand_ins.fleet_store import FleetStore
from tests.harness import run_clock, wait_until
from tests.test_key_value_store import running_client

DISKS = {
    name: Disk(f"disk-{name}", f"keeper-{name}", name, "127.0.0.1", 7_000 + number)
    for number, name in enumerate("abc", start=1)
}


@asynccontextmanager
async def running_list() -> AsyncIterator[tuple[DiskList, KeyValueStore, FleetStore]]:
    """Follow a list; yield it, its client and the stand-in of the store."""
    async with running_client() as (kv, store):
        disk_list = DiskList(kv, run_clock())
        await disk_list.follower.start()
        await wait_until(lambda: disk_list.is_known)
        try:
            yield disk_list, kv, store
        finally:
            await disk_list.follower.stop()


async def add_all(disk_list: DiskList) -> None:
    """Add all disks and wait until the list has them."""
    for disk in DISKS.values():
        await disk_list.add(disk)
    await wait_until(lambda: len(disk_list.disks) == len(DISKS))


def listed_ids(store: FleetStore) -> set[str]:
    """Return the disks that the store lists, without removed ones."""
    return {
        key.removeprefix(DISK_PREFIX)
        for key in store.entries
        if key.startswith(DISK_PREFIX) and store.value(key)
    }


# The HTTP client resends a request once if its connection is closed.
@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"lose_write_responses": 2},
        {"delayed_writes": 2, "write_delay_ms": 30.0},
        {"delayed_writes": 2, "write_delay_ms": 1_500.0},
    ],
    ids=["answered", "answers lost", "applied late", "applied after the next attempt"],
)
@pytest.mark.parametrize("is_restart", [False, True])
async def test_turn_is_not_searched_on_a_disk_whose_registration_got_no_answer(
    faults, is_restart
):
    async with running_list() as (disk_list, kv, store):
        disk = DISKS["a"]
        if is_restart:
            await disk_list.add(attrs.evolve(disk, port=1))
            await wait_until(lambda: disk_list.disks)
        for name, value in faults.items():
            setattr(store.faults, name, value)
        await disk_list.add(disk)
        assert store.value("disks/disk-a") == disk.pack()
        await asyncio.sleep(faults.get("write_delay_ms", 0.0) / 1000)
        assert Disk.unpack("disk-a", store.value("disks/disk-a")) == disk
        assert store.entries["disks/disk-a"].lease_id == 0
        await wait_until(lambda: disk_list.disks == {"disk-a": disk})
        assert disk_list.others("disk-a") == []
        assert disk_list.others("disk-b") == [disk]


async def reject_calls(store: FleetStore) -> None:
    store.faults.error_status = 503
    await asyncio.sleep(1.5)
    store.faults.error_status = 0


async def forget_history(store: FleetStore) -> None:
    store.compact_history()
    store.put("disks/disk-d", DISKS["a"].pack())


async def end_leases(store: FleetStore) -> None:
    store.remove_keys_of_leases(set(store.leases) | {1, 2, 3})
    store.leases.clear()


async def write_invalid(store: FleetStore) -> None:
    rows = [b"\xc1", b"x", msgpack.packb([1]), msgpack.packb(("h", "d", "ip", 0))]
    for value in rows:
        store.put("disks/disk-a", value)
        store.put("disks/disk-x", value)


@pytest.mark.parametrize(
    "disturb", [reject_calls, forget_history, end_leases, write_invalid]
)
async def test_turn_on_an_unreachable_disk_is_said_not_to_exist(disturb):
    async with running_list() as (disk_list, kv, store):
        await add_all(disk_list)
        await disturb(store)
        store.put("disks/disk-z", attrs.evolve(DISKS["a"], port=9).pack())
        await wait_until(lambda: "disk-z" in disk_list.disks)
        for disk in DISKS.values():
            assert disk_list.disks[disk.disk_id] == disk
        assert "disk-x" not in disk_list.disks
        assert set(await disk_list.read()) == set(disk_list.disks)


@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"lose_write_responses": 2},
        {"delayed_writes": 2, "write_delay_ms": 30.0},
        {"delayed_writes": 2, "write_delay_ms": 1_500.0},
    ],
    ids=["answered", "answers lost", "applied late", "applied after the next attempt"],
)
async def test_unknown_turns_are_refused_after_a_disk_was_emptied(faults):
    async with running_list() as (disk_list, kv, store):
        await add_all(disk_list)
        for name, value in faults.items():
            setattr(store.faults, name, value)
        assert await disk_list.remove("disk-a")
        assert await disk_list.remove("disk-a")
        assert listed_ids(store) == {"disk-b", "disk-c"}
        await wait_until(lambda: set(disk_list.disks) == {"disk-b", "disk-c"})
        assert set(await disk_list.read()) == {"disk-b", "disk-c"}
        await asyncio.sleep(faults.get("write_delay_ms", 0.0) / 1000)
        await end_leases(store)
        assert set(await disk_list.read()) == {"disk-b", "disk-c"}


async def test_late_registration_lists_a_disk_that_was_removed():
    async with running_list() as (disk_list, kv, store):
        store.faults.delayed_writes = 2
        store.faults.write_delay_ms = 2_500.0
        await disk_list.add(DISKS["a"])
        assert await disk_list.remove("disk-a")
        await asyncio.sleep(2.5)
        assert listed_ids(store) == set()
        assert await disk_list.read() == {}


async def test_disk_that_was_never_listed_is_listed_after_its_removal():
    async with running_list() as (disk_list, kv, store):
        store.faults.delayed_writes = 2
        store.faults.write_delay_ms = 2_000.0
        adding = asyncio.create_task(disk_list.add(DISKS["a"]))
        await wait_until(lambda: not store.faults.delayed_writes)
        assert await disk_list.remove("disk-a")
        await adding
        await asyncio.sleep(2.0)
        assert listed_ids(store) == set()


async def test_disk_that_was_registered_again_is_removed_by_an_old_decision():
    async with running_list() as (disk_list, kv, store):
        await add_all(disk_list)
        store.faults.suppress_watch_events = True
        moved = attrs.evolve(DISKS["a"], port=9)
        store.put("disks/disk-a", moved.pack())
        assert not await disk_list.remove("disk-a")
        assert (await disk_list.read())["disk-a"] == moved
