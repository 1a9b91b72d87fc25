"""Planned stops of real processes while callers keep using their connections."""

import asyncio
import os
import random
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path

import attrs
import orjson
import pytest

from celerypulley.settings import Address
from tests.fleet import desired_state, running_store, server_entry
from tests.harness import free_address
from tests.test_kept_connections import Caller, header_of, request_bytes

_SEEDS = range(1, 1 + int(os.environ.get("STOP_SEEDS", "1")))
_CALLERS = 8
# The port for metrics is fixed, so runs beside each other need addresses of their own.
_LOOPBACK_BLOCK = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
_READY_S = 15.0
_GRACE_S = 6  # 2.5 s of these for the balancer and 1 s before SIGKILL
_TRAFFIC_S = 7.0  # until the last response to a stop that begins in the first second
_PAUSES_S = [0.0, 0.01, 0.3, 2.5]  # the last until the balancer has left a host
_LOSS_SLACK_S = 0.2  # a request that crosses the close of its connection
_EVENTS = 4
_LONG_BODY = b"x" * 4_000_000
_SLOW_READER_S = 2.0  # longer than connections once got to end
_DEADLINE_MS = b"4000"


@attrs.define(eq=False)
class StutteringServer:
    """A server that pauses, sends responses twice and resets connections, by `random`.

    `seen` are the identifiers of the requests that it read, and `broken` of those that
    it didn't answer whole.
    """

    random: random.Random
    seen: set[bytes] = attrs.Factory(set)
    broken: set[bytes] = attrs.Factory(set)
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Close the listening socket."""
        assert self._server is not None, "the server has not been started"
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(header_of(head, b"Content-Length") or 0))
                request_id = header_of(head, b"Request-Id")
                self.seen.add(request_id)
                await asyncio.sleep(self.random.uniform(0.0, 0.2))
                if self.random.random() < 0.03:
                    self.broken.add(request_id)
                    break
                if b" /turns/" in head.partition(b"\r\n")[0]:
                    await self._stream(request_id, writer)
                    continue
                line = head.partition(b"\r\n")[0]
                body = _LONG_BODY if b" /unsafe/long " in line else request_id
                writer.write(_whole_response(request_id, body))
                if self.random.random() < 0.05:
                    writer.write(_whole_response(request_id, b"a second time"))
        writer.close()

    async def _stream(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % request_id
        )
        for number in range(_EVENTS):
            await asyncio.sleep(self.random.uniform(0.0, 0.55))
            event = b"id: %d\ndata: %s\n\n" % (number, request_id)
            if number == 2 and self.random.random() < 0.03:
                self.broken.add(request_id)
                writer.transport.abort()
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def _whole_response(request_id: bytes, body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n" % request_id
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@attrs.define(eq=False)
class EdgeProcess:
    """A process that serves callers, started as the deploy file says."""

    name: str
    folder: Path
    store_address: str
    caller_address: Address = attrs.Factory(free_address)
    ready_address: Address = attrs.Factory(free_address)
    process: asyncio.subprocess.Process | None = None

    async def start(self, ip: str) -> None:
        """Start the process and wait until it is ready."""
        settings = [
            f"nodeName={self.name}",
            f"ip={ip}",
            "zone=a",
            f"portRange={free_address().port},{free_address().port}",
            f"bounds.graceS={_GRACE_S}",
            f"platform.addr={self.store_address}",
            f"listen.front={self.caller_address}",
            f"listen.readyAddr={self.ready_address}",
        ]
        path = self.folder / f"{self.name}.conf"
        path.write_text("\n".join(settings) + "\n", encoding="utf-8")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "celerypulley", "platform", "edge"),
                env={**os.environ, "CELERYPULLEY_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(_READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        address = self.ready_address
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readuntil(b"\r\n")
            writer.close()
            return b" 200 " in line
        return False

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None, "the process has been started"
        self.process.send_signal(signal_number)


async def _connect(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with little room for what the caller has yet to read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (address.ip, address.port))
    return await asyncio.open_connection(sock=sock)


@attrs.define(eq=False)
class Traffic:
    """Callers that use their connections again, and what they saw."""

    random: random.Random
    server: StutteringServer
    edges: list[EdgeProcess]
    counts: dict[str, int] = attrs.Factory(dict)
    faults: list[tuple] = attrs.Factory(list)

    async def call_until(self, end_s: float, number: int) -> None:
        """Send one request after another until `end_s` of the event loop."""
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < end_s:
            edge = self.edges[self.random.randrange(len(self.edges))]
            address = edge.caller_address
            try:
                streams = await _connect(address)
            except OSError:
                await asyncio.sleep(0.05)  # stopped; the next may be at another host
                continue
            is_open = True
            while is_open and loop.time() < end_s:
                count += 1
                request_id = b"%d-%d" % (number, count)
                is_open = await self._call(Caller(*streams), request_id)
                await asyncio.sleep(self.random.choice(_PAUSES_S))
            streams[1].close()

    async def _call(self, caller: Caller, request_id: bytes) -> bool:
        """Send a request; return whether its connection may carry another."""
        path = self.random.choice(["/safe/x", "/unsafe/x", "/turns/x", "/unsafe/long"])
        request = request_bytes(path, request_id, deadline_ms=_DEADLINE_MS)
        cut = self.random.randrange(len(request))
        caller.writer.write(request[:cut])
        await asyncio.sleep(self.random.choice([0.0, 0.01]))
        sent_s = asyncio.get_running_loop().time()
        caller.writer.write(request[cut:])
        if path == "/unsafe/long" and self.random.random() < 0.5:
            await asyncio.sleep(_SLOW_READER_S)
            sent_s += _SLOW_READER_S  # it may have seen the close only now
        try:
            status, head, body = await caller.read_response()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            took_s = asyncio.get_running_loop().time() - sent_s
            self._judge_closed(request_id, path, took_s, error)
            return False
        whole = _LONG_BODY if path == "/unsafe/long" else request_id
        if path == "/turns/x":
            events = [b"id: %d\ndata: %s\n\n" % (n, request_id) for n in range(_EVENTS)]
            whole = b"".join(events)
        if status == 200 and body != whole:
            self.faults.append((request_id, path, len(body), body[:200]))
        self._count(str(status))
        return header_of(head, b"Connection") != b"close"

    def _judge_closed(
        self, request_id: bytes, path: str, took_s: float, error: Exception
    ) -> None:
        if request_id in self.server.broken:
            self._count("broken by the server")
        elif request_id not in self.server.seen and took_s < _LOSS_SLACK_S:
            self._count("crossed a close")
        else:
            is_seen = request_id in self.server.seen
            self.faults.append((request_id, path, round(took_s, 3), is_seen, error))

    def _count(self, outcome: str) -> None:
        self.counts[outcome] = self.counts.get(outcome, 0) + 1


async def _stop_and_restart(edges: list[EdgeProcess], choose: random.Random) -> None:
    """Stop both hosts, the second while the first drains, and start the first again."""
    first, second = edges
    await asyncio.sleep(choose.uniform(0.1, 0.5))
    for edge in edges:
        edge.send_signal(signal.SIGHUP)
    first.send_signal(signal.SIGTERM)
    await asyncio.sleep(choose.uniform(0.1, 0.5))
    first.send_signal(choose.choice([signal.SIGTERM, signal.SIGHUP]))
    second.send_signal(signal.SIGTERM)
    assert first.process is not None, "the process has been started"
    await first.process.wait()
    await first.start(f"{_LOOPBACK_BLOCK}.0")


@pytest.mark.parametrize("seed", _SEEDS)
async def test_request_of_a_kept_connection_is_lost_at_a_stop(seed, tmp_path, capsys):
    choose = random.Random(seed)
    async with running_store() as (store, store_address):
        server = StutteringServer(random.Random(seed))
        await server.start()
        state = desired_state()
        for route in state["routes"]:
            route["timeoutMs"] = 5_000
        store.put("op/config", orjson.dumps(state))
        store.put("servers/s", server_entry(addr=server.address, slots=64))
        edges = [EdgeProcess(f"edge-{n}", tmp_path, store_address) for n in range(2)]
        try:
            await asyncio.gather(
                *(edge.start(f"{_LOOPBACK_BLOCK}.{n}") for n, edge in enumerate(edges))
            )
            traffic = Traffic(choose, server, edges)
            end_s = asyncio.get_running_loop().time() + _TRAFFIC_S
            await asyncio.gather(
                _stop_and_restart(edges, choose),
                *(traffic.call_until(end_s, n) for n in range(_CALLERS)),
            )
        finally:
            for edge in edges:
                if edge.process is not None and edge.process.returncode is None:
                    edge.process.kill()
                    await edge.process.wait()
            server.stop()
    with capsys.disabled():
        print(f"\nstops under load, seed {seed}: {traffic.counts}")
    assert traffic.counts["200"] > 20
    assert not traffic.faults
