"""Channels to the store that go silent without a reset, while new ones work."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest

from celerypulley.backend_servers.entry_retention import EntryRetention
from celerypulley.links.key_value import KeyValueStore
from celerypulley.platform.store import PlatformStore
from celerypulley.settings import Address
from celerypulley.stand_ins.fleet_store import FleetStore
from celerypulley.stand_ins.silencing_proxy import SilencingProxy
from tests.fleet import Fleet, desired_state, running_fleet, running_store
from tests.harness import free_address, wait_until

_CHANNELS = 6
_TIMEOUT_MS = 1_000.0
_KEY = "kept/key"


@asynccontextmanager
async def _client_behind_proxy() -> AsyncIterator[tuple]:
    """Yield a client with a kept channel, the store, and the proxy between them."""
    async with (
        running_store() as (store, address),
        SilencingProxy(free_address(), Address.parse(address)) as proxy,
        aiohttp.ClientSession() as session,
    ):
        store.put(_KEY, b"value")
        client = PlatformStore(str(proxy.address), session, _TIMEOUT_MS)
        await client.read(_KEY)
        yield client, store, proxy
        await client.close()


@asynccontextmanager
async def _silenced_client() -> AsyncIterator[tuple[PlatformStore, FleetStore]]:
    """Yield a client all of whose kept channels have gone silent, and the store."""
    async with _client_behind_proxy() as (client, store, proxy):
        await asyncio.gather(*(client.read(_KEY) for _ in range(_CHANNELS)))
        assert proxy.silence_open() == _CHANNELS
        yield client, store


async def _read(client: KeyValueStore) -> object:
    item = await client.read(_KEY)
    return item.value if item else None


async def _read_prefix(client: KeyValueStore) -> object:
    batch = await client.read_prefix("kept/")
    return batch.items[0].value


async def _watch(client: KeyValueStore) -> object:
    batch = await client.watch("kept/", 0, 1)
    return batch.items[0].value


@pytest.mark.parametrize("call", [_read, _read_prefix, _watch])
@pytest.mark.parametrize("together", [1, _CHANNELS])
async def test_read_on_a_silent_channel_is_sent_again(
    call: Callable[[KeyValueStore], Awaitable[object]], together: int
):
    """Guards against calls that try the lost channels of the pool in turn."""
    async with _silenced_client() as (client, _store):
        for _ in range(2):
            results = await asyncio.gather(*(call(client) for _ in range(together)))
            assert results == [b"value"] * together
        assert client.session.renewals == 1


async def test_pending_watch_is_sent_again_once_a_channel_is_found_silent():
    """Guards against changes that hosts learn of only at the end of a long watch."""
    async with _client_behind_proxy() as (client, store, proxy):
        watch = asyncio.create_task(client.watch("kept/", store.revision, 5_000))
        await wait_until(lambda: store.watch_waits_ms)
        proxy.silence_open()
        store.put(_KEY, b"changed")
        await client.read(_KEY)
        assert (await watch).items[0].value == b"changed"


async def test_write_on_a_silent_channel_is_not_sent_again():
    """The store may have done it; the calls that follow use new channels."""
    async with _silenced_client() as (client, store):
        before = store.request_paths.count("/kv-lease")
        results = await asyncio.gather(
            client.grant_lease(1_000), _read(client), return_exceptions=True
        )
        assert results[1] == b"value"
        assert getattr(results[0], "may_have_run", False)
        assert store.request_paths.count("/kv-lease") == before
        assert await client.grant_lease(1_000)


@pytest.mark.parametrize("delay_ms", [400.0, 700.0])
async def test_channels_of_a_slow_store_are_kept(delay_ms):
    """Guards against calls that are sent again and again to a store that is slow."""
    async with running_store() as (store, address), aiohttp.ClientSession() as session:
        client = PlatformStore(address, session, _TIMEOUT_MS)
        await client.read(_KEY)
        store.faults.delay_ms = delay_ms
        for _ in range(3):
            await client.read(_KEY)
        assert client.session.renewals == 0
        await client.close()


@asynccontextmanager
async def _fleet_behind_proxy(**settings: object) -> AsyncIterator[tuple]:
    async with running_fleet(hosts=0, servers=2, **settings) as fleet:
        store_address = Address.parse(fleet.store_address)
        async with SilencingProxy(free_address(), store_address) as proxy:
            fleet.store_address = str(proxy.address)
            await fleet.start_host()
            await fleet.wait_until_ready()
            yield fleet, proxy


async def test_server_that_is_removed_after_a_silence_is_dropped_at_once():
    """Guards against requests to a server that is gone, sent by a host in touch."""
    async with _fleet_behind_proxy(server_check_in_ms=60_000.0) as (fleet, proxy):
        directory = fleet.hosts[0].directory
        assert proxy.silence_open() > 0
        revision = fleet.store.remove("servers/server-0")
        follower = directory.follower
        await wait_until(lambda: follower.last_change_revision >= revision)
        assert list(directory.servers) == ["server-1"]


async def test_version_is_read_at_once_however_many_channels_were_lost(monkeypatch):
    """Guards against requests to the old service, sent by a host in touch."""
    failures = []
    async with _fleet_behind_proxy() as (fleet, proxy):
        host = fleet.hosts[0]
        monkeypatch.setattr(
            host.desired_state.confirmer, "_record_failure", failures.append
        )
        await asyncio.gather(*(host.store.read(_KEY) for _ in range(_CHANNELS)))
        assert proxy.silence_open() >= _CHANNELS
        fleet.put_state(desired_state(version=2))
        await wait_until(lambda: host.desired_state.version == 2)
    assert len(failures) <= 1


async def test_entry_that_lapses_in_an_outage_is_retained():
    """Its server writes it again soon after the store's return."""
    async with running_fleet(servers=2, server_check_in_ms=300.0) as fleet:
        directory = fleet.hosts[0].directory
        fleet.store.faults.error_status = 503
        await wait_until(lambda: directory.follower.is_store_unavailable)
        await _lapse(fleet, "servers/server-0")
        assert (await fleet.call("/safe/x")).status == 200
        assert sorted(directory.servers) == ["server-0", "server-1"]
        fleet.register(fleet.servers[0])
        await wait_until(lambda: not directory._retained)
        assert sorted(directory.servers) == ["server-0", "server-1"]


async def _lapse(fleet: Fleet, key: str) -> None:
    """End an entry's lease, and let the hosts see that the store is back."""
    directory = fleet.hosts[0].directory
    revision = fleet.store.remove(key)
    fleet.store.faults.error_status = 0
    await wait_until(lambda: directory.follower.last_change_revision >= revision)


_CHECK_IN_MS = 1_200.0


@pytest.mark.parametrize(
    ("confirmations", "now_ms", "is_retained"),
    [
        pytest.param([], 9_000, False, id="never available"),
        pytest.param([0, 1_500], 1_500, False, id="polled regularly"),
        pytest.param([0, 1_500, 3_300], 3_300, False, id="silent channel"),
        pytest.param([0, 1_500], 3_300, False, id="not confirmed for 1.8 s"),
        pytest.param([0, 1_500], 3_600, True, id="not confirmed for 2.1 s"),
        pytest.param([0, 1_500, 3_600], 3_600, True, id="store came back"),
        pytest.param([0, 3_000, 4_500], 4_999, True, id="2 s after its return"),
        pytest.param([0, 3_000, 4_500], 5_000, False, id="later"),
        pytest.param([0, 3_000, 6_000], 7_000, True, id="second outage"),
        pytest.param([0, 2_000, 1_000], 2_000, False, id="late answer of a peer"),
    ],
)
def test_removed_entry_is_retained_only_where_it_may_have_lapsed(
    confirmations, now_ms, is_retained
):
    """Guards against a lost channel of one host that counts as an outage."""
    retention = EntryRetention(_CHECK_IN_MS)
    for confirmed_ms in confirmations:
        retention.record_confirmation(confirmed_ms, confirmed_ms)
    assert retention.retains(now_ms) == is_retained
