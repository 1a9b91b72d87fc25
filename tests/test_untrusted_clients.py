"""Clients outside all limits: hosts stay within memory and descriptors, and serve.

Real processes on loopback addresses, under the smallest machine's limits. Each load and
bound was fixed before the product bounded anything; none judges elapsed time.
"""

import asyncio
import os
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import aiohttp
import attrs
import msgpack
import orjson
import pytest

from celerypulley.links.cuts import CutTable
from celerypulley.links.platform_link import PlatformLink
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ConfigurationStore
from celerypulley.settings import Address
from celerypulley.stand_ins.kv import make_kv_app
from tests.fleet import API_KEY, desired_state, running_store, server_entry
from tests.harness import (
    DOMAINS,
    PEER_SECRET,
    free_address,
    make_declaration,
    run_clock,
    start_app,
)
from tests.test_kept_connections import header_of

_ROOT = Path(__file__).resolve().parent.parent
_MEMORY_MB = 128  # the smallest hosts
_MAX_DESCRIPTORS = 512
# The port for metrics is fixed, so runs beside each other need addresses of their own.
_LOOPBACK_IP = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.9"
_METRICS_PORT = 9464
_READY_S = 30.0
_SEND_S = 10.0  # for clients that the host doesn't read to the end
_ANSWER_S = 60.0  # the time-out only ends a failing test
_LONG_BODY = b"x" * 4_000_000
_HOLD_S = 2.0  # until all clients have been accepted
_SLOW_S = 60.0  # a route that takes longer than the test


@attrs.define(eq=False)
class SlowServer:
    """A server that responds at length on `long` paths and late on `slow` ones."""

    address: Address
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.address.ip, self.address.port
        )

    def stop(self) -> None:
        assert self._server is not None, "the server has not been started"
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(header_of(head, b"Content-Length") or 0))
                line = head.partition(b"\r\n")[0]
                request_id = header_of(head, b"Request-Id")
                if b"/slow" in line:
                    await asyncio.sleep(_SLOW_S)
                body = _LONG_BODY if b"/long" in line else b"{}"
                if b"/resumable/" in line:
                    await _write_events(writer, request_id, body)
                    continue
                writer.write(
                    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (request_id, len(body), body)
                )
                await writer.drain()
        writer.close()


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


@attrs.define(eq=False)
class Target:
    """A process that clients can reach.

    `headers` lets a request pass; `slow` and `long` are paths whose responses are late
    or long, and `stream` one of events. `ordinary` is the method and path of a request
    that gets 200, and `most_lines` what its parser takes as a head. Loads of frames go
    to `frame_address`.
    """

    process: asyncio.subprocess.Process
    address: Address
    headers: dict[str, str]
    slow: str
    long: str
    stream: str
    ordinary: tuple[str, str]
    most_lines: int = 120
    frame_address: Address | None = None
    most_descriptors: int = 0

    def request(self, path: str, extra: bytes = b"", body: bytes = b"") -> bytes:
        """Return the bytes of a request; `extra` are further header lines."""
        lines = [f"{name}: {value}" for name, value in self.headers.items()]
        head = "\r\n".join([f"POST {path} HTTP/1.1", "Request-Id: r", *lines])
        length = b"\r\nContent-Length: %d\r\n" % len(body)
        return head.encode() + length + extra + b"\r\n" + body

    async def is_answered(self, extra: dict[str, str], body: bytes) -> bool:
        """Return whether one ordinary request gets 200."""
        method, path = self.ordinary
        url = f"http://{self.address}{path}"
        timeout = aiohttp.ClientTimeout(total=10.0)
        headers = {"Request-Id": "ordinary", **self.headers, **extra}
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, headers=headers, data=body or None
                ) as response,
            ):
                await response.read()
                return response.status == 200
        return False

    def peak_kb(self) -> int:
        """Return the most memory that the process has had, 0 if it has ended."""
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        return 0

    async def watch_descriptors(self) -> None:
        while True:
            with suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.05)


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


def _frames(_target: Target) -> list[bytes]:
    """Unfinished frames of the storage hosts' protocol."""
    return [msgpack.packb([1, [1, b"x" * 8_000_000]])[:-1]] * 30


def _mix(target: Target) -> list[bytes]:
    return [
        *_short_lines(target)[:60],
        *_unfinished_heads(target)[:40],
        *_pipelined(target)[:6],
        *_slow_readers(target)[50:],
        *_unfinished_bodies(target)[:10],
        *_idle(target)[:300],
    ]


async def _wait_ready(address: Address, path: str) -> None:
    async with asyncio.timeout(_READY_S), aiohttp.ClientSession() as session:
        while True:
            with suppress(aiohttp.ClientError, OSError):
                async with session.get(f"http://{address}{path}") as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


@asynccontextmanager
async def _running_process(
    folder: Path, environment: dict[str, str], *arguments: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    with (folder / "process.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", *arguments),
            env={**os.environ, **environment},
            cwd=_ROOT,
            stdout=log,
            stderr=log,
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def _write_settings(folder: Path, store_address: str, *lines: str) -> dict[str, str]:
    path = folder / "host.conf"
    settings = [
        "nodeName=host-0",
        f"ip={_LOOPBACK_IP}",
        "zone=a",
        f"platform.addr={store_address}",
        f"limits.memoryMb={_MEMORY_MB}",
        f"limits.maxFds={_MAX_DESCRIPTORS}",
        *lines,
    ]
    path.write_text("\n".join(settings) + "\n", encoding="utf-8")
    return {"CELERYPULLEY_CONFIG": str(path)}


@asynccontextmanager
async def _running_edge(folder: Path) -> AsyncIterator[Target]:
    server = SlowServer(free_address())
    await server.start()
    async with running_store() as (store, store_address):
        state = desired_state()
        for route in state["routes"]:
            route["timeoutMs"] = 60_000
        store.put("op/config", orjson.dumps(state))
        entry = server_entry(addr=str(server.address), slots=1_000)
        store.put("servers/s", entry)
        address, ready_address = free_address(), free_address()
        port = free_address().port
        environment = _write_settings(
            folder,
            store_address,
            f"portRange={port},{port}",
            f"listen.front={address}",
            f"listen.readyAddr={ready_address}",
        )
        arguments = ("celerypulley", "platform", "edge")
        async with _running_process(folder, environment, *arguments) as process:
            await _wait_ready(ready_address, "/readyz")
            yield Target(
                process,
                address,
                {"Host": "agents.example", "Api-Key": API_KEY, "Deadline-Ms": "60000"},
                "/unsafe/slow",
                "/safe/long",
                "/resumable/long",
                ("POST", "/safe/x"),
                most_lines=4_000,
            )
    server.stop()


@asynccontextmanager
async def _running_storage_host(folder: Path) -> AsyncIterator[Target]:
    async with running_store() as (_store, store_address):
        frame_address = Address(_LOOPBACK_IP, free_address().port)
        environment = _write_settings(
            folder,
            store_address,
            f"portRange={frame_address.port},{frame_address.port}",
            f"dataDir={folder / 'data'}",
            "bootstrap=true",
        )
        arguments = ("celerypulley", "platform", "store")
        async with _running_process(folder, environment, *arguments) as process:
            address = Address(_LOOPBACK_IP, _METRICS_PORT)
            await _wait_ready(address, "/metrics")
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
async def _running_own_front_end(folder: Path) -> AsyncIterator[Target]:
    # The limits come from CELERYPULLEY_* variables.
    server = SlowServer(free_address())
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
                "CELERYPULLEY_MEMORY_MB": str(_MEMORY_MB),
                "CELERYPULLEY_MAX_DESCRIPTORS": str(_MAX_DESCRIPTORS),
            }
            process = await stack.enter_async_context(
                _running_process(folder, environment, "celerypulley.cli", "serve")
            )
            if number == 0:
                first = process
        await _wait_ready(admin_address, "/readyz")
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


async def _send(address: Address, data: bytes, sockets: list[socket.socket]) -> None:
    """Send bytes on a new connection that is kept open and never read."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sockets.append(client)
    with suppress(OSError):
        await loop.sock_connect(client, (address.ip, address.port))
        await loop.sock_sendall(client, data)


async def _wait_until_answered(target: Target) -> None:
    async with asyncio.timeout(_ANSWER_S):
        while not await target.is_answered({}, b""):
            await asyncio.sleep(0.2)


_EDGE_LOADS = [
    *(_short_lines, _long_lines, _unfinished_heads, _pipelined, _pipelined_small),
    *(_slow_readers, _unfinished_bodies, _idle, _mix),
]
_CASES = [
    *((_running_edge, load) for load in _EDGE_LOADS),
    *((_running_own_front_end, load) for load in _EDGE_LOADS),
    *(
        (_running_storage_host, load)
        for load in (_long_lines, _pipelined_small, _idle, _frames)
    ),
]


@pytest.mark.parametrize(
    ("run_host", "load"),
    _CASES,
    ids=[
        f"{run.__name__.removeprefix('_running_')}-{load.__name__[1:]}"
        for run, load in _CASES
    ],
)
async def test_host_outgrows_its_machine_or_stops_serving(
    run_host, load, tmp_path, capsys
):
    async with run_host(tmp_path) as target:
        await _wait_until_answered(target)
        watch = asyncio.create_task(target.watch_descriptors())
        address = target.frame_address if load is _frames else target.address
        sockets: list[socket.socket] = []
        senders = [
            asyncio.create_task(_send(address, data, sockets)) for data in load(target)
        ]
        try:
            await asyncio.wait(senders, timeout=_SEND_S)
            await asyncio.sleep(_HOLD_S)
            await _wait_until_answered(target)
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
        await _wait_until_answered(target)
        assert target.process.returncode is None
        assert peak_mb <= _MEMORY_MB
        assert target.most_descriptors <= _MAX_DESCRIPTORS


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
    async with _running_edge(tmp_path) as target:
        assert await target.is_answered(headers, body)
        assert target.peak_kb() <= _MEMORY_MB * 1_024
