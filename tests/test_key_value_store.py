"""The contract of the key-value store, through the platform's client."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from celerypulley.links.key_value import (
    ConditionFailedError,
    HistoryExpiredError,
    Item,
    KeyValueStore,
    LeaseExpiredError,
    StoreUnavailableError,
    Write,
)
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, StoreFaults
from tests.fleet import running_store
from tests.harness import wait_until


@asynccontextmanager
async def running_client() -> AsyncIterator[tuple[KeyValueStore, FleetStore]]:
    """Run the stand-in of the store; yield a client and the stand-in."""
    async with running_store() as (store, address), aiohttp.ClientSession() as session:
        yield PlatformStore(address, session, 300.0), store


@pytest.mark.parametrize(
    ("before", "expected", "is_written"),
    [
        ([], None, True),
        ([], 0, True),
        ([], 7, False),
        (["old"], None, True),
        (["old"], 0, False),
        (["old"], 2, True),
        (["old", "newer"], 2, False),
        (["old", "newer"], 3, True),
    ],
)
async def test_write_succeeds_only_at_the_expected_revision(
    before, expected, is_written
):
    async with running_client() as (kv, store):
        for value in before:
            store.put("a/key", value.encode())
        write = Write("a/key", b"new", expected)
        if is_written:
            revision = await kv.write([write, Write("a/other", b"too")])
            assert await kv.read("a/key") == Item("a/key", b"new", revision)
            assert (await kv.read("a/other")).revision == revision
            return
        with pytest.raises(ConditionFailedError) as failed:
            await kv.write([write, Write("a/other", b"too")])
        assert {k: i.value for k, i in failed.value.items.items()} == (
            {"a/key": before[-1].encode()} if before else {}
        )
        assert await kv.read("a/other") is None


async def test_prefix_is_read_over_pages_and_watched_from_there():
    async with running_client() as (kv, store):
        for number in range(1_203):
            store.put(f"p/{number:05}", b"%d" % number)
        store.put("q/1", b"not below p")
        batch = await kv.read_prefix("p/")
        assert [int(item.value) for item in batch.items] == list(range(1_203))
        store.put("p/00003", b"changed")
        store.remove("p/00004")
        changes = await kv.watch("p/", batch.revision, 1_000)
        assert [(item.key, item.value) for item in changes.items] == [
            ("p/00003", b"changed"),
            ("p/00004", None),
        ]
        no_changes = await kv.watch("p/", changes.revision, 30)
        assert no_changes.items == ()


async def test_watch_returns_changes_and_reports_expired_history():
    async with running_client() as (kv, store):
        waiting = asyncio.create_task(kv.watch("p/", store.revision, 5_000))
        await wait_until(lambda: "/kv-watch" in store.request_paths)
        store.put("p/1", b"now")
        assert [item.value for item in (await waiting).items] == [b"now"]
        store.put("p/1", b"later")
        store.compact_history()
        with pytest.raises(HistoryExpiredError):
            await kv.watch("p/", 1, 30)


async def test_ended_lease_removes_its_keys():
    async with running_client() as (kv, store):
        lease = await kv.grant_lease(5_000)
        await kv.write([Write("m/1", b"here", lease=lease), Write("m/2", b"stays")])
        await kv.end_lease(lease)
        assert await kv.read("m/1") is None
        assert await kv.read("m/2") is not None
        await kv.end_lease(lease)
        with pytest.raises(LeaseExpiredError):
            await kv.renew_lease(lease)


async def test_expired_lease_cannot_be_renewed_or_used():
    async with running_client() as (kv, store):
        lease = await kv.grant_lease(5_000)
        await kv.write([Write("m/1", b"here", lease=lease)])
        await kv.renew_lease(lease)
        store.leases.clear()
        with pytest.raises(LeaseExpiredError):
            await kv.renew_lease(lease)
        with pytest.raises(LeaseExpiredError):
            await kv.write([Write("m/2", b"here", lease=lease)])


@pytest.mark.parametrize(
    ("faults", "may_have_run", "is_done"),
    [
        (StoreFaults(error_status=503), False, False),
        (StoreFaults(error_status=429), False, False),
        (StoreFaults(hang=True), True, False),
        (StoreFaults(lose_write_responses=1), True, True),
        (StoreFaults(delayed_writes=1), True, True),
    ],
    ids=["503", "429", "no response", "response lost", "write delayed"],
)
async def test_failed_write_reports_whether_it_may_have_run(
    faults, may_have_run, is_done
):
    async with running_client() as (kv, store):
        store.faults = faults
        with pytest.raises(StoreUnavailableError) as failed:
            await kv.write([Write("a", b"1")])
        assert failed.value.may_have_run is may_have_run
        if is_done:
            await wait_until(lambda: store.value("a") == b"1")
        else:
            assert store.value("a") is None


async def test_refused_connection_means_that_nothing_ran():
    async with aiohttp.ClientSession() as session:
        kv = PlatformStore("127.0.0.1:1", session, 300.0)
        with pytest.raises(StoreUnavailableError) as failed:
            await kv.write([Write("a", b"1")])
        assert not failed.value.may_have_run
