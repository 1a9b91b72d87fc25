"""The operator's request to empty a machine with a disk, and the answer to it."""

import asyncio
from collections.abc import Awaitable, Callable

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

__all__ = ["follow_retirement"]

_WATCH_WAIT_MS = 20_000  # requests come at once; below the longest wait, 30 s
_RETRY_S = 0.3
_RETIRE_PREFIX = "op/retire/"
_STATUS_PREFIX = "status/retire/"
_log = DecisionLog("retirement")


async def follow_retirement(
    host: str,
    store: KeyValueStore,
    empty: Callable[[], Awaitable[None]],
    clock: Clock,
) -> None:
    """Call `empty` when `host` is to be emptied, and say how far it is."""
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
    try:
        await asked.wait()
        await _say(host, store, "running")
        await empty()
        await _say(host, store, "done")
    finally:
        await follower.stop()


async def _say(host: str, store: KeyValueStore, state: str) -> None:
    value = orjson.dumps({"state": state})
    while True:
        try:
            await store.write([Write(_STATUS_PREFIX + host, value)])
        except StoreUnavailableError as error:
            _log.write("not said yet", str(error), state=state)
            await asyncio.sleep(_RETRY_S)
            continue
        _log.write("said", "the operator asked", state=state)
        return
