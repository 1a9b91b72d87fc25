"""Links and followers that peers or the store could end, or drive in a loop."""

import asyncio

import pytest

from celerypulley.links.cuts import CutTable
from celerypulley.links.frame_stream import LinkConditions
from celerypulley.links.key_value import HistoryExpiredError, WatchBatch
from celerypulley.links.peer_link import PeerIdentity, PeerLink
from celerypulley.links.peer_server import PeerServer
from celerypulley.links.prefix_follower import PrefixFollower
from tests.harness import free_address, run_clock, wait_until


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


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _close_after_bytes(writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x01")
    await writer.drain()
    writer.close()


async def _reset(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _send_nonsense(writer: asyncio.StreamWriter) -> None:
    writer.write(b"\xff" * 64)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize(
    "respond", [_close, _close_after_bytes, _reset, _send_nonsense]
)
async def test_link_ends_with_a_connection_that_breaks_in_its_handshake(respond):
    """The next connection to the same peer succeeds."""
    address = free_address()
    conditions = LinkConditions(CutTable())
    accepted = []

    async def accept(_reader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer)
        await respond(writer)

    broken = await asyncio.start_server(accept, address.ip, address.port)
    link = PeerLink(PeerIdentity("a", "x", "s"), "b", address, conditions)
    async with link:
        await wait_until(lambda: accepted)
        broken.close()
        await broken.wait_closed()
        server = PeerServer(PeerIdentity("b", "x", "s"), address, conditions, None)
        async with server:
            await wait_until(lambda: link.is_connected)


async def test_stopped_server_leaves_accepted_connections_open():
    """Their tasks end, so that none is cancelled with a traceback at the exit."""
    address = free_address()
    conditions = LinkConditions(CutTable())
    server = PeerServer(PeerIdentity("b", "x", "s"), address, conditions, None)
    link = PeerLink(PeerIdentity("a", "x", "s"), "b", address, conditions)
    reported = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: reported.append(context)
    )
    tasks_before = asyncio.all_tasks()
    async with link:
        async with server:
            await wait_until(lambda: link.is_connected)
            silent, writer = await asyncio.open_connection(address.ip, address.port)
        await wait_until(lambda: not link.is_connected)
        # A peer that has not sent its greeting is closed as well.
        await asyncio.wait_for(silent.read(), 5.0)
        writer.close()
    await asyncio.sleep(0.05)
    left = asyncio.all_tasks() - tasks_before
    assert [task for task in left if "_serve_connection" in repr(task)] == []
    assert reported == []
