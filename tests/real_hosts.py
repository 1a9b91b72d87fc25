"""Real processes on loopback addresses, under the limits of their machines."""

import asyncio
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
import attrs
import orjson

from celerypulley.settings import Address
from celerypulley.stand_ins.fleet_store import FleetStore
from tests.fleet import API_KEY, desired_state, server_entry
from tests.harness import free_address

__all__ = [
    "HOLD_S",
    "METRICS_PORT",
    "SEND_S",
    "SMALLEST_MACHINE",
    "MachineSize",
    "ScriptedServer",
    "Target",
    "loopback_ip",
    "peak_mb",
    "running_edge",
    "running_process",
    "send_unread",
    "wait_ready",
    "wait_until_answered",
    "write_settings",
]

_ROOT = Path(__file__).resolve().parent.parent
METRICS_PORT = 9464  # fixed, so each process needs an address of its own
SEND_S = 10.0  # for clients that the host doesn't read to the end
HOLD_S = 2.0  # until all clients have been accepted
_READY_S = 30.0
_ANSWER_S = 60.0  # the time-out only ends a failing test


@attrs.frozen
class MachineSize:
    """What a process may use of its machine."""

    memory_mb: int
    max_descriptors: int


SMALLEST_MACHINE = MachineSize(128, 512)


Respond = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]


@attrs.define(eq=False)
class ScriptedServer:
    """A server that hands the head of a request to `respond`, which reads the body."""

    address: Address
    respond: Respond
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
        with suppress(ConnectionError, EOFError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.respond(reader, writer, head)
        writer.close()


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
        return round(peak_mb(self.process) * 1_024)

    async def watch_descriptors(self) -> None:
        while True:
            with suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(0.05)


def peak_mb(process: asyncio.subprocess.Process) -> float:
    """Return the most memory that a process has had, 0 if it has ended."""
    with suppress(OSError):
        status = Path(f"/proc/{process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1_024
    return 0.0


def loopback_ip(number: int = 9) -> str:
    """Return an address of this run of the tests; runs beside each other differ."""
    return f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.{number}"


async def wait_ready(address: Address, path: str) -> None:
    async with asyncio.timeout(_READY_S), aiohttp.ClientSession() as session:
        while True:
            with suppress(aiohttp.ClientError, OSError):
                async with session.get(f"http://{address}{path}") as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


@asynccontextmanager
async def running_process(
    folder: Path, environment: dict[str, str], *arguments: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a Python module as a process, and kill it in the end."""
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


@asynccontextmanager
async def running_edge(
    folder: Path,
    size: MachineSize,
    store: FleetStore,
    store_address: str,
    respond: Respond,
    slots: int,
    paths: tuple[str, str, str, tuple[str, str]],
) -> AsyncIterator[Target]:
    """Run an edge with routes that take a minute, and an engine that `respond`s.

    `paths` are the last fields of the target, from `slow` on.
    """
    engine = ScriptedServer(free_address(), respond)
    await engine.start()
    state = desired_state()
    for route in state["routes"]:
        route["timeoutMs"] = 60_000
    store.put("op/config", orjson.dumps(state))
    store.put("servers/s", server_entry(addr=str(engine.address), slots=slots))
    address, ready_address = free_address(), free_address()
    port = free_address().port
    environment = write_settings(
        folder,
        store_address,
        f"portRange={port},{port}",
        f"listen.front={address}",
        f"listen.readyAddr={ready_address}",
        size=size,
    )
    headers = {"Host": "agents.example", "Api-Key": API_KEY, "Deadline-Ms": "60000"}
    arguments = ("celerypulley", "platform", "edge")
    async with running_process(folder, environment, *arguments) as process:
        await wait_ready(ready_address, "/readyz")
        yield Target(process, address, headers, *paths)
    engine.stop()


def write_settings(
    folder: Path,
    store_address: str,
    *lines: str,
    size: MachineSize = SMALLEST_MACHINE,
    name: str = "host-0",
    ip: str = "",
    domain: str = "a",
) -> dict[str, str]:
    """Write a settings file and return the variable that names it."""
    path = folder / f"{name}.conf"
    settings = [
        f"nodeName={name}",
        f"ip={ip or loopback_ip()}",
        f"zone={domain}",
        f"platform.addr={store_address}",
        f"limits.memoryMb={size.memory_mb}",
        f"limits.maxFds={size.max_descriptors}",
        *lines,
    ]
    path.write_text("\n".join(settings) + "\n", encoding="utf-8")
    return {"CELERYPULLEY_CONFIG": str(path)}


async def send_unread(
    address: Address, data: bytes, sockets: list[socket.socket]
) -> None:
    """Send bytes on a new connection that is kept open and never read."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sockets.append(client)
    with suppress(OSError):
        await loop.sock_connect(client, (address.ip, address.port))
        await loop.sock_sendall(client, data)


async def wait_until_answered(target: Target) -> None:
    async with asyncio.timeout(_ANSWER_S):
        while not await target.is_answered({}, b""):
            await asyncio.sleep(0.2)
