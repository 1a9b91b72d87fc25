"""The program on machines with a disk: it answers requests to empty them.

Nothing that must last lies on these disks, so a machine is empty at once.
"""

import asyncio

import orjson

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.key_value import (
    Item,
    KeyValueStore,
    StoreUnavailableError,
    Write,
)
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["keep_store"]

_WATCH_WAIT_MS = 20_000  # requests come at once; below the longest wait, 30 s
_RETRY_S = 0.3
_RETIRE_PREFIX = "op/retire/"
_STATUS_PREFIX = "status/retire/"
_log = DecisionLog("storekeeper")


async def keep_store(host: str, store: KeyValueStore, clock: Clock) -> None:
    """Say that this machine is empty whenever it is to be retired."""
    asked = asyncio.Event()

    def take(item: Item) -> None:
        if item.key == _RETIRE_PREFIX + host and item.value is not None:
            asked.set()

    def take_all(items: tuple[Item, ...]) -> None:
        for item in items:
            take(item)

    follower = PrefixFollower(
        "retire", store, _RETIRE_PREFIX, _WATCH_WAIT_MS, clock, take_all, take
    )
    await follower.start()
    _log.write("started", "nothing lies on this disk")
    while True:
        await asked.wait()
        asked.clear()
        await _say_done(host, store)


async def _say_done(host: str, store: KeyValueStore) -> None:
    value = orjson.dumps({"state": "done"})
    while True:
        try:
            await store.write([Write(_STATUS_PREFIX + host, value)])
        except StoreUnavailableError as error:
            _log.write("not said yet", str(error))
            await asyncio.sleep(_RETRY_S)
            continue
        _log.write("retired", "nothing lies on this disk")
        return
