"""Links and followers that peers or the store could end, or drive in a loop."""

import asyncio

from celerypulley.links.key_value import HistoryExpiredError, WatchBatch
from celerypulley.links.prefix_follower import PrefixFollower
from tests.harness import run_clock


class _ForgetfulStore:
    """A store that has dropped the history after each snapshot that it gives."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_prefix(self, _prefix: str) -> WatchBatch:
        self.reads += 1
        return WatchBatch((), 7)

    async def watch(self, _prefix: str, _after: int, _wait_ms: int) -> WatchBatch:
        raise HistoryExpiredError("no history")


async def test_follower_reads_in_a_loop_while_the_store_has_no_history():
    store = _ForgetfulStore()
    follower = PrefixFollower(
        "f", store, "p/", 100, run_clock(), lambda _items: None, lambda _item: None
    )
    async with follower:
        await asyncio.sleep(0.5)
    assert 1 <= store.reads <= 10
