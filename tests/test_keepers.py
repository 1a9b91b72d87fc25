"""Turn records on disks: torn files, lost disks, keepers that leave or say nothing."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import attrs
import pytest

from celerypulley.clock import Clock
from celerypulley.hosts.fleet_members import HOST, FleetMember, FleetMembers
from celerypulley.hosts.record_store import RecordStore, TurnRecord
from celerypulley.hosts.storage_host import StorageHost
from celerypulley.hosts.storage_host_pool import StorageHostPool
from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.links.key_value import StoreUnavailableError
from celerypulley.links.storage_messages import RecordsNotStored
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore
from celerypulley.storage.record_journal import RecordJournal
from tests.fleet import make_settings, running_store
from tests.harness import free_address, wait_until

RETENTION_MS = 60_000.0


def record(
    number: int, previous: int = 0, retention_ms: float = RETENTION_MS
) -> TurnRecord:
    """Return the record of a turn that goes on from another."""
    return TurnRecord(
        f"turns/o/{number}",
        Clock().wall_ms() + retention_ms,
        f"turns/o/{previous}" if previous else "",
        b"in %d " % number,
        b"out %d\n" % number,
    )


@pytest.mark.parametrize(
    ("damage", "left"),
    [
        (lambda raw: raw, 3),
        (lambda raw: raw[:-1], 2),
        (lambda raw: raw + b"\x07\x00", 3),
        (lambda raw: raw[:-5] + b"\xff" + raw[-4:], 2),
        (lambda raw: raw[: len(raw) // 2], 1),
        (lambda raw: b"", 0),
    ],
    ids=["whole", "a byte short", "a torn head", "a bad byte", "half", "empty"],
)
async def test_synced_records_before_a_torn_write_are_read(tmp_path, damage, left):
    shelf = RecordStore(RecordJournal(tmp_path), Clock())
    for number in range(1, 4):
        await shelf.write([record(number)])
    (path,) = tmp_path.glob("*.records")
    path.write_bytes(damage(path.read_bytes()))
    again = RecordStore(RecordJournal(tmp_path), Clock())
    assert len(again.records) == left
    await again.write([record(9)])
    third = RecordStore(RecordJournal(tmp_path), Clock())
    assert set(third.records) == {*again.records, "turns/o/9"}


async def test_one_sync_serves_all_waiting_writes(tmp_path):
    shelf = RecordStore(RecordJournal(tmp_path), Clock())
    await asyncio.gather(*(shelf.write([record(number)]) for number in range(50)))
    assert len(shelf.records) == 50
    assert shelf.syncs <= 3


async def test_older_turns_are_kept_as_long_as_their_chain(tmp_path):
    shelf = RecordStore(RecordJournal(tmp_path), Clock())
    await shelf.write([record(1, retention_ms=-1.0), record(3, retention_ms=-1.0)])
    await shelf.write([record(2, previous=1)])
    shelf._last_expiry_ms = float("-inf")
    await shelf.write([record(4)])
    assert set(shelf.records) == {"turns/o/1", "turns/o/2", "turns/o/4"}
    chain = shelf.chain("turns/o/2", True)
    assert chain.parts == [[b"in 1 ", b"out 1\n"], [b"in 2 ", b"out 2\n"]]
    assert chain.missing == ""


@attrs.define(eq=False)
class StorageFleet:
    """Keepers in three domains, and a host's archive over them."""

    store: FleetStore
    address: str
    folder: Path
    storage_hosts: dict[str, StorageHost]
    archive: TurnArchive
    pool: StorageHostPool
    members: FleetMembers
    sessions: list
    histories: dict[int, bytes] = attrs.Factory(dict)

    async def start(self, name: str, first: bool = False) -> StorageHost:
        """Start a keeper in the domain that its name ends with."""
        session = aiohttp.ClientSession()
        self.sessions.append(session)
        client = PlatformStore(self.address, session, 500.0)
        settings = make_settings(
            name,
            self.address,
            domain=name[-1],
            fleet_port=free_address().port,
            data_dir=self.folder / name,
            is_first_start=first,
        )
        keeper = StorageHost(settings, client, Clock())
        await keeper.start()
        self.storage_hosts[name] = keeper
        return keeper

    async def stop(self, name: str, wipe: bool = False) -> None:
        """Stop a keeper; with `wipe` its disk is lost."""
        await self.storage_hosts.pop(name).stop()
        if wipe:
            for path in (self.folder / name).iterdir():
                path.unlink()

    async def wait_for_members(self) -> None:
        """Wait until the host knows the keepers at their addresses."""

        def ports() -> dict[str, int]:
            return {each.name: each.port for each in self.members.others.values()}

        wanted = {k: v.settings.fleet_port for k, v in self.storage_hosts.items()}
        await wait_until(lambda: wanted.items() <= ports().items(), "the keepers")

    async def save(self, number: int, previous: int = 0) -> None:
        """Keep a turn."""
        row = record(number, previous)
        history = self.histories.get(previous, b"") + row.input + row.output
        self.histories[number] = history
        await self.archive.save(
            CompletedTurn(
                "o",
                str(number),
                str(previous) if previous else "",
                row.input,
                row.output,
                history,
                RETENTION_MS,
            )
        )

    async def load(self, number: int) -> bytes | None:
        """Read a turn as another host would, without this host's memory."""
        fresh = TurnArchive(self.archive.store, self.pool, Clock())
        return await fresh.load("o", str(number))

    def holders(self, number: int) -> set[str]:
        """Return the keepers that have a record."""
        key = f"turns/o/{number}"
        return {
            k for k, v in self.storage_hosts.items() if key in v.record_store.records
        }


@asynccontextmanager
async def running_storage(folder: Path) -> AsyncIterator[StorageFleet]:
    """Run three keepers and one host's archive."""
    async with running_store() as (store, address):
        session = aiohttp.ClientSession()
        client = PlatformStore(address, session, 500.0)
        me = FleetMember("host", HOST, "a", "127.0.0.1", 1)
        members = FleetMembers(me, client, Clock())
        await members.follower.start()
        pool = StorageHostPool(members, "a", 2, Clock())
        archive = TurnArchive(client, pool, Clock())
        disks = StorageFleet(
            store, address, folder, {}, archive, pool, members, [session]
        )
        try:
            for name in ("keeper-a", "keeper-b", "keeper-c"):
                await disks.start(name, first=True)
            await disks.wait_for_members()
            yield disks
        finally:
            pool.close()
            for name in list(disks.storage_hosts):
                await disks.stop(name)
            await members.follower.stop()
            for each in disks.sessions:
                await each.close()


async def test_turn_is_stored_in_two_domains_without_the_store(tmp_path):
    async with running_storage(tmp_path) as disks:
        calls = [call for call in disks.store.request_paths if call == "/kv-txn"]
        await disks.save(1)
        await disks.save(2, previous=1)
        assert len(disks.holders(1)) >= 2
        assert await disks.load(2) == b"in 1 out 1\nin 2 out 2\n"
        assert [
            call for call in disks.store.request_paths if call == "/kv-txn"
        ] == calls
        assert await disks.load(7) is None


@pytest.mark.parametrize("lost", ["keeper-a", "keeper-b", "keeper-c"])
async def test_turns_survive_the_loss_of_one_disk_then_another(tmp_path, lost):
    async with running_storage(tmp_path) as disks:
        for number in range(1, 9):
            await disks.save(number, previous=number - 1)
        await disks.stop(lost, wipe=True)
        await disks.start(lost)
        await disks.wait_for_members()
        await wait_until(lambda: disks.storage_hosts[lost].record_service.is_complete)
        second = "keeper-b" if lost != "keeper-b" else "keeper-c"
        await disks.stop(second, wipe=True)
        await disks.start(second)
        await disks.wait_for_members()
        expected = b"".join(b"in %d out %d\n" % (n, n) for n in range(1, 9))
        assert await disks.load(8) == expected


async def test_wiped_disk_does_not_confirm_that_a_turn_is_missing(tmp_path):
    async with running_storage(tmp_path) as disks:
        await disks.stop("keeper-b")
        await disks.stop("keeper-c")
        await disks.stop("keeper-a", wipe=True)
        await disks.start("keeper-a")
        await disks.wait_for_members()
        assert not disks.storage_hosts["keeper-a"].record_service.is_complete
        with pytest.raises(StoreUnavailableError):
            await disks.load(1)


async def test_turn_is_written_to_the_store_without_storage_hosts(tmp_path):
    async with running_storage(tmp_path) as disks:
        await disks.save(1)
        await disks.stop("keeper-b")
        await disks.stop("keeper-c")
        await disks.save(2, previous=1)
        assert disks.store.value("turns/o/2") is not None
        assert await disks.load(2) == b"in 1 out 1\nin 2 out 2\n"


# The client sends the call once more by itself where a kept connection ends.
@pytest.mark.parametrize("lost_answers", [0, 2])
async def test_drained_storage_host_hands_over_its_turns(tmp_path, lost_answers):
    async with running_storage(tmp_path) as disks:
        for number in range(1, 6):
            await disks.save(number)
        leaving = disks.storage_hosts["keeper-a"]
        disks.store.faults.lose_revoke_responses = lost_answers
        emptying = asyncio.create_task(leaving.record_service.drain())
        await wait_until(emptying.done)
        await emptying
        await wait_until(lambda: "keeper-a" not in disks.members.others)
        await disks.save(6)
        assert disks.holders(6) == {"keeper-b", "keeper-c"}
        await disks.stop("keeper-a", wipe=True)
        for number in range(1, 7):
            assert disks.holders(number) == {"keeper-b", "keeper-c"}


@pytest.mark.parametrize(
    ("silent", "holder"), [("keeper-a", "keeper-b"), ("keeper-b", "keeper-c")]
)
async def test_turn_is_found_despite_an_unresponsive_storage_host(
    tmp_path, silent, holder
):
    async with running_storage(tmp_path) as disks:
        await disks.storage_hosts[holder].record_store.write([record(1)])
        release = asyncio.Event()

        async def say_nothing(_question: object) -> object:
            await release.wait()
            return RecordsNotStored("too late")

        disks.storage_hosts[silent].server.handle = say_nothing
        assert (await disks.pool.find_chain("turns/o/1")).found
        assert silent not in disks.pool._backoff_until_ms
        await wait_until(lambda: silent in disks.pool._backoff_until_ms)
        release.set()
