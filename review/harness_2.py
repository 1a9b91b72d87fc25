"""A small deployment for the cases of the second review.

The project's own programs run as separate processes on loopback addresses, one address
for each, with the commands of the deploy file. The platform's store is the project's
stand-in; engines and requesters are small ones of this module.
"""

import asyncio
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import orjson
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.stand_ins.fleet_store import FleetStore, make_fleet_store_app

__all__ = [
    "API_KEY",
    "Answer",
    "CannotRunError",
    "Deployment",
    "Engine",
    "Process",
    "Received",
    "run_case",
    "send",
    "token",
]

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("cl-centro-a", "cl-centro-b", "cl-centro-c")
API_KEY = "3fexd9dnn2ctnfzs989a"
HTTP_HOST = "agents.example"
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_METRICS_PORT = 9464  # of the project's programs, on each address
_FRONT_PORT = 8368
_READY_PORT = 8369
_FLEET_PORT = 7780
_STORE_PORT = 8362
_START_LIMIT_S = 20.0
_RESTART_DELAY_S = 0.3  # "restarted after a short delay"

# The bounds of the site aguapunto-central.
_SETTINGS = """\
nodeName={name}
role={role}
machineClass={role}
serves={role}
ip={ip}
zone={zone}
region=cl-centro
zones.cl-centro-a=cl-centro
zones.cl-centro-b=cl-centro
zones.cl-centro-c=cl-centro
portRange=7780,7795
seeds=
bootstrap={bootstrap}
countsAsLoss={counts}
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb={memory_mb}
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4.5
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.quotaWindowS=5
bounds.quotaOverrun=0.1
bounds.quotaSlack=20
bounds.recoverS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.deadlineS=10
bounds.settleMs=1000
platform.addr={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class CannotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


def token() -> str:
    """Return a random identifier like those of requesters."""
    return random.randbytes(8).hex()


@attrs.frozen
class Received:
    """A request that an engine began to work on."""

    at_s: float
    engine: str
    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class Engine:
    """A sound engine: it answers plain calls whole, and turns as streams of events.

    `event_data(request)` returns the data of the events of a stream, the first of which
    has the identifier 1. Events are `event_gap_s` apart. A request for another engine
    gets 421. One for which `is_fatal(request)` holds crashes the engine, which is then
    told to `on_crash(engine)`. An engine that has all `slots` taken rejects with 503.
    """

    name: str
    service: str
    zone: str
    ip: str
    event_data: Callable[[Received], list[bytes]]
    work_s: float = 0.01
    event_gap_s: float = 0.02
    slots: int = 64
    ran: list[Received] = attrs.Factory(list)
    running: int = 0
    address: str = ""
    is_fatal: Callable[[Received], bool] = lambda _request: False
    on_crash: Callable[["Engine"], None] = lambda _engine: None
    _server: asyncio.Server | None = None
    _writers: set = attrs.Factory(set)

    async def start(self) -> None:
        """Listen on the port of the last start, or else on a free one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    def crash(self) -> None:
        """End as a crashed process does: its channels are reset, and no more open."""
        self.stop()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self.on_crash(self)

    def stop(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> bytes:
        """Return the entry with which the engine registers."""
        return orjson.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            }
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rows = head.split("\r\n")
                headers = {}
                for row in rows:
                    name, separator, value = row.partition(":")
                    if separator:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                request = Received(
                    time.monotonic(),
                    self.name,
                    headers.get("request-id", ""),
                    line.split(" ")[1],
                    headers,
                    body,
                )
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _head(self, request: Received, status: str, *lines: str) -> bytes:
        rows = [f"HTTP/1.1 {status}", f"Request-Id: {request.request_id}", *lines]
        rows += [f"Server-Load: {self.running},0,{self.slots}", "Keep-Alive: timeout=5"]
        return ("\r\n".join(rows) + "\r\n\r\n").encode()

    async def _answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            lines = ("Not-Executed: 1", "Content-Length: 0")
            writer.write(self._head(request, "421 Misdirected Request", *lines))
            return
        if self.running >= self.slots:
            lines = ("Not-Executed: 1", "Content-Length: 0")
            writer.write(self._head(request, "503 Service Unavailable", *lines))
            return
        self.ran.append(request)
        if self.is_fatal(request):
            self.crash()
            return
        self.running += 1
        try:
            await self._run(request, writer)
        finally:
            self.running -= 1

    async def _run(self, request: Received, writer: asyncio.StreamWriter) -> None:
        seal = f"Server-Seal: seal.{self.name}.{request.request_id}"
        await asyncio.sleep(self.work_s)
        if "token-usage" not in request.headers:
            body = f"done {request.request_id}".encode()
            length = f"Content-Length: {len(body)}"
            writer.write(self._head(request, "200 OK", seal, length) + body)
            await writer.drain()
            return
        lines = (seal, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")
        writer.write(self._head(request, "200 OK", *lines))
        after = int(request.headers.get("last-event-id") or 0)
        for number, data in enumerate(self.event_data(request), start=1):
            if number <= after:
                continue
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@attrs.define(eq=False)
class Process:
    """One of the project's programs on one address."""

    name: str
    role: str
    zone: str
    ip: str
    folder: Path
    started_s: float = 0.0
    _child: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """Return the address for requesters."""
        return f"{self.ip}:{_FRONT_PORT}"

    def write_settings(self, store: str, bootstrap: bool) -> None:
        """Write the settings file of the next start."""
        text = _SETTINGS.format(
            name=self.name,
            role=self.role,
            ip=self.ip,
            zone=self.zone,
            store=store,
            bootstrap="true" if bootstrap else "false",
            counts="true" if self.role == "store" else "false",
            memory_mb=170 if self.role == "store" else 150,
        )
        if self.role == "edge":
            text += f"listen.front={self.front}\n"
            text += f"listen.readyAddr={self.ip}:{_READY_PORT}\n"
        else:
            text += f"limits.diskMb=390\ndataDir={self.folder / 'data'}\n"
        (self.folder / "node.conf").write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CELERYPULLEY_CONFIG"] = str(self.folder / "node.conf")
        command = ["python3", "-m", "celerypulley", "platform", self.role]
        with (self.folder / "log").open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_s = time.monotonic()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._child is not None, "the process has been started"
        self._child.send_signal(number)

    async def wait(self) -> None:
        """Return once the process has ended."""
        assert self._child is not None, "the process has been started"
        await self._child.wait()

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self._child is None or self._child.returncode is not None:
            return
        self._child.kill()
        await self._child.wait()

    async def restart(self, number: int) -> None:
        """Send a signal that ends the process, and start it again once it has ended."""
        self.signal(number)
        await self.wait()
        await asyncio.sleep(_RESTART_DELAY_S)
        await self.start()

    async def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        try:
            answer = await send(
                f"{self.ip}:{_READY_PORT}", "GET", "/readyz", {}, b"", 0.5
            )
        except OSError:
            return False
        return answer.status == 200


@attrs.define(eq=False)
class Deployment:
    """Edges, storage machines, engines and the platform's store."""

    record: Record
    folder: Path
    edges: list[Process] = attrs.Factory(list)
    stores: list[Process] = attrs.Factory(list)
    engines: list[Engine] = attrs.Factory(list)
    platform: FleetStore = attrs.Factory(lambda: FleetStore(Clock()))
    platform_address: str = ""
    _network: str = ""
    _last_number: int = 0
    _runner: web.AppRunner | None = None

    def next_ip(self) -> str:
        """Return a loopback address on which the programs' ports are free."""
        if not self._network:
            self._network = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        while self._last_number < 250:
            self._last_number += 1
            ip = f"{self._network}.{self._last_number}"
            ports = (_METRICS_PORT, _FRONT_PORT, _READY_PORT, _FLEET_PORT, _STORE_PORT)
            if all(_is_free(ip, port) for port in ports):
                return ip
        raise CannotRunError("no loopback address with free ports")

    async def start(self, state: dict, engines: list[Engine], edges: int = 3) -> None:
        """Start everything, and wait until all edges are ready."""
        self._runner = web.AppRunner(
            make_fleet_store_app(self.platform), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        ip = self.next_ip()
        await web.TCPSite(self._runner, ip, _STORE_PORT).start()
        self.platform_address = f"{ip}:{_STORE_PORT}"
        self.engines = engines
        for engine in engines:
            await engine.start()
            self.platform.put(f"servers/{engine.name}", engine.entry())
        self.platform.put("op/config", orjson.dumps(state))
        for number in range(edges):
            self.edges.append(self._make("edge", number))
        for number in range(len(ZONES)):
            self.stores.append(self._make("store", number))
        for process in (*self.stores, *self.edges):
            await process.start()
        await self.wait_until_ready()
        for process in (*self.stores, *self.edges):
            process.write_settings(self.platform_address, bootstrap=False)
        disks = sum(key.startswith("disks/") for key in self.platform.entries)
        self.record.write(f"ready: {edges} edges, {disks} disks listed")

    def _make(self, role: str, number: int) -> Process:
        zone = ZONES[number % len(ZONES)]
        name = f"{role}-{zone}-{number + 1}"
        folder = self.folder / name
        (folder / "data").mkdir(parents=True)
        process = Process(name, role, zone, self.next_ip(), folder)
        process.write_settings(self.platform_address, bootstrap=True)
        return process

    async def wait_until_ready(self) -> None:
        """Wait until all edges are ready and all disks are listed."""
        limit_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < limit_s:
            ready = [await each.is_ready() for each in self.edges]
            disks = sum(key.startswith("disks/") for key in self.platform.entries)
            if all(ready) and disks >= len(self.stores):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the deployment is not ready")

    def ran(self) -> list[Received]:
        """Return what all engines began to work on, in order."""
        rows = [row for engine in self.engines for row in engine.ran]
        return sorted(rows, key=lambda row: row.at_s)

    async def stop(self) -> None:
        """End every process that was started, by its own handle."""
        for process in (*self.edges, *self.stores):
            await process.end()
        for engine in self.engines:
            engine.stop()
        if self._runner is not None:
            await self._runner.cleanup()


def _is_free(ip: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@attrs.define
class Answer:
    """An answer to a requester; `is_whole` tells whether its end has come."""

    sent_s: float
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b""
    is_whole: bool = False

    def events(self) -> list[tuple[int, bytes]]:
        """Return identifier and data of the complete events of a stream."""
        pattern = rb"id: (\d+)\ndata: ([^\n]*)\n\n"
        return [(int(number), data) for number, data in re.findall(pattern, self.body)]


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3.5,
    on_bytes: Callable[[Answer], None] | None = None,
) -> Answer:
    """Send a request on a new channel; raise OSError if none can be opened.

    `on_bytes` is called with the answer so far each time that a part of it has come.
    """
    answer = Answer(time.monotonic())
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            *(f"{k}: {v}" for k, v in headers.items()),
        ]
        if "Host" not in headers:
            lines.append(f"Host: {HTTP_HOST}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_s):
            await _read(reader, answer, on_bytes)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return answer


async def _read(
    reader: asyncio.StreamReader,
    answer: Answer,
    on_bytes: Callable[[Answer], None] | None,
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.split("\r\n")
    for row in rows:
        name, separator, value = row.partition(":")
        if separator:
            answer.headers[name.strip().lower()] = value.strip()
    answer.status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding") != "chunked":
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
        answer.is_whole = True
        return
    while True:
        size = int(await reader.readuntil(b"\n"), 16)
        answer.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            answer.is_whole = True
            return
        if on_bytes is not None:
            on_bytes(answer)


def run_case(case_file: str, play: Callable[[Deployment], Awaitable[str]]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if not, 2 if it can't run.

    `play(deployment)` returns how the rule was broken, "" if it held.
    """
    record = Record(Path(case_file).parent / "record.txt")
    record.write(f"TROUBLE={int(IS_TROUBLE)}")
    sys.exit(asyncio.run(_play(record, play)))


async def _play(record: Record, play: Callable[[Deployment], Awaitable[str]]) -> int:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None, "this coroutine runs in a task"
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory(prefix="review-2-") as folder:
        deployment = Deployment(record, Path(folder))
        try:
            broken = await play(deployment)
        except Exception as error:
            # A fault of the case itself says nothing about the rule.
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            if not isinstance(error, CannotRunError):
                traceback.print_exc()
            return 2
        except asyncio.CancelledError:
            record.write("could not run: stopped before the end")
            return 2
        finally:
            await deployment.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(folder).glob("*/log"):
                    target = Path(keep) / f"{log.parent.name}.log"
                    target.write_bytes(log.read_bytes())
    verdict = f"broken: {broken}" if broken else "held"
    record.write(verdict)
    print(verdict)
    return 1 if broken else 0
