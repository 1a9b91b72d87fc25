"""What hosts remember of requests that have ended stays within its share of memory."""

import tracemalloc
from collections.abc import Awaitable, Callable

import attrs
import pytest

from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.links.key_value import Write
from tests.harness import run_clock

_TURNS = 100_000


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


@pytest.mark.parametrize(
    ("remember", "limit_mb"),
    [(_save_short_turns, 12)],
    ids=["histories"],
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
