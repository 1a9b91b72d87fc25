"""What hosts remember of requests that have ended stays within its share of memory."""

import tracemalloc
from collections.abc import Awaitable, Callable

import attrs
import pytest

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.links.key_value import Item, Write
from celerypulley.links.server_connection import ServerLinks
from celerypulley.platform.desired_state import decode_server
from tests.fleet import server_entry
from tests.harness import run_clock

_TURNS = 100_000
_SERVERS = 60
_REQUESTS_OF_SERVER = 100
_PARTS = 48


@attrs.define
class _Store:
    """A key-value store that keeps nothing."""

    async def write(self, _writes: list[Write]) -> None:
        """Accept any write."""


async def _save_short_turns() -> TurnArchive:
    archive = TurnArchive(_Store(), None, run_clock())
    for number in range(_TURNS):
        name = f"turn-{number:090d}"
        await archive.save(CompletedTurn("o", name, "", b"i", b"o", b"i", 1_000.0))
    return archive


async def _record_prompts() -> list[EngineState]:
    clock = run_clock()
    directory = ServerDirectory(
        None, "", decode_server, ServerLinks(clock), "a", 2_000.0, clock
    )
    entries = [
        Item(f"s{number}", server_entry(addr=f"127.0.0.1:{number + 1}"), 1, 0)
        for number in range(_SERVERS)
    ]
    directory._on_snapshot(tuple(entries))
    servers = list(directory.servers.values())
    for number, server in enumerate(servers * _REQUESTS_OF_SERVER):
        for part in range(_PARTS):
            name = f"{number * _PARTS + part:032x}"
            server.record_cached(name, 1_000, clock.now_ms())
    return servers


@pytest.mark.parametrize(
    ("remember", "limit_mb"),
    [(_save_short_turns, 12), (_record_prompts, 6)],
    ids=["histories", "prompts"],
)
async def test_memory_of_a_host_grows_with_each_request(
    remember: Callable[[], Awaitable[object]], limit_mb
):
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        remembered = await remember()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert remembered
    assert (after - before) / 2**20 <= limit_mb
