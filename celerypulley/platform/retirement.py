"""The operator's request to drain a storage host, and the status of that drain."""

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

_WATCH_WAIT_MS = 20_000  # at most 30 s are allowed; a request arrives at once
_RETRY_DELAY_S = 0.3
_REQUEST_PREFIX = "op/retire/"
_STATUS_PREFIX = "status/retire/"
_log = DecisionLog("retirement")


async def follow_retirement(
    host: str,
    store: KeyValueStore,
    drain: Callable[[], Awaitable[None]],
    clock: Clock,
) -> None:
    """Call `drain` once the operator retires `host`, and report the status.

    The status key of `host` is "running" before the call and "done" after it.
    """
    requested = asyncio.Event()

    def on_change(item: Item) -> None:
        if item.key == _REQUEST_PREFIX + host and item.value is not None:
            requested.set()

    def on_snapshot(items: tuple[Item, ...]) -> None:
        for item in items:
            on_change(item)

    follower = PrefixFollower(
        "retire", store, _REQUEST_PREFIX, _WATCH_WAIT_MS, clock, on_snapshot, on_change
    )
    await follower.start()
    try:
        await requested.wait()
        await _write_status(host, store, "running")
        await drain()
        await _write_status(host, store, "done")
    finally:
        await follower.stop()


async def _write_status(host: str, store: KeyValueStore, state: str) -> None:
    value = orjson.dumps({"state": state})
    while True:
        try:
            await store.write([Write(_STATUS_PREFIX + host, value)])
        except StoreUnavailableError as error:
            _log.write("status not written", str(error), state=state)
            await asyncio.sleep(_RETRY_DELAY_S)
            continue
        _log.write("status written", "the operator retired this host", state=state)
        return
