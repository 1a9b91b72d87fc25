"""Conversations that go on for longer than the retention of their first turns."""

import time

import attrs
import pytest

from celerypulley.clock import Clock
from celerypulley.hosts import turn_archive
from celerypulley.hosts.storage_host_pool import StorageHostPool
from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.links.storage_messages import GetChain, StoredChain
from celerypulley.storage import turn_records
from tests.harness import run_clock, wait_until
from tests.test_storage_hosts import StorageFleet, running_storage

RETENTION_MS = 18_000.0
PERIOD_MS = 5_000.0
TURNS = 60


@attrs.define
class Conversation:
    """A line of turns, which other hosts continue from one turn to the next."""

    storage: StorageFleet
    skipped_ms: float = 0.0
    history: bytes = b""
    last: str = ""
    turns: int = 0
    pools: list[StorageHostPool] = attrs.Factory(list)

    def clock(self) -> Clock:
        monotonic = run_clock().read_monotonic_ns
        return Clock(
            monotonic, lambda: time.time_ns() + round(self.skipped_ms * 1_000_000)
        )

    def archive(self) -> TurnArchive:
        """Return the archive of a host of another domain, with nothing in memory."""
        pool = StorageHostPool(
            self.storage.members,
            self.storage.disk_list,
            "abc"[self.turns % 3],
            2,
            run_clock(),
        )
        self.pools.append(pool)
        return TurnArchive(self.storage.archive.store, pool, self.clock())

    def close(self) -> None:
        """Close the connections of all archives."""
        while self.pools:
            self.pools.pop().close()

    async def load(self) -> bytes | None:
        """Return the history as a host without memory of it reads it."""
        history = await self.archive().load("o", self.last)
        self.close()
        return history

    async def take_turn(self, turn_input: bytes = b"in ") -> None:
        """Take a turn `PERIOD_MS` after the last one; expired records are dropped."""
        self.skipped_ms += PERIOD_MS
        for host in self.storage.storage_hosts.values():
            host.record_store.clock = self.clock()
            host.record_store._last_expiry_ms = float("-inf")
            host.record_store._drop_expired()
        self.close()
        archive = self.archive()
        if self.last:
            assert await archive.load("o", self.last) == self.history
        self.turns += 1
        name = f"turn-{self.turns}"
        prompt = self.history + turn_input
        output = b"out %d\n" % self.turns
        await archive.save(
            CompletedTurn(
                "o", name, self.last, turn_input, output, prompt, RETENTION_MS
            )
        )
        self.history = prompt + output
        self.last = name


async def nothing(_storage: StorageFleet, _turn: int) -> None:
    """Let all storage hosts run."""


async def restart_storage_hosts(storage: StorageFleet, turn: int) -> None:
    """Restart one storage host after the other, so that each reads its disk."""
    if turn % 10 == 5:
        name = f"keeper-{'abc'[turn // 10 % 3]}"
        await storage.stop(name)
        await storage.start(name)
        await storage.wait_for_members()


async def lose_disks(storage: StorageFleet, turn: int) -> None:
    """Lose one disk after the other, each once the last one has been copied to."""
    if turn % 15 == 7:
        name = f"keeper-{'abc'[turn // 15 % 3]}"
        await storage.stop(name, wipe=True)
        host = await storage.start(name)
        await storage.wait_for_members()
        await wait_until(lambda: host.record_service.is_complete)


@pytest.mark.parametrize("trouble", [nothing, restart_storage_hosts, lose_disks])
async def test_first_turns_expire_while_the_conversation_goes_on(tmp_path, trouble):
    """Guards against chains whose earlier turns are kept for their own retention."""
    async with running_storage(tmp_path) as storage:
        conversation = Conversation(storage)
        for turn in range(TURNS):
            await trouble(storage, turn)
            await conversation.take_turn()
        conversation.skipped_ms += RETENTION_MS - PERIOD_MS
        assert await conversation.load() == conversation.history


async def test_branches_of_one_turn_keep_their_own_histories(tmp_path):
    async with running_storage(tmp_path) as storage:
        trunk = Conversation(storage)
        for _ in range(3):
            await trunk.take_turn()
        branches = [attrs.evolve(trunk, turns=1_000 * each) for each in (1, 2)]
        for _ in range(TURNS // 2):
            for branch in branches:
                await branch.take_turn()
        for branch in branches:
            assert await branch.load() == branch.history
        assert branches[0].history != branches[1].history


async def test_history_is_written_with_each_turn(tmp_path):
    """Most turns write their own input and output, not all that was said before."""
    async with running_storage(tmp_path) as storage:
        conversation = Conversation(storage)
        records: set[tuple[str, str]] = set()
        for _ in range(TURNS):
            await conversation.take_turn()
            for host in storage.storage_hosts.values():
                records |= {
                    (k, v.previous) for k, v in host.record_store.records.items()
                }
        rewritten = sum(not previous for _, previous in records)
        assert len(records) == TURNS
        assert rewritten <= 2 + TURNS * PERIOD_MS / turn_records._CHAIN_MS


async def test_long_history_is_stored_in_parts(tmp_path, monkeypatch):
    """Guards against records that are longer than a disk's journal reads again."""
    monkeypatch.setattr(turn_records, "_MAX_RECORD_BYTES", 100)
    async with running_storage(tmp_path) as storage:
        conversation = Conversation(storage)
        for _ in range(TURNS // 2):
            await conversation.take_turn(b"a longer input than the others ")
        assert await conversation.load() == conversation.history
        sizes = [
            stored.place.length_bytes
            for host in storage.storage_hosts.values()
            for stored in host.record_store.records.values()
        ]
        assert max(sizes) < 300


async def test_history_that_left_the_memory_of_its_host_is_stored_again(
    tmp_path, monkeypatch
):
    """The host that saves a turn may not know any more how long its chain is kept."""
    async with running_storage(tmp_path) as storage:
        conversation = Conversation(storage)
        await conversation.take_turn()
        monkeypatch.setattr(turn_archive, "_CACHE_BYTES", 0)
        await conversation.take_turn()
        for host in storage.storage_hosts.values():
            host.record_store.records.pop("turns/o/turn-1", None)
        assert await conversation.load() == conversation.history


async def test_earlier_versions_get_the_reply_that_they_know(tmp_path):
    async with running_storage(tmp_path) as storage:
        conversation = Conversation(storage)
        await conversation.take_turn()
        for host in storage.storage_hosts.values():
            reply = await host.record_service.handle(GetChain("turns/o/turn-1"))
            assert isinstance(reply, StoredChain)
