"""Crowds of clients on machines of the sizes of the site sheets.

Real processes: an edge that is attacked, and three storage hosts that keep its turns.
Crowds and bounds were fixed before the product was changed; none judges elapsed time.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import cycle, islice
from pathlib import Path

import aiohttp
import attrs
import msgpack
import pytest

from celerypulley.links.codec import encode
from celerypulley.links.storage_messages import GetChain, GetState
from celerypulley.settings import Address
from tests.fleet import running_store
from tests.harness import free_address
from tests.real_hosts import (
    HOLD_S,
    METRICS_PORT,
    SEND_S,
    MachineSize,
    Target,
    loopback_ip,
    peak_mb,
    running_edge,
    running_process,
    send_unread,
    wait_ready,
    wait_until_answered,
    write_settings,
)
from tests.test_kept_connections import header_of

_EDGE = MachineSize(150, 4_100)  # Aguapunto's sheet
_LARGE_EDGE = MachineSize(300, 4_100)  # the sheet of the Dirección
_SMALL_EDGE = MachineSize(128, 4_100)  # of the grown sheets
_LOWERED_EDGE = MachineSize(100, 2_700)  # as many descriptors for each MB as _EDGE
_STORAGE_HOST = MachineSize(170, 8_200)
_DOMAINS = ("a", "b", "c")
_READ_BYTES = 200  # by a slow reader, each second
_SLOW_S = 60.0  # a route that takes longer than the test
_TURN_TIMEOUT_S = 20.0  # only ends a failing test
_PIECES_OF_HISTORY = 10
_SLOTS = 4_000
_PATHS = (
    "/unsafe/slow",
    "/safe/1x4000000",
    "/resumable/100x40000",
    ("POST", "/turns/4x100"),
)
_FILE_DESCRIPTORS = 200  # of a process's descriptors, kept for files by the platform
_MAX_RESPONSE_BYTES = 8_000_000  # that the test reads to its end


# The bytes that come first behind the status line, and those repeated without end.
_ENDLESS: dict[bytes, tuple[bytes, bytes]] = {
    b"line": (b"X: ", b"x" * 10_000),
    b"lines": (b"", b"X: %s\r\n" % (b"x" * 4_000)),
    b"short-lines": (b"", b"X: x\r\n" * 1_000),
    b"chunk": (b"Transfer-Encoding: chunked\r\n\r\n100000000000\r\n", b"x" * 10_000),
    b"body": (b"Content-Length: 900000000000\r\n\r\n", b"x" * 10_000),
    b"tiny-chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 1_000),
    b"stall": (b"X: " + b"x" * 15_000, b""),
}


async def _respond_endlessly(
    writer: asyncio.StreamWriter, start: bytes, kind: bytes
) -> None:
    first, repeated = _ENDLESS[kind]
    writer.write(start + first)
    if not repeated:
        await asyncio.sleep(_SLOW_S)
    while not writer.is_closing():
        writer.write(repeated)
        await writer.drain()


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> None:
    """Respond with `COUNTxBYTES` events if the path says so, late, or without end."""
    path = head.split(b" ", 2)[1]
    if path.endswith(b"/slow"):
        await asyncio.sleep(_SLOW_S)
    await reader.readexactly(int(header_of(head, b"Content-Length") or 0))
    request_id = header_of(head, b"Request-Id")
    start = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n" % request_id
    kind = path.rpartition(b"/endless-")[2]
    if kind in _ENDLESS:
        await _respond_endlessly(writer, start, kind)
        return
    count, _, size = path.rpartition(b"/")[2].partition(b"x")
    if not size:
        writer.write(start + b"Content-Length: 2\r\n\r\n{}")
        return
    writer.write(start + b"Transfer-Encoding: chunked\r\n\r\n")
    for number in range(int(count)):
        event = b"id: %d\ndata: %s\n\n" % (number, b"y" * int(size))
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


@attrs.define(eq=False)
class Deployment:
    """An edge, three storage hosts, and the sockets of the crowd."""

    target: Target
    edge_size: MachineSize
    storage_hosts: list[asyncio.subprocess.Process]
    frame_address: Address
    sockets: list[socket.socket] = attrs.Factory(list)

    def peaks_mb(self) -> list[tuple[float, int]]:
        """Return the peak of each process and the bound on it."""
        edge = (peak_mb(self.target.process), self.edge_size.memory_mb)
        peaks = [peak_mb(each) for each in self.storage_hosts]
        return [edge, *((peak, _STORAGE_HOST.memory_mb) for peak in peaks)]

    def turn(
        self, path: str, name: str, previous: str = "", body: bytes = b"b"
    ) -> bytes:
        """Return the bytes of a turn's request."""
        lines = f"Request-Id: {name}\r\n"
        if previous:
            lines += f"Previous-Turn: {previous}\r\n"
        request = self.target.request(path, lines.encode(), body)
        return request.replace(b"Request-Id: r\r\n", b"")

    async def run_turn(
        self, path: str, name: str, body: bytes, lines: bytes = b""
    ) -> None:
        """Run a turn to its end, so that it can be continued."""
        address = self.target.address
        reader, writer = await asyncio.open_connection(
            address.ip, address.port, limit=_MAX_RESPONSE_BYTES
        )
        request = self.turn(path, name, body=body)
        writer.write(request.replace(b"\r\n\r\n", b"\r\n" + lines + b"\r\n", 1))
        async with asyncio.timeout(_TURN_TIMEOUT_S):
            await reader.readuntil(b"\r\n0\r\n\r\n")
        writer.close()

    async def send_all(self, address: Address, loads: Iterable[bytes]) -> None:
        """Send each load on a connection of its own; none is read."""
        senders = [
            asyncio.create_task(send_unread(address, data, self.sockets))
            for data in loads
        ]
        try:
            await asyncio.wait(senders, timeout=SEND_S)
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)

    async def read_slowly(self) -> None:
        """Read a little of each connection each second."""
        while True:
            for each in self.sockets:
                with suppress(OSError):
                    each.recv(_READ_BYTES)
            await asyncio.sleep(1.0)


Crowd = Callable[[Deployment], Awaitable[None]]


def _clients(count: int, load: Callable[[Deployment, int], bytes]) -> Crowd:
    """Return a crowd of clients of the edge, with the load of each by its number."""

    async def attack(deployment: Deployment) -> None:
        loads = (load(deployment, number) for number in range(count))
        await deployment.send_all(deployment.target.address, loads)

    return attack


def _streams(count: int, path: str) -> Crowd:
    return _clients(count, lambda each, n: each.turn(path, f"stream-{n}"))


def _endless(count: int, kind: str) -> Crowd:
    """Return clients of each kind of route, whose servers all respond without end."""

    def load(deployment: Deployment, number: int) -> bytes:
        route = ("turns", "safe", "unsafe")[number % 3]
        return deployment.turn(f"/{route}/endless-{kind}", f"endless-{number}")

    return _clients(count, load)


def _small_requests(deployment: Deployment, _number: int) -> bytes:
    return deployment.target.request("/unsafe/slow")


def _whole_bodies(deployment: Deployment, _number: int) -> bytes:
    return deployment.target.request("/unsafe/slow", body=b"x" * 100_000)


def _unfinished_bodies(deployment: Deployment, _number: int) -> bytes:
    return deployment.target.request("/unsafe/slow", body=b"x" * 24_000)[:-1]


def _tiny_chunks(deployment: Deployment, _number: int) -> bytes:
    request = deployment.target.request(
        "/unsafe/slow", b"Transfer-Encoding: chunked\r\n"
    )
    return request.replace(b"Content-Length: 0\r\n", b"") + b"1\r\nx\r\n" * 60_000


def _long_extensions(deployment: Deployment, _number: int) -> bytes:
    request = deployment.target.request(
        "/unsafe/slow", b"Transfer-Encoding: chunked\r\n"
    )
    chunk = b"1;e=%s\r\nx\r\n" % (b"e" * 1_000)
    return request.replace(b"Content-Length: 0\r\n", b"") + chunk * 300


def _short_lines(deployment: Deployment, _number: int) -> bytes:
    return deployment.target.request("/unsafe/slow", b"a:\r\n" * 3_800)


def _prefix_lists(deployment: Deployment, _number: int) -> bytes:
    parts = b",".join(b"%x:1" % number for number in range(0x1000, 0x1000 + 2_250))
    return deployment.target.request("/unsafe/slow", b"Prefix-Hash: %s\r\n" % parts)


def _trailers(last_chunk: bytes) -> Callable[[Deployment, int], bytes]:
    def load(deployment: Deployment, _number: int) -> bytes:
        request = deployment.target.request(
            "/unsafe/slow", b"Transfer-Encoding: chunked\r\n"
        )
        body = b"1\r\nx\r\n%s\r\n" % last_chunk + b"a:\r\n" * 3_800
        return request.replace(b"Content-Length: 0\r\n", b"") + body

    return load


def _upgrades(deployment: Deployment, _number: int) -> bytes:
    lines = b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
    return deployment.target.request("/unsafe/slow", lines) + b"x" * 200_000


def _pipelined(deployment: Deployment, _number: int) -> bytes:
    return deployment.target.request("/unsafe/slow") * 500


def _continuations(count: int, turns: int) -> Crowd:
    """Continue `turns` turns of 1 MB each; their responses are not read."""

    async def attack(deployment: Deployment) -> None:
        size = 1_000_000 // _PIECES_OF_HISTORY
        names = [f"first-{number}" for number in range(turns)]
        for name in names:
            await deployment.run_turn(f"/turns/{_PIECES_OF_HISTORY}x{size}", name, b"b")
        loads = (
            deployment.turn("/turns/4x50000", f"next-{number}", name)
            for number, name in enumerate(islice(cycle(names), count))
        )
        await deployment.send_all(deployment.target.address, loads)

    return attack


def _stored_turns(count: int, body_bytes: int) -> Crowd:
    """Run turns one after another, as clients inside all limits do."""

    async def attack(deployment: Deployment) -> None:
        for number in range(count):
            await deployment.run_turn("/turns/1x10", f"t-{number}", b"x" * body_bytes)

    return attack


def _prefix_names(count: int, name_bytes: int) -> Crowd:
    """Run streams whose prompts share no part, ten at a time."""

    async def attack(deployment: Deployment) -> None:
        numbers = iter(range(count))

        async def run_streams() -> None:
            for number in numbers:
                lines = b"Prefix-Hash: %0*x:1\r\n" % (name_bytes, number)
                await deployment.run_turn("/resumable/1x10", f"p-{number}", b"b", lines)

        await asyncio.gather(*(run_streams() for _ in range(10)))

    return attack


def _nested_lists(count: int, lists: int) -> Crowd:
    """Send a storage host frames of which each byte is a list."""

    async def attack(deployment: Deployment) -> None:
        load = msgpack.packb([1, 70, [[]] * lists])
        await deployment.send_all(deployment.frame_address, [load] * count)

    return attack


async def _unfinished_lists(deployment: Deployment) -> None:
    """Begin lists of 16,000 items within each other, none of them complete."""
    load = b"\xdc\x3e\x80" * 500
    await deployment.send_all(deployment.frame_address, [load] * 100)


def _peers(count: int, requests: int) -> Crowd:
    """Ask a storage host for a record of 1 MB, and read no reply."""

    async def attack(deployment: Deployment) -> None:
        size = 1_000_000 // _PIECES_OF_HISTORY
        await deployment.run_turn(f"/turns/{_PIECES_OF_HISTORY}x{size}", "big", b"b")
        load = encode(1, GetChain("turns/kiosks/big")) * requests
        await deployment.send_all(deployment.frame_address, [load] * count)

    return attack


async def _state_requests(deployment: Deployment) -> None:
    load = encode(1, GetState()) * 20_000
    await deployment.send_all(deployment.frame_address, [load] * 200)


async def _mixed(deployment: Deployment) -> None:
    await _continuations(300, 1)(deployment)
    loads = [
        *(deployment.turn("/turns/100x40000", f"stream-{n}") for n in range(300)),
        *(_long_extensions(deployment, n) for n in range(300)),
    ]
    await deployment.send_all(deployment.target.address, loads)


_CROWDS: dict[str, tuple[MachineSize, Crowd]] = {
    "150 long streams": (_EDGE, _streams(150, "/resumable/100x40000")),
    "600 long streams": (_EDGE, _streams(600, "/resumable/100x40000")),
    "1,900 long streams": (_LARGE_EDGE, _streams(1_900, "/resumable/100x40000")),
    "1,900 long streams, small": (_SMALL_EDGE, _streams(1_900, "/turns/100x40000")),
    "1,900 heads, small": (_SMALL_EDGE, _clients(1_900, _short_lines)),
    "60 long streams, lowered": (_LOWERED_EDGE, _streams(60, "/turns/100x40000")),
    "600 short turns": (_EDGE, _streams(600, "/turns/4x50000")),
    "200 short turns, lowered": (_LOWERED_EDGE, _streams(200, "/turns/4x50000")),
    "1,900 small requests": (_EDGE, _clients(1_900, _small_requests)),
    "2,100 small requests": (_LARGE_EDGE, _clients(2_100, _small_requests)),
    "1,900 whole bodies": (_EDGE, _clients(1_900, _whole_bodies)),
    "600 whole bodies, lowered": (_LOWERED_EDGE, _clients(600, _whole_bodies)),
    "1,900 unfinished bodies": (_EDGE, _clients(1_900, _unfinished_bodies)),
    "900 bodies in tiny chunks": (_EDGE, _clients(900, _tiny_chunks)),
    "900 long extensions": (_EDGE, _clients(900, _long_extensions)),
    "900 heads of short lines": (_EDGE, _clients(900, _short_lines)),
    "900 lists of prefixes": (_EDGE, _clients(900, _prefix_lists)),
    "900 trailers": (_EDGE, _clients(900, _trailers(b"0"))),
    "900 trailers, odd zero": (_EDGE, _clients(900, _trailers(b"00;a=b"))),
    "900 upgrades": (_EDGE, _clients(900, _upgrades)),
    "8,000 long names of prefixes": (_EDGE, _prefix_names(8_000, 15_000)),
    "1 frame of lists": (_EDGE, _nested_lists(1, 3_000_000)),
    "100 frames of lists": (_EDGE, _nested_lists(100, 60_000)),
    "100 unfinished lists": (_EDGE, _unfinished_lists),
    "900 pipelines": (_EDGE, _clients(900, _pipelined)),
    "900 continuations": (_EDGE, _continuations(900, 1)),
    "900 continuations of many": (_EDGE, _continuations(900, 40)),
    "900 of each kind": (_EDGE, _mixed),
    "1,200 stored turns": (_EDGE, _stored_turns(1_200, 200_000)),
    "150 unread peers": (_EDGE, _peers(150, 4_000)),
    "1,500 unread peers": (_EDGE, _peers(1_500, 40)),
    "1,000 peers with many requests": (_EDGE, _peers(1_000, 15_000)),
    "200 peers with short requests": (_EDGE, _state_requests),
    "300 endless header lines": (_EDGE, _endless(300, "line")),
    "1,200 endless header lines": (_EDGE, _endless(1_200, "line")),
    "1,200 heads of endless lines": (_EDGE, _endless(1_200, "lines")),
    "900 heads of endless short lines": (_EDGE, _endless(900, "short-lines")),
    "1,200 heads that stop in a line": (_EDGE, _endless(1_200, "stall")),
    "1,200 endless chunks": (_EDGE, _endless(1_200, "chunk")),
    "1,200 endless bodies": (_EDGE, _endless(1_200, "body")),
    "1,200 bodies of endless tiny chunks": (_EDGE, _endless(1_200, "tiny-chunks")),
    "600 endless header lines, small": (_SMALL_EDGE, _endless(600, "line")),
    "600 endless chunks, lowered": (_LOWERED_EDGE, _endless(600, "chunk")),
}


@asynccontextmanager
async def _running_storage_host(
    folder: Path, store_address: str, number: int
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    name, ip = f"storage-{number}", loopback_ip(10 + number)
    address = Address(ip, free_address().port)
    environment = write_settings(
        folder,
        store_address,
        f"portRange={address.port},{address.port}",
        f"dataDir={folder / name}",
        "bootstrap=true",
        size=_STORAGE_HOST,
        name=name,
        ip=ip,
        domain=_DOMAINS[number],
    )
    arguments = ("celerypulley", "platform", "store")
    async with running_process(folder, environment, *arguments) as process:
        await wait_ready(Address(ip, METRICS_PORT), "/metrics")
        yield process, address


@asynccontextmanager
async def _running_deployment(
    folder: Path, edge_size: MachineSize
) -> AsyncIterator[Deployment]:
    async with AsyncExitStack() as stack:
        store, store_address = await stack.enter_async_context(running_store())
        storage_hosts = [
            await stack.enter_async_context(
                _running_storage_host(folder, store_address, number)
            )
            for number in range(len(_DOMAINS))
        ]
        target = await stack.enter_async_context(
            running_edge(
                folder, edge_size, store, store_address, _respond, _SLOTS, _PATHS
            )
        )
        processes = [each for each, _ in storage_hosts]
        yield Deployment(target, edge_size, processes, storage_hosts[0][1])


@pytest.mark.parametrize(("edge_size", "attack"), _CROWDS.values(), ids=_CROWDS)
async def test_crowd_takes_a_process_beyond_its_machine(
    edge_size, attack, tmp_path, capsys
):
    async with _running_deployment(tmp_path, edge_size) as deployment:
        target = deployment.target
        await wait_until_answered(target)
        watch = asyncio.create_task(target.watch_descriptors())
        readers = asyncio.create_task(deployment.read_slowly())
        try:
            await attack(deployment)
            await asyncio.sleep(HOLD_S)
        finally:
            readers.cancel()
            for client in deployment.sockets:
                client.close()
        await wait_until_answered(target)
        watch.cancel()
        peaks_mb = deployment.peaks_mb()
        with capsys.disabled():
            peaks = ", ".join(f"{peak:.0f} of {bound}" for peak, bound in peaks_mb)
            print(f"\npeaks {peaks} MB; {target.most_descriptors} descriptors")
        processes = [target.process, *deployment.storage_hosts]
        assert [each.returncode for each in processes] == [None] * len(processes)
        assert all(0 < peak <= bound for peak, bound in peaks_mb)
        most_descriptors = edge_size.max_descriptors - _FILE_DESCRIPTORS
        assert target.most_descriptors <= most_descriptors


@pytest.mark.parametrize(
    "edge_size", [_SMALL_EDGE, _LOWERED_EDGE], ids=["small", "lowered"]
)
@pytest.mark.parametrize(
    ("path", "events"),
    [
        ("/resumable/5000x200", 5_000),
        ("/turns/5000x200", 5_000),
        ("/turns/4x900000", 4),
    ],
)
async def test_long_stream_is_cut_short_in_calm(edge_size, path, events, tmp_path):
    async with _running_deployment(tmp_path, edge_size) as deployment:
        target = deployment.target
        await wait_until_answered(target)
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{target.address}{path}",
                headers={"Request-Id": "long", **target.headers},
                data=b"b",
            ) as response,
        ):
            body = await response.read()
        assert response.status == 200
        assert body.count(b"data: ") == events
        assert all(peak <= bound for peak, bound in deployment.peaks_mb())
