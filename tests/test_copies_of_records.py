"""Copies of turn records once a host is replaced, retired or has lost its disk."""

import asyncio
import time

import attrs
import pytest

from celerypulley.links.storage_messages import (
    FindMissing,
    RecordsNotStored,
    StoreRecords,
)
from tests.harness import wait_until
from tests.test_storage_hosts import StorageFleet, record, running_storage

CATCH_UP_S = 4.5  # the shortest time that sites give a successor


async def refuse_connections(storage: StorageFleet, name: str) -> None:
    """Stop a storage host whose registration stays for a while."""
    await storage.stop(name)


async def hang(storage: StorageFleet, name: str) -> None:
    """Let a storage host accept requests and send no replies."""

    async def never_reply(_request: object) -> object:
        await asyncio.sleep(3_600)
        return RecordsNotStored("too late")

    storage.storage_hosts[name].server.handle = never_reply


async def stop_as_requested(storage: StorageFleet, name: str) -> None:
    """Stop a storage host as the platform does it, with SIGTERM."""
    await storage.storage_hosts[name].record_service.leave(6_000.0)
    await storage.stop(name)


async def write(storage: StorageFleet, number: int, names: tuple[str, ...]) -> None:
    """Write a record to some storage hosts."""
    for name in names:
        await storage.storage_hosts[name].record_store.write([record(number)])


async def wait_for_peers(storage: StorageFleet) -> None:
    """Wait until every storage host has compared its records with all others."""
    others = len(storage.storage_hosts) - 1
    services = [each.record_service for each in storage.storage_hosts.values()]
    await wait_until(
        lambda: all(
            len(each.peers.present()) == others and each.restorer.is_current()
            for each in services
        )
    )


PAIRS = (
    ("keeper-a", "keeper-b"),
    ("keeper-b", "keeper-c"),
    ("keeper-c", "keeper-a"),
)


@pytest.mark.parametrize("gone", [refuse_connections, hang])
@pytest.mark.parametrize("replaced", ["keeper-a", "keeper-c"])
async def test_successor_of_a_lost_host_has_all_turns_in_time(tmp_path, gone, replaced):
    async with running_storage(tmp_path) as storage:
        for number in range(1, 7):
            await write(storage, number, PAIRS[number % 3])
        await gone(storage, replaced)
        started_s = time.monotonic()
        successor = await storage.start(f"new-{replaced}")
        await wait_until(lambda: successor.record_service.is_complete)
        assert time.monotonic() - started_s < CATCH_UP_S
        keys = {f"turns/o/{number}" for number in range(1, 7)}
        assert set(successor.record_store.records) == keys


@attrs.frozen
class SourceCase:
    """One other disk while a successor copies; `is_superseded` is its host's choice."""

    is_copied: bool = True
    was_complete: bool = True
    has_failed: bool = False
    is_superseded: bool = False
    is_covered: bool = False


COPIED = SourceCase()
COPYING = SourceCase(is_copied=False, was_complete=False)
FAILED = SourceCase(is_copied=False, was_complete=False, has_failed=True)
INCOMPLETE = SourceCase(was_complete=False)
COVERED = SourceCase(
    is_copied=False, was_complete=False, has_failed=True, is_covered=True
)
SUPERSEDED = SourceCase(is_copied=False, was_complete=False, is_superseded=True)


@pytest.mark.parametrize(
    ("sources", "is_whole"),
    [
        ([], False),
        ([COPIED, COPIED], True),
        ([COPIED, COPYING], False),
        ([COPIED, FAILED], True),
        ([COPIED, FAILED, FAILED], False),
        ([INCOMPLETE, FAILED], False),
        ([COPIED, INCOMPLETE, FAILED], False),
        ([COPIED, INCOMPLETE], True),
        ([COPIED, SUPERSEDED], True),
        ([COPIED, SUPERSEDED, FAILED], False),
        ([COPIED, INCOMPLETE, SUPERSEDED, SUPERSEDED], True),
        ([COPIED, SUPERSEDED, COVERED], True),
        ([COPIED, FAILED, COVERED], True),
        ([COPIED, COPYING, COVERED], False),
    ],
)
async def test_turns_of_a_silent_disk_are_elsewhere_only_if_one_is_missing(
    tmp_path, sources, is_whole
):
    async with running_storage(tmp_path) as storage:
        copier = storage.storage_hosts["keeper-a"].record_service.copier
        copier._sources = dict(enumerate(sources))
        copier._is_superseded = lambda source: source.is_superseded
        copier._is_covered = lambda source: source.is_covered
        assert copier._has_every_record() == is_whole


async def test_disk_that_was_lost_leaves_the_list_once_its_turns_are_copied(tmp_path):
    async with running_storage(tmp_path) as storage:
        for number in range(1, 7):
            await write(storage, number, PAIRS[number % 3])
        disk_list = storage.storage_hosts["keeper-b"].record_service.peers.disk_list
        await wait_until(lambda: len(disk_list.disks) == 3)
        lost = storage.storage_hosts["keeper-a"].record_service.peers.own_disk.disk_id
        await storage.stop("keeper-a", wipe=True)
        await storage.start("keeper-a")
        await wait_until(lambda: len(disk_list.disks) == 3)
        await wait_until(lambda: lost not in disk_list.disks)
        assert storage.storage_hosts["keeper-a"].record_service.is_complete


async def test_disk_can_be_lost_soon_after_another_host_was_replaced(tmp_path):
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        for number in range(1, 7):
            await write(storage, number, PAIRS[number % 3])
        await storage.stop("keeper-a", wipe=True)
        await storage.start("new-a")
        await asyncio.sleep(CATCH_UP_S)
        started_s = time.monotonic()
        await storage.stop("keeper-b", wipe=True)
        emptied = await storage.start("keeper-b")
        await wait_until(lambda: emptied.record_service.is_complete)
        assert time.monotonic() - started_s < CATCH_UP_S
        keys = {f"turns/o/{number}" for number in range(1, 7)}
        assert set(emptied.record_store.records) == keys


async def test_two_disks_emptied_at_once_become_complete(tmp_path):
    async with running_storage(tmp_path) as storage:
        await write(storage, 1, PAIRS[0])
        await storage.stop("keeper-a", wipe=True)
        await storage.stop("keeper-c", wipe=True)
        await storage.start("keeper-a")
        await storage.start("keeper-c")
        await wait_until(
            lambda: all(
                each.record_service.is_complete
                for each in storage.storage_hosts.values()
            )
        )
        assert storage.holders(1) == {"keeper-a", "keeper-b", "keeper-c"}


@pytest.mark.parametrize("leave", [refuse_connections, hang, stop_as_requested])
async def test_turns_of_a_host_that_left_have_two_copies_in_time(tmp_path, leave):
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        for number in range(1, 31):
            await write(storage, number, PAIRS[number % 3])
        left_s = time.monotonic()
        await leave(storage, "keeper-a")

        def have_two_copies() -> bool:
            return all(
                storage.holders(number) >= {"keeper-b", "keeper-c"}
                for number in range(1, 31)
            )

        await wait_until(have_two_copies)
        assert time.monotonic() - left_s < CATCH_UP_S


async def test_copies_of_two_busy_minutes_take_longer_than_catching_up(tmp_path):
    """A host is absent 2.5 s after its last reply; the pauses are what copying adds."""
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        records = [
            attrs.evolve(record(number), input=b"i" * 1_300, output=b"o" * 200)
            for number in range(7_700)
        ]
        for number, pair in enumerate(PAIRS):
            for name in pair:
                host = storage.storage_hosts[name]
                await host.record_store.write(records[number::3])
        restorer = storage.storage_hosts["keeper-b"].record_service.restorer
        pauses_s = []

        async def record_pause(pause_s: float) -> None:
            pauses_s.append(pause_s)

        restorer.pause = record_pause
        await refuse_connections(storage, "keeper-a")
        copied = storage.storage_hosts["keeper-c"].record_store.records
        await wait_until(lambda: len(copied) == len(records))
        assert sum(pauses_s) < CATCH_UP_S - 2.5


@pytest.mark.parametrize("request_type", [FindMissing, StoreRecords])
async def test_comparison_never_ends_with_a_host_that_fails_now_and_then(
    tmp_path, request_type
):
    """The host fails every third request, and there are three pages of keys or more."""
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        records = [record(number) for number in range(1, 3_501)]
        for name in PAIRS[0]:
            await storage.storage_hosts[name].record_store.write(records)
        server = storage.storage_hosts["keeper-c"].server
        handle = server.handle
        request_count = 0

        async def fail_now_and_then(request: object) -> object:
            nonlocal request_count
            request_count += isinstance(request, request_type)
            if isinstance(request, request_type) and request_count % 3 == 0:
                return RecordsNotStored("this request fails")
            return await handle(request)

        server.handle = fail_now_and_then
        await refuse_connections(storage, "keeper-a")
        restorer = storage.storage_hosts["keeper-b"].record_service.restorer
        await wait_until(lambda: storage.holders(3_500) == {"keeper-b", "keeper-c"})
        await wait_until(restorer.is_current)
        assert restorer.records_with_one_copy == 0
        keys = {each.key for each in records}
        assert set(storage.storage_hosts["keeper-c"].record_store.records) == keys


async def test_restart_within_two_seconds_copies_nothing(tmp_path):
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        for number in range(1, 31):
            await write(storage, number, PAIRS[number % 3])
        await storage.stop("keeper-a")
        await asyncio.sleep(1.5)
        await storage.start("keeper-a")
        await asyncio.sleep(3.0)
        for number in range(1, 31):
            assert storage.holders(number) == set(PAIRS[number % 3])


async def test_host_that_stops_hands_over_turns_without_another_copy(tmp_path):
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        await write(storage, 1, ("keeper-a",))
        await write(storage, 2, ("keeper-a", "keeper-b"))
        await stop_as_requested(storage, "keeper-a")
        assert storage.holders(1)
        assert storage.holders(2) == {"keeper-b"}


async def test_retired_host_does_not_wait_for_one_that_does_not_reply(tmp_path):
    async with running_storage(tmp_path) as storage:
        await storage.start("keeper-d")
        await wait_for_peers(storage)
        for number in range(1, 7):
            await write(storage, number, PAIRS[number % 3])
        await hang(storage, "keeper-c")
        await asyncio.wait_for(
            storage.storage_hosts["keeper-a"].record_service.drain(), 10.0
        )
        for number in range(1, 7):
            if "keeper-a" in PAIRS[number % 3]:
                assert storage.holders(number) >= {"keeper-b", "keeper-d"}


async def test_host_that_was_given_up_comes_back_with_its_disk(tmp_path):
    async with running_storage(tmp_path) as storage:
        await wait_for_peers(storage)
        for number in range(1, 7):
            await write(storage, number, PAIRS[number % 3])
        disk = storage.storage_hosts["keeper-a"].disk
        disk_list = storage.storage_hosts["keeper-b"].disk_list
        await stop_as_requested(storage, "keeper-a")
        await wait_until(lambda: disk.disk_id not in disk_list.disks)
        returned = await storage.start("keeper-a")
        await wait_until(lambda: disk_list.disks.get(disk.disk_id) == returned.disk)
        await wait_for_peers(storage)
        assert returned.record_service.is_complete
        for number in range(1, 7):
            assert storage.holders(number) >= set(PAIRS[number % 3])
