"""Turn records on disks: torn writes, lost disks, draining and unresponsive hosts."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import attrs
import pytest

from celerypulley.fleet.disk_list import DiskList
from celerypulley.fleet.fleet_members import HOST, FleetMember, FleetMembers
from celerypulley.hosts import record_store as record_store_module
from celerypulley.hosts.fleet_host import FleetHost
from celerypulley.hosts.record_store import RecordStore
from celerypulley.hosts.storage_host import StorageHost
from celerypulley.hosts.storage_host_pool import StorageHostPool
from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.links.key_value import StoreUnavailableError
from celerypulley.links.storage_messages import (
    RecordsNotStored,
    RecordsStored,
    StoreRecords,
)
from celerypulley.platform.roles import PLATFORM_SCHEMA
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore
from celerypulley.storage.record_journal import RecordJournal
from celerypulley.storage.turn_records import TurnRecord
from tests.fleet import make_settings, running_store
from tests.harness import free_address, run_clock, wait_until

RETENTION_MS = 60_000.0


def record(
    number: int, previous: int = 0, retention_ms: float = RETENTION_MS
) -> TurnRecord:
    """Return the record of a turn that continues another."""
    return TurnRecord(
        f"turns/o/{number}",
        run_clock().wall_ms() + retention_ms,
        f"turns/o/{previous}" if previous else "",
        b"in %d " % number,
        b"out %d\n" % number,
    )


@pytest.mark.parametrize(
    ("damage", "records_left"),
    [
        (lambda raw: raw, 3),
        (lambda raw: raw[:-1], 2),
        (lambda raw: raw + b"\x07\x00", 3),
        (lambda raw: raw[:-5] + b"\xff" + raw[-4:], 2),
        (lambda raw: raw[: len(raw) // 2], 1),
        (lambda raw: b"", 0),
    ],
    ids=["whole", "a byte short", "a torn header", "a wrong byte", "half", "empty"],
)
async def test_synced_records_before_a_torn_write_are_read(
    tmp_path, damage, records_left
):
    record_store = RecordStore(RecordJournal(tmp_path), run_clock())
    for number in range(1, 4):
        await record_store.write([record(number)])
    (path,) = tmp_path.glob("*.records")
    path.write_bytes(damage(path.read_bytes()))
    reopened = RecordStore(RecordJournal(tmp_path), run_clock())
    assert len(reopened.records) == records_left
    await reopened.write([record(9)])
    reopened_again = RecordStore(RecordJournal(tmp_path), run_clock())
    assert set(reopened_again.records) == {*reopened.records, "turns/o/9"}


@pytest.mark.parametrize(
    ("memory_bytes", "kept_count", "has_room"),
    [(3 * 1_024 + 30, 2, True), (3 * 1_024, 0, False), (100_000, 3, True)],
    ids=["two contents", "entries only", "all"],
)
async def test_record_that_memory_has_no_room_for_is_lost(
    tmp_path, memory_bytes, kept_count, has_room
):
    def open_store() -> RecordStore:
        return RecordStore(RecordJournal(tmp_path), run_clock(), memory_bytes)

    record_store = open_store()
    for number in range(1, 4):
        await record_store.write([record(number, previous=number - 1)])
    for each in (record_store, open_store()):
        contents = [stored.content for stored in each.records.values()]
        assert sum(content is not None for content in contents) == kept_count
        assert each.has_room() is has_room
        parts = [[b"in %d " % number, b"out %d\n" % number] for number in range(1, 4)]
        assert each.chain("turns/o/3", True).parts == parts
        assert len(each.page("", True).records) == 3


async def test_records_behind_a_write_that_failed_are_lost(tmp_path, monkeypatch):
    record_store = RecordStore(RecordJournal(tmp_path), run_clock(), 0)
    await record_store.write([record(1)])
    write = os.write

    def write_half(descriptor: int, data: memoryview) -> int:
        write(descriptor, data[: len(data) // 2])
        raise OSError("no space is left on the disk")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_half)
        with pytest.raises(OSError, match="no space"):
            await record_store.write([record(2)])
    await record_store.write([record(3)])
    reopened = RecordStore(RecordJournal(tmp_path), run_clock())
    for each in (record_store, reopened):
        assert set(each.records) == {"turns/o/1", "turns/o/3"}
        assert each.chain("turns/o/3", True).parts == [[b"in 3 ", b"out 3\n"]]


async def test_one_sync_serves_all_waiting_writes(tmp_path):
    record_store = RecordStore(RecordJournal(tmp_path), run_clock())
    await asyncio.gather(
        *(record_store.write([record(number)]) for number in range(50))
    )
    assert len(record_store.records) == 50
    assert record_store.syncs <= 3


async def test_older_turns_are_kept_as_long_as_their_chain(tmp_path):
    record_store = RecordStore(RecordJournal(tmp_path), run_clock())
    await record_store.write(
        [record(1, retention_ms=-1.0), record(3, retention_ms=-1.0)]
    )
    await record_store.write([record(2, previous=1)])
    record_store._last_expiry_ms = float("-inf")
    await record_store.write([record(4)])
    assert set(record_store.records) == {"turns/o/1", "turns/o/2", "turns/o/4"}
    chain = record_store.chain("turns/o/2", True)
    assert chain.parts == [[b"in 1 ", b"out 1\n"], [b"in 2 ", b"out 2\n"]]
    assert chain.missing == ""


@attrs.define(eq=False)
class StorageFleet:
    """Storage hosts in three domains, and a host's archive on them."""

    store: FleetStore
    address: str
    folder: Path
    storage_hosts: dict[str, StorageHost]
    archive: TurnArchive
    pool: StorageHostPool
    members: FleetMembers
    disk_list: DiskList
    sessions: list
    histories: dict[int, bytes] = attrs.Factory(dict)

    async def start(self, name: str, is_first_start: bool = False) -> StorageHost:
        """Start a storage host in the domain that its name ends with."""
        session = aiohttp.ClientSession()
        self.sessions.append(session)
        client = PlatformStore(self.address, session, 500.0)
        settings = make_settings(
            name,
            self.address,
            domain=name[-1],
            fleet_port=free_address().port,
            data_dir=self.folder / name,
            is_first_start=is_first_start,
        )
        storage_host = StorageHost(settings, client, run_clock())
        await storage_host.start()
        self.storage_hosts[name] = storage_host
        return storage_host

    async def stop(self, name: str, wipe: bool = False) -> None:
        """Stop a storage host; with `wipe`, delete its files."""
        await self.storage_hosts.pop(name).stop()
        if wipe:
            for path in (self.folder / name).iterdir():
                path.unlink()

    async def wait_for_members(self) -> None:
        """Wait until the host knows the storage hosts and disks at their ports."""

        def member_ports() -> dict[str, int]:
            return {each.name: each.port for each in self.members.others.values()}

        def disk_ports() -> set[tuple[str, int]]:
            return {(each.host, each.port) for each in self.disk_list.disks.values()}

        expected = {k: v.settings.fleet_port for k, v in self.storage_hosts.items()}
        await wait_until(
            lambda: expected.items() <= member_ports().items(), "the storage hosts"
        )
        await wait_until(lambda: expected.items() <= disk_ports(), "their disks")
        await wait_until(
            lambda: all(each.is_listed() for each in self.storage_hosts.values())
        )

    async def save(self, number: int, previous: int = 0) -> None:
        """Store a turn."""
        saved = record(number, previous)
        prompt = self.histories.get(previous, b"") + saved.input
        self.histories[number] = prompt + saved.output
        await self.archive.save(
            CompletedTurn(
                "o",
                str(number),
                str(previous) if previous else "",
                saved.input,
                saved.output,
                prompt,
                RETENTION_MS,
            )
        )

    async def load(self, number: int) -> bytes | None:
        """Read a turn through a new archive, without cached histories."""
        archive = TurnArchive(self.archive.store, self.pool, run_clock())
        return await archive.load("o", str(number))

    def address_of(self, name: str) -> tuple[str, int]:
        """Return the address of a storage host."""
        return "127.0.0.1", self.storage_hosts[name].settings.fleet_port

    def disk(self, domain: str) -> str:
        """Return the identity of the disk of a domain's storage host."""
        return self.storage_hosts[f"keeper-{domain}"].disk.disk_id

    def drop_records(self, number: int) -> None:
        """Drop a turn's record on all storage hosts, as if it wasn't written there."""
        for storage_host in self.storage_hosts.values():
            storage_host.record_store.records.pop(f"turns/o/{number}", None)

    def holders(self, number: int) -> set[str]:
        """Return the names of the storage hosts that hold a turn's record."""
        key = f"turns/o/{number}"
        return {
            k for k, v in self.storage_hosts.items() if key in v.record_store.records
        }


@asynccontextmanager
async def running_storage(folder: Path) -> AsyncIterator[StorageFleet]:
    """Run three storage hosts and one host's archive."""
    async with running_store() as (store, address):
        session = aiohttp.ClientSession()
        client = PlatformStore(address, session, 500.0)
        own_member = FleetMember("host", HOST, "a", "127.0.0.1", 1)
        members = FleetMembers(own_member, client, run_clock())
        await members.follower.start()
        disk_list = DiskList(client, run_clock())
        await disk_list.follower.start()
        pool = StorageHostPool(members, disk_list, "a", 2, run_clock())
        archive = TurnArchive(client, pool, run_clock())
        storage = StorageFleet(
            store, address, folder, {}, archive, pool, members, disk_list, [session]
        )
        try:
            for name in ("keeper-a", "keeper-b", "keeper-c"):
                await storage.start(name, is_first_start=True)
            await storage.wait_for_members()
            yield storage
        finally:
            pool.close()
            for name in list(storage.storage_hosts):
                await storage.stop(name)
            await members.follower.stop()
            await disk_list.follower.stop()
            for each in storage.sessions:
                await each.close()


@pytest.mark.parametrize("reply_bytes", [1, 40, 10_000])
async def test_long_chain_is_cut_short(tmp_path, monkeypatch, reply_bytes):
    monkeypatch.setattr(record_store_module, "_CHAIN_BYTES", reply_bytes)
    async with running_storage(tmp_path) as storage:
        for number in range(1, 9):
            await storage.save(number, previous=number - 1)
        assert await storage.load(8) == storage.histories[8]


async def test_turn_is_lost_where_storage_hosts_have_no_memory_for_records(tmp_path):
    async with running_storage(tmp_path) as storage:
        for host in storage.storage_hosts.values():
            host.record_store.memory_bytes = 0
        await storage.save(1)
        assert not storage.holders(1)
        assert await storage.load(1) == b"in 1 out 1\n"


async def test_turn_is_stored_in_two_domains_without_the_store(tmp_path):
    async with running_storage(tmp_path) as storage:
        calls = [call for call in storage.store.request_paths if call == "/kv-txn"]
        await storage.save(1)
        await storage.save(2, previous=1)
        assert len(storage.holders(1)) >= 2
        assert await storage.load(2) == b"in 1 out 1\nin 2 out 2\n"
        assert [
            call for call in storage.store.request_paths if call == "/kv-txn"
        ] == calls
        assert await storage.load(7) is None


@pytest.mark.parametrize("lost", ["keeper-a", "keeper-b", "keeper-c"])
async def test_turns_survive_the_loss_of_one_disk_then_another(tmp_path, lost):
    async with running_storage(tmp_path) as storage:
        for number in range(1, 9):
            await storage.save(number, previous=number - 1)
        await storage.stop(lost, wipe=True)
        await storage.start(lost)
        await storage.wait_for_members()
        await wait_until(lambda: storage.storage_hosts[lost].record_service.is_complete)
        second = "keeper-b" if lost != "keeper-b" else "keeper-c"
        await storage.stop(second, wipe=True)
        await storage.start(second)
        await storage.wait_for_members()
        expected = b"".join(b"in %d out %d\n" % (n, n) for n in range(1, 9))
        assert await storage.load(8) == expected


async def test_wiped_disk_does_not_confirm_that_a_turn_is_missing(tmp_path):
    async with running_storage(tmp_path) as storage:
        await storage.stop("keeper-b")
        await storage.stop("keeper-c")
        await storage.stop("keeper-a", wipe=True)
        await storage.start("keeper-a")
        await storage.wait_for_members()
        assert not storage.storage_hosts["keeper-a"].record_service.is_complete
        with pytest.raises(StoreUnavailableError):
            await storage.load(1)


async def test_turn_is_written_to_the_store_without_storage_hosts(tmp_path):
    async with running_storage(tmp_path) as storage:
        await storage.save(1)
        await storage.stop("keeper-b")
        await storage.stop("keeper-c")
        await storage.save(2, previous=1)
        assert storage.store.value("turns/o/2") is not None
        assert await storage.load(2) == b"in 1 out 1\nin 2 out 2\n"


# The HTTP client resends a request once if its persistent connection is closed, so
# a single lost response would not be seen.
@pytest.mark.parametrize("lost_responses", [0, 2])
async def test_drained_storage_host_hands_over_its_turns(tmp_path, lost_responses):
    async with running_storage(tmp_path) as storage:
        for number in range(1, 6):
            await storage.save(number)
        drained = storage.storage_hosts["keeper-a"]
        storage.store.faults.lose_revoke_responses = lost_responses
        drain = asyncio.create_task(drained.record_service.drain())
        await wait_until(drain.done)
        await drain
        await wait_until(lambda: "keeper-a" not in storage.members.others)
        await wait_until(lambda: len(storage.disk_list.disks) == 2)
        assert await storage.load(99) is None
        await storage.save(6)
        assert storage.holders(6) == {"keeper-b", "keeper-c"}
        await storage.stop("keeper-a", wipe=True)
        for number in range(1, 7):
            assert storage.holders(number) == {"keeper-b", "keeper-c"}


@pytest.mark.parametrize(
    ("unresponsive", "holder"), [("keeper-a", "keeper-b"), ("keeper-b", "keeper-c")]
)
async def test_turn_is_found_despite_an_unresponsive_storage_host(
    tmp_path, unresponsive, holder
):
    async with running_storage(tmp_path) as storage:
        await storage.storage_hosts[holder].record_store.write([record(1)])
        release = asyncio.Event()

        async def delay_reply(_request: object) -> object:
            await release.wait()
            return RecordsNotStored("too late")

        storage.storage_hosts[unresponsive].server.handle = delay_reply
        address = storage.address_of(unresponsive)
        assert (await storage.pool.find_chain("turns/o/1")).found
        assert address not in storage.pool._backoff_until_ms
        await wait_until(lambda: address in storage.pool._backoff_until_ms)
        release.set()


@pytest.mark.parametrize("is_running", [True, False], ids=["running", "stopped"])
@pytest.mark.parametrize(
    "expired", [("keeper-a", "keeper-b"), ("keeper-b", "keeper-c"), ("keeper-c",)]
)
async def test_turn_on_disks_whose_lease_has_ended_is_answered_404(
    tmp_path, expired, is_running
):
    async with running_storage(tmp_path) as storage:
        for number in range(1, 9):
            await storage.save(number)
        for name in expired:
            storage.storage_hosts[name].members._is_deregistering = True
            storage.store.remove(f"members/{name}")
            if not is_running:
                await storage.stop(name)
        await wait_until(lambda: not set(expired) & set(storage.members.others))
        assert len(storage.disk_list.disks) == 3
        stored = {number: storage.holders(number) for number in range(1, 9)}
        for number, holders in stored.items():
            if holders:
                assert await storage.load(number) == storage.histories[number]
                continue
            with pytest.raises(StoreUnavailableError):
                await storage.load(number)
        if is_running:
            assert await storage.load(99) is None
            return
        with pytest.raises(StoreUnavailableError):
            await storage.load(99)
        for name in expired:
            await storage.start(name)
        await storage.wait_for_members()
        assert len(storage.disk_list.disks) == 3
        for number in stored:
            assert await storage.load(number) == storage.histories[number]
        assert await storage.load(99) is None


@pytest.mark.parametrize("unresponsive", ["keeper-a", "keeper-b", "keeper-c"])
async def test_turn_in_the_store_waits_for_an_unresponsive_disk(tmp_path, unresponsive):
    async with running_storage(tmp_path) as storage:
        await storage.stop("keeper-b")
        await storage.stop("keeper-c")
        await storage.save(1)
        await storage.start("keeper-b")
        await storage.start("keeper-c")
        await storage.wait_for_members()
        release = asyncio.Event()
        storage.drop_records(1)

        async def delay_reply(_request: object) -> object:
            await release.wait()
            return RecordsNotStored("too late")

        storage.storage_hosts[unresponsive].server.handle = delay_reply
        address = storage.address_of(unresponsive)
        storage.pool._backoff_until_ms.clear()
        assert await storage.load(1) == b"in 1 out 1\n"
        assert address not in storage.pool._backoff_until_ms
        with pytest.raises(StoreUnavailableError):
            await storage.load(99)
        assert address in storage.pool._backoff_until_ms
        assert storage.pool.count_unresponsive() == 1
        release.set()


async def test_turn_on_a_disk_that_the_host_has_not_heard_of_is_answered_404(tmp_path):
    async with running_storage(tmp_path) as storage:
        assert await storage.load(1) is None
        storage.store.faults.suppress_watch_events = True
        await storage.start("keeper-d")
        await wait_until(lambda: storage.store.value("disks/" + storage.disk("d")))
        with pytest.raises(StoreUnavailableError):
            await storage.load(1)


async def test_record_is_accepted_by_a_disk_that_hosts_do_not_search(tmp_path):
    async with running_storage(tmp_path) as storage:
        storage.store.faults.error_status = 503
        await storage.start("keeper-d")
        handle = storage.storage_hosts["keeper-d"].server.handle
        request = StoreRecords([record(1).to_row()])
        assert isinstance(await handle(request), RecordsNotStored)
        assert storage.holders(1) == set()
        storage.store.faults.error_status = 0
        await storage.wait_for_members()
        assert isinstance(await handle(request), RecordsStored)
        storage.store.remove("disks/" + storage.disk("d"))
        await wait_until(lambda: len(storage.disk_list.disks) == 3)
        await storage.wait_for_members()
        assert storage.holders(1) == {"keeper-d"}
        assert await storage.load(1) == b"in 1 out 1\n"


@pytest.mark.parametrize(
    ("damage", "is_same_disk"),
    [
        (lambda folder: None, True),
        (lambda folder: (folder / "complete").unlink(), True),
        (lambda folder: (folder / "disk-id").unlink(), False),
        (lambda folder: (folder / "disk-id").write_bytes(b""), False),
        (lambda folder: (folder / "disk-id").write_bytes(b"\xff" * 16), False),
    ],
    ids=["intact", "incomplete", "without identity", "empty", "other bytes"],
)
def test_turn_on_a_lost_disk_is_said_not_to_exist_by_its_successor(
    tmp_path, damage, is_same_disk
):
    disk_id = RecordJournal(tmp_path).disk_id()
    RecordJournal(tmp_path).mark_complete()
    damage(tmp_path)
    later_id = RecordJournal(tmp_path).disk_id()
    assert (later_id == disk_id) is is_same_disk
    assert RecordJournal(tmp_path).disk_id() == later_id
    other = tmp_path / "other"
    other.mkdir()
    assert RecordJournal(other).disk_id() not in (disk_id, later_id)


async def test_disks_known_to_a_host_are_no_metric(tmp_path):
    async with running_storage(tmp_path) as storage:
        settings = make_settings("host", storage.address, has_storage_hosts=True)
        host = FleetHost(settings, storage.archive.store, PLATFORM_SCHEMA, run_clock())
        await host.disk_list.follower.start()
        await wait_until(lambda: "celerypulley_disks_known 3" in host.metrics.text())
        assert "celerypulley_disks_unresponsive 0" in host.metrics.text()
        await host.disk_list.follower.stop()
        _, text = storage.storage_hosts["keeper-a"]._metrics_response()
        assert "celerypulley_keeper_disks_known 3" in text
        assert "celerypulley_keeper_is_listed 1" in text
