"""Clients outside all limits: hosts stay within memory and descriptors, and serve.

Real processes on loopback addresses, under the smallest machine's limits. Each load and
bound was fixed before the product bounded anything; none judges elapsed time.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import aiohttp
import msgpack
import pytest

from celerypulley.links.cuts import CutTable
from celerypulley.links.platform_link import PlatformLink
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ConfigurationStore
from celerypulley.settings import Address
from celerypulley.stand_ins.kv import make_kv_app
from tests.fleet import running_store
from tests.harness import (
    DOMAINS,
    PEER_SECRET,
    free_address,
    make_declaration,
    run_clock,
    start_app,
)
from tests.real_hosts import (
    HOLD_S,
    METRICS_PORT,
    SEND_S,
    SMALLEST_MACHINE,
    MachineSize,
    ScriptedServer,
    Target,
    loopback_ip,
    running_edge,
    running_process,
    send_unread,
    wait_ready,
    wait_until_answered,
    write_settings,
)
from tests.test_kept_connections import header_of

_LONG_BODY = b"x" * 4_000_000
_SLOTS = 1_000
_SLOW_S = 60.0  # a route that takes longer than the test


async def respond_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> None:
    """Respond at length on `long` paths and late on `slow` ones."""
    await reader.readexactly(int(header_of(head, b"Content-Length") or 0))
    line = head.partition(b"\r\n")[0]
    request_id = header_of(head, b"Request-Id")
    if b"/slow" in line:
        await asyncio.sleep(_SLOW_S)
    body = _LONG_BODY if b"/long" in line else b"{}"
    if b"/resumable/" in line:
        await _write_events(writer, request_id, body)
        return
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (request_id, len(body), body)
    )
    await writer.drain()


async def _write_events(
    writer: asyncio.StreamWriter, request_id: bytes, body: bytes
) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % request_id
    )
    for start in range(0, len(body), 16_000):
        event = b"id: %d\ndata: %s\n\n" % (start, body[start : start + 16_000])
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


Load = Callable[[Target], list[bytes]]


def _short_lines(target: Target) -> list[bytes]:
    """One request each of 15,200 header bytes in lines of four; no end of its body."""
    lines = b"a:\r\n" * min(3_800, target.most_lines)
    return [target.request(target.slow, lines, b"0123456789")[:-1]] * 150


def _long_lines(target: Target) -> list[bytes]:
    """One request each of 800,000 header bytes."""
    lines = b"".join(b"a%d: %s\r\n" % (n, b"x" * 8_000) for n in range(100))
    return [target.request(target.slow, lines, b"0123456789")[:-1]] * 150


def _unfinished_heads(target: Target) -> list[bytes]:
    lines = b"b1:\r\n" * min(3_000, target.most_lines)
    return [target.request(target.slow, lines)[:-2]] * 200


def _pipelined(target: Target) -> list[bytes]:
    lines = b"a:\r\n" * min(3_000, target.most_lines)
    return [target.request(target.slow, lines) * 30] * 12


def _pipelined_small(target: Target) -> list[bytes]:
    return [target.request(target.slow) * 4_000] * 40


def _slow_readers(target: Target) -> list[bytes]:
    return [target.request(target.long)] * 60 + [target.request(target.stream)] * 20


def _unfinished_bodies(target: Target) -> list[bytes]:
    request = target.request(target.slow, body=b"x" * 4_000_000)
    return [request[:-1]] * 40


def _idle(_target: Target) -> list[bytes]:
    return [b""] * 700


def _many_slow_readers(target: Target) -> list[bytes]:
    return [target.request(target.long)] * 340


def _whole_bodies(target: Target) -> list[bytes]:
    return [target.request(target.slow, body=b"x" * 100_000)] * 340


def _frames(_target: Target) -> list[bytes]:
    """Unfinished frames of the storage hosts' protocol."""
    return [msgpack.packb([1, [1, b"x" * 8_000_000]])[:-1]] * 30


def _json_lists(target: Target) -> list[bytes]:
    """One body of four megabytes that consists of empty lists."""
    body = b'{"model":"m","messages":[' + b"[]," * 1_300_000 + b"[]]}"
    return [target.request("/v1/chat/completions", body=body)]


def _mix(target: Target) -> list[bytes]:
    return [
        *_short_lines(target)[:60],
        *_unfinished_heads(target)[:40],
        *_pipelined(target)[:6],
        *_slow_readers(target)[50:],
        *_unfinished_bodies(target)[:10],
        *_idle(target)[:300],
    ]


@asynccontextmanager
async def _running_edge(folder: Path, size: MachineSize) -> AsyncIterator[Target]:
    paths = ("/unsafe/slow", "/safe/long", "/resumable/long", ("POST", "/safe/x"))
    async with (
        running_store() as (store, store_address),
        running_edge(
            folder, size, store, store_address, respond_slowly, _SLOTS, paths
        ) as target,
    ):
        target.most_lines = 4_000
        yield target


@asynccontextmanager
async def _running_storage_host(
    folder: Path, size: MachineSize
) -> AsyncIterator[Target]:
    async with running_store() as (_store, store_address):
        frame_address = Address(loopback_ip(), free_address().port)
        environment = write_settings(
            folder,
            store_address,
            f"portRange={frame_address.port},{frame_address.port}",
            f"dataDir={folder / 'data'}",
            "bootstrap=true",
            size=size,
        )
        arguments = ("celerypulley", "platform", "store")
        async with running_process(folder, environment, *arguments) as process:
            address = Address(loopback_ip(), METRICS_PORT)
            await wait_ready(address, "/metrics")
            page = "/metrics"
            yield Target(
                process,
                address,
                {"Host": "x"},
                page,
                page,
                page,
                ("GET", page),
                frame_address=frame_address,
            )


@asynccontextmanager
async def _running_own_front_end(
    folder: Path, size: MachineSize
) -> AsyncIterator[Target]:
    # The limits come from CELERYPULLEY_* variables.
    server = ScriptedServer(free_address(), respond_slowly)
    await server.start()
    runner, platform_address = await start_app(make_kv_app(run_clock()))
    async with aiohttp.ClientSession() as session:
        link = PlatformLink(f"http://{platform_address}", session, CutTable())
        store = ConfigurationStore(link, run_clock())
        declaration = make_declaration(
            [], server.address, rate_per_s=10_000.0, burst=10_000
        )
        await commands.apply_declaration(store, declaration, "for a test")
        key = (await commands.give_key(store, "kiosk"))[-1]
    # Three hosts, since each shard has a replica in another failure domain.
    addresses = [free_address() for _ in DOMAINS]
    admin_address = free_address()
    async with AsyncExitStack() as stack:
        for number, domain in enumerate(DOMAINS):
            environment = {
                "CELERYPULLEY_HOST_ID": f"h{number}",
                "CELERYPULLEY_DOMAIN": domain,
                "CELERYPULLEY_CALLER_ADDRESS": str(addresses[number]),
                "CELERYPULLEY_ADMIN_ADDRESS": str(
                    free_address() if number else admin_address
                ),
                "CELERYPULLEY_PEER_ADDRESS": str(free_address()),
                "CELERYPULLEY_PLATFORM_ADDRESS": str(platform_address),
                "CELERYPULLEY_PEER_SECRET": PEER_SECRET,
                "CELERYPULLEY_SHARDS_PER_DOMAIN": "2",
                "CELERYPULLEY_MEMORY_MB": str(size.memory_mb),
                "CELERYPULLEY_MAX_DESCRIPTORS": str(size.max_descriptors),
            }
            process = await stack.enter_async_context(
                running_process(folder, environment, "celerypulley.cli", "serve")
            )
            if number == 0:
                first = process
        await wait_ready(admin_address, "/readyz")
        yield Target(
            first,
            addresses[0],
            {"Host": "x", "Authorization": f"Bearer {key}"},
            "/catalogue/slow",
            "/catalogue/long",
            "/catalogue/long",
            ("POST", "/catalogue/x"),
        )
    await runner.cleanup()
    server.stop()


_EDGE_LOADS = [
    *(_short_lines, _long_lines, _unfinished_heads, _pipelined, _pipelined_small),
    *(_slow_readers, _unfinished_bodies, _idle, _mix),
]
# As many descriptors for each MB as `celerypulley serve` has by itself.
_DENSE_MACHINE = MachineSize(128, 1_024)
_CASES = [
    *((_running_edge, load, SMALLEST_MACHINE) for load in _EDGE_LOADS),
    *((_running_own_front_end, load, SMALLEST_MACHINE) for load in _EDGE_LOADS),
    *(
        (_running_own_front_end, load, _DENSE_MACHINE)
        for load in (_many_slow_readers, _whole_bodies)
    ),
    (_running_own_front_end, _json_lists, SMALLEST_MACHINE),
    *(
        (_running_storage_host, load, SMALLEST_MACHINE)
        for load in (_long_lines, _pipelined_small, _idle, _frames)
    ),
]


@pytest.mark.parametrize(
    ("run_host", "load", "size"),
    _CASES,
    ids=[
        f"{run.__name__.removeprefix('_running_')}-{load.__name__[1:]}"
        for run, load, _ in _CASES
    ],
)
async def test_host_outgrows_its_machine_or_stops_serving(
    run_host, load, size, tmp_path, capsys
):
    async with run_host(tmp_path, size) as target:
        await wait_until_answered(target)
        watch = asyncio.create_task(target.watch_descriptors())
        address = target.frame_address if load is _frames else target.address
        sockets: list[socket.socket] = []
        senders = [
            asyncio.create_task(send_unread(address, data, sockets))
            for data in load(target)
        ]
        try:
            await asyncio.wait(senders, timeout=SEND_S)
            await asyncio.sleep(HOLD_S)
            await wait_until_answered(target)
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)
            for client in sockets:
                client.close()
            watch.cancel()
            peak_mb = target.peak_kb() / 1_024
            with capsys.disabled():
                print(
                    f"\n{load.__name__[1:]}: peak {peak_mb:.0f} MB, "
                    f"{target.most_descriptors} descriptors, "
                    f"exit status {target.process.returncode}"
                )
        await wait_until_answered(target)
        assert target.process.returncode is None
        assert peak_mb <= size.memory_mb
        assert target.most_descriptors <= size.max_descriptors


_FOUR_BYTE_LINES = {f"a{number}": "" for number in range(1_000)}


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ({"a": "x" * 16_000}, b""),
        (_FOUR_BYTE_LINES, b""),
        ({f"h{n}": "x" * 1_400 for n in range(11)}, b"x" * 4 * 1024 * 1024),
    ],
    ids=["long line", "many lines", "longest body"],
)
async def test_single_request_inside_the_limits_is_refused(headers, body, tmp_path):
    async with _running_edge(tmp_path, SMALLEST_MACHINE) as target:
        assert await target.is_answered(headers, body)
        assert target.peak_kb() <= SMALLEST_MACHINE.memory_mb * 1_024
