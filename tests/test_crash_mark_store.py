"""Marks of crashes in the platform's store, which loses calls and is away at times."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
import pytest

from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.crash_mark_store import CRASH_PREFIX, CrashMarkStore
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, StoreFaults
from tests.fleet import running_store
from tests.harness import ManualClock, run_clock, wait_until

LIFE_MS = 600_000.0


@attrs.define(eq=False)
class Stores:
    """The platform's store, and hosts that keep their marks of crashes there."""

    store: FleetStore
    address: str
    session: aiohttp.ClientSession
    clock: ManualClock = attrs.Factory(ManualClock)
    services: list[CrashMarkStore] = attrs.Factory(list)

    async def start_host(self) -> CrashCounts:
        """Start a host, and return its counts before they are restored."""
        counts = CrashCounts(self.clock.clock)
        client = PlatformStore(self.address, self.session, 100.0)
        service = CrashMarkStore(client, counts, self.clock.clock)
        service.wait_to_retry = lambda _pause_s: asyncio.sleep(0.02)
        self.services.append(service)
        await service.start()
        return counts

    async def start_restored_host(self) -> CrashCounts:
        counts = await self.start_host()
        await wait_until(lambda: counts.is_restored)
        return counts

    def mark_keys(self) -> list[str]:
        return [key for key in self.store.entries if key.startswith(CRASH_PREFIX)]

    def write_calls(self) -> int:
        paths = self.store.request_paths
        return sum(not path.startswith("/kv-range") for path in paths)


@asynccontextmanager
async def running_stores() -> AsyncIterator[Stores]:
    async with running_store() as (store, address), aiohttp.ClientSession() as session:
        stores = Stores(store, address, session)
        try:
            yield stores
        finally:
            for service in stores.services:
                await service.stop()


@pytest.mark.parametrize(
    ("crashes", "keys", "calls"), [(1, 0, 0), (2, 2, 2), (3, 3, 4)]
)
async def test_crash_by_itself_costs_calls_of_the_store(crashes, keys, calls):
    """Each write takes a lease; the marks of 200 other requests cost nothing."""
    async with running_stores() as stores:
        counts = await stores.start_restored_host()
        for number in range(200):
            counts.record_crash(f"other-{number}", "server", 1, stores.clock.now_ms, "")
        for start in range(crashes):
            counts.record_crash("f", "server", start, stores.clock.now_ms, "")
            await asyncio.sleep(0.1)
        assert (len(stores.mark_keys()), stores.write_calls()) == (keys, calls)


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(error_status=503),
        StoreFaults(hang=True),
        StoreFaults(lose_write_responses=1),
        StoreFaults(delayed_writes=1),
    ],
    ids=["away", "silent", "response lost", "write delayed"],
)
async def test_crashes_that_the_store_missed_are_forgotten(faults):
    async with running_stores() as stores:
        counts = await stores.start_restored_host()
        stores.store.faults = faults
        for start in range(3):
            counts.record_crash("f", "server", start, stores.clock.now_ms, "")
        await asyncio.sleep(0.2)
        stores.store.faults = StoreFaults()
        await wait_until(lambda: len(stores.mark_keys()) == 3)
        assert (await stores.start_restored_host()).count("f") == 3


@pytest.mark.parametrize("is_away_first", [False, True])
async def test_host_counts_nothing_before_it_has_read_the_store(is_away_first):
    async with running_stores() as stores:
        counts = await stores.start_restored_host()
        for start in range(3):
            counts.record_crash("f", "server", start, stores.clock.now_ms, "")
        await wait_until(lambda: len(stores.mark_keys()) == 3)
        stores.store.faults.error_status = 503 if is_away_first else 0
        started = await stores.start_host()
        assert not started.is_restored
        await asyncio.sleep(0.1)
        assert started.is_restored is not is_away_first
        stores.store.faults.error_status = 0
        await wait_until(lambda: started.is_restored)
        assert started.count("f") == 3


@pytest.mark.parametrize("cleared_on", [0, 1])
@pytest.mark.parametrize("crashes", [2, 3])
async def test_cleared_crashes_come_back_from_the_store(cleared_on, crashes):
    """They are cleared by the host that has stored them, or by one that read them."""
    async with running_stores() as stores:
        hosts = [await stores.start_restored_host()]
        for start in range(crashes):
            hosts[0].record_crash("f", "server", start, stores.clock.now_ms, "")
        await wait_until(lambda: len(stores.mark_keys()) == crashes)
        hosts.append(await stores.start_restored_host())
        stores.clock.advance(1.0)
        hosts[cleared_on].record_whole_run("f")
        await wait_until(lambda: not stores.mark_keys())
        assert (await stores.start_restored_host()).count("f") == 0


@pytest.mark.parametrize(
    ("age_ms", "count"),
    [(0.0, 3), (300_000.0, 3), (LIFE_MS - 1.0, 3), (LIFE_MS, 0), (LIFE_MS + 1.0, 0)],
)
async def test_marks_from_the_store_begin_their_life_again(age_ms, count):
    async with running_stores() as stores:
        counts = await stores.start_restored_host()
        for start in range(3):
            counts.record_crash("f", "server", start, stores.clock.now_ms, "")
        await wait_until(lambda: len(stores.mark_keys()) == 3)
        stores.clock.advance(age_ms)
        started = await stores.start_restored_host()
        assert started.count("f") == count
        stores.clock.advance(LIFE_MS - age_ms + 1.0)  # the store has whole ms
        assert started.count("f") == 0


async def test_stored_marks_outlast_their_lease():
    async with running_stores() as stores:
        counts = await stores.start_restored_host()
        for start in range(3):
            counts.record_crash("f", "server", start, stores.clock.now_ms, "")
        await wait_until(lambda: len(stores.mark_keys()) == 3)
        leases = {stores.store.entries[key].lease_id for key in stores.mark_keys()}
        assert {stores.store.leases[each][0] for each in leases} == {LIFE_MS}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("f", b"1"),
        ("f/", b"1"),
        ("f/zz", b"1"),
        ("f/0102", b"1"),
        ("f/01020304", b"x"),
        ("f/01020304", b""),
        ("f/01020304", b"\xff"),
    ],
)
async def test_odd_mark_in_the_store_keeps_a_host_from_starting(key, value):
    async with running_stores() as stores:
        stores.store.put(CRASH_PREFIX + key, value)
        now_ms = run_clock().wall_ms()
        stores.clock.now_ms = float(now_ms)
        for mark in ("aaaaaaaa", "bbbbbbbb"):
            stores.store.put(f"{CRASH_PREFIX}g/{mark}", b"%d" % now_ms)
        counts = await stores.start_restored_host()
        assert (counts.count("f"), counts.count("g")) == (0, 2)


@pytest.mark.parametrize(
    ("faults", "claims"),
    [
        (StoreFaults(), [1, 1, 1]),
        (StoreFaults(error_status=503), [0, 0, 1]),
        (StoreFaults(lose_write_responses=1), [0, 1, 1]),
    ],
    ids=["sound", "away", "response lost"],
)
async def test_trial_run_is_claimed_by_two_hosts_or_lost_with_a_response(
    faults, claims
):
    """Three hosts claim it at once, three times; the store recovers for the third."""
    async with running_stores() as stores:
        hosts = []
        for _ in range(3):
            counts = await stores.start_restored_host()
            client = PlatformStore(stores.address, stores.session, 100.0)
            hosts.append(CrashTrials(client, counts, stores.clock.clock))
            for start in range(3):
                counts.record_crash("f", "server", start, stores.clock.now_ms, "")
        await wait_until(lambda: len(stores.mark_keys()) == 3)
        stores.clock.advance(5_000.0)
        stores.store.faults = faults
        claimed = []
        for attempt in range(3):
            if attempt == 2:
                stores.store.faults = StoreFaults()
            results = await asyncio.gather(*(host.claim("f") for host in hosts))
            claimed.append(sum(results) + (claimed[-1] if claimed else 0))
            stores.clock.advance(1_000.0)
        assert claimed == claims
