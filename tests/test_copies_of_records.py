"""Copies of turn records once a host is replaced, retired or has lost its disk."""

import asyncio
import time

import attrs
import pytest

from celerypulley.links.storage_messages import RecordsNotStored
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


async def write(storage: StorageFleet, number: int, names: tuple[str, ...]) -> None:
    """Write a record to some storage hosts."""
    for name in names:
        await storage.storage_hosts[name].record_store.write([record(number)])


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


COPIED = SourceCase()
COPYING = SourceCase(is_copied=False, was_complete=False)
FAILED = SourceCase(is_copied=False, was_complete=False, has_failed=True)
INCOMPLETE = SourceCase(was_complete=False)
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
    ],
)
async def test_turns_of_a_silent_disk_are_elsewhere_only_if_one_is_missing(
    tmp_path, sources, is_whole
):
    async with running_storage(tmp_path) as storage:
        copier = storage.storage_hosts["keeper-a"].record_service.copier
        copier._sources = dict(enumerate(sources))
        copier._is_superseded = lambda source: source.is_superseded
        assert copier._has_every_record() == is_whole


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
