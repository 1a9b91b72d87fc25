"""A small deployment on loopback addresses for the scripts of the third review.

The programs of the deploy file run as separate processes. Their platform, its balancer,
the engines and the requesters are stand-ins in the process of the script.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import aiohttp
import attrs
import orjson
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.stand_ins.fleet_store import FleetStore, make_fleet_store_app

__all__ = [
    "EXIT_BROKEN",
    "EXIT_HELD",
    "EXIT_NOT_RUN",
    "Deployment",
    "Engine",
    "Machine",
    "Proxy",
    "Record",
    "Sent",
    "has_trouble",
    "most_in_window",
    "route",
    "run_case",
]

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
_ROOT = Path(__file__).resolve().parent.parent
_READY_S = 40.0
_PROBE_S = 1.0
_MISSES = 2  # of readiness probes, after which a node gets no new channels


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Write to `path`, replacing what is there."""
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> float:
        """Write one line; return its time."""
        now_s = self.now_s()
        self._file.write(f"{now_s:9.3f} {text}\n")
        self._file.flush()
        return now_s


@attrs.define(eq=False)
class _Pair:
    """The two ends of one channel through a proxy."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    is_silent: bool = False


class Proxy:
    """Forwards channels to one address; open ones can go silent for good."""

    def __init__(self, ip: str, target: tuple[str, int]) -> None:
        """Listen on a free port of `ip` once started."""
        self.ip = ip
        self.target = target
        self.address = ""
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listening socket."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def silence_open(self) -> int:
        """Deliver nothing more on the channels that are open now; return their count.

        They get neither an end nor a reset. New channels work.
        """
        for pair in self._pairs:
            pair.is_silent = True
        return len(self._pairs)

    def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for pair in self._pairs:
            pair.near.transport.abort()
            pair.far.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, far_writer)
        self._pairs.add(pair)
        await asyncio.gather(
            self._pump(pair, reader, far_writer), self._pump(pair, far_reader, writer)
        )
        self._pairs.discard(pair)

    async def _pump(
        self, pair: _Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                if not pair.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not pair.is_silent:
            writer.close()


class Engine:
    """A sound server of one service, which registers itself like the pages say."""

    def __init__(
        self, deployment: "Deployment", name: str, service: str, zone: str
    ) -> None:
        """Listen once started; `run_log` has the requests that it began to work on."""
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = deployment.new_ip()
        self.port = 0
        self.work_s = 0.02
        self.event_count = 5
        self.event_s = 0.02
        self.run_log: list[tuple[float, str, bytes]] = []
        self.active = 0
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        """Return the key of the entry."""
        return f"servers/{self.name}"

    async def start(self) -> None:
        """Serve and register."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.create_task(self._beat())

    def remove_entry(self) -> None:
        """Take the entry away and check in no more; go on serving."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self.deployment.store.remove(self.key)

    def stop(self) -> None:
        """End."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "addr": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born_ms,
            }
            self.deployment.store.put(self.key, orjson.dumps(entry))
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, _, rest = head.decode("latin-1").partition("\r\n")
                headers = {}
                for each in rest.splitlines():
                    name, _, value = each.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(line, headers, body, writer)
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = headers.get("request-id", "")
        lines = [
            f"Request-Id: {request_id}",
            f"Server-Load: {self.active},0,8",
            "Keep-Alive: timeout=20",
        ]
        if headers.get("expect-instance", self.name) != self.name:
            lines += ["Not-Executed: 1", "Content-Length: 0"]
            writer.write(_head("421 Misdirected Request", lines))
            await writer.drain()
            return
        at_s = self.deployment.record.write(
            f"run {request_id} at {self.name} ({self.service}): {line}"
        )
        self.run_log.append((at_s, request_id, body))
        lines.append(f"Server-Seal: {self.name}.{request_id}")
        self.active += 1
        try:
            if "/stream/" in line:
                await self._stream(lines, headers, writer)
                return
            await asyncio.sleep(self.work_s)
            answer = f"{self.name} ran {request_id}\n".encode()
            lines.append(f"Content-Length: {len(answer)}")
            writer.write(_head("200 OK", lines) + answer)
            await writer.drain()
        finally:
            self.active -= 1

    async def _stream(
        self, lines: list[str], headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(_head("200 OK", lines))
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.event_s)
            text = f"{self.name}-{headers.get('request-id')}-{number}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _head(status: str, lines: list[str]) -> bytes:
    return ("\r\n".join([f"HTTP/1.1 {status}", *lines]) + "\r\n\r\n").encode()


@attrs.define(eq=False)
class Machine:
    """One machine with a process of the system."""

    name: str
    role: str
    ip: str
    zone: str
    settings: Path
    ready_address: str = ""
    front_address: str = ""
    process: asyncio.subprocess.Process | None = None
    misses: int = _MISSES

    @property
    def is_in_rotation(self) -> bool:
        """Return whether the balancer gives it new channels."""
        return self.misses < _MISSES

    async def start(self, log: Path) -> None:
        """Start the program of its role with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["CELERYPULLEY_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(_ROOT / "target/deps")
        with log.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "celerypulley", "platform", self.role),
                env=environment,
                cwd=_ROOT,
                stdout=file,
                stderr=file,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, also one that was stopped."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@attrs.define(eq=False)
class Sent:
    """One request of a requester and its answer; `status` is 0 without one."""

    request_id: str
    edge: str
    sent_s: float
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b""
    is_whole: bool = False
    ended_s: float = 0.0


class Deployment:
    """Machines in zones, a store with one proxy for each machine, and engines."""

    def __init__(self, folder: Path, record: Record, zones: list[str]) -> None:
        """Plan a deployment whose files lie in `folder`."""
        self.folder = folder
        self.record = record
        self.zones = zones
        self.store = FleetStore(Clock())
        self.edges: list[Machine] = []
        self.stores: list[Machine] = []
        self.engines: list[Engine] = []
        self.proxies: dict[str, Proxy] = {}
        self._ip_count = 0
        self._ip_base = (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)
        self._runner: web.AppRunner | None = None
        self._store_target = ("", 0)
        self._tasks: list[asyncio.Task] = []
        self._request_count = 0

    def new_ip(self) -> str:
        """Return another loopback address of this run."""
        self._ip_count += 1
        first, second = self._ip_base
        return f"127.{first}.{second}.{self._ip_count}"

    async def start_store(self) -> None:
        """Start the platform's store."""
        app = make_fleet_store_app(self.store)
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        ip = self.new_ip()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self._store_target = (ip, port)

    async def add_engine(self, name: str, service: str, zone: str) -> Engine:
        """Start an engine."""
        engine = Engine(self, name, service, zone)
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_machine(
        self, name: str, role: str, zone: str, is_first: bool = True
    ) -> Machine:
        """Start a machine of a role."""
        ip = self.new_ip()
        proxy = self.proxies[name] = Proxy(ip, self._store_target)
        await proxy.start()
        front, ready, low = (_free_port(ip) for _ in range(3))
        path = self.folder / f"{name}.conf"
        lines = [
            f"nodeName={name}",
            f"role={role}",
            f"machineClass={role}",
            f"serves={role}",
            f"ip={ip}",
            f"zone={zone}",
            "region=r",
            *(f"zones.{each}=r" for each in self.zones),
            f"portRange={low},{low}",
            f"bootstrap={'true' if is_first else 'false'}",
            f"countsAsLoss={'true' if role == 'store' else 'false'}",
            "limits.cpuShare=0.537",
            "limits.cores=2",
            f"limits.memoryMb={170 if role == 'store' else 150}",
            "limits.maxFds=4100",
            "discovery=platform",
            "entry=vip",
            "heartbeatMs=1200",
            "contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,"
            "quota,platform",
            "faultTolerance.machines=1",
            "faultTolerance.zones=1",
            "faultTolerance.regions=0",
            "bounds.contactMs=3000",
            "bounds.ackMs=4000",
            "bounds.catchUpS=4.5",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.configApplyMs=2000",
            "bounds.strictRevoke=true",
            "bounds.revokeMs=5000",
            "bounds.quotaWindowS=5",
            "bounds.quotaOverrun=0.1",
            "bounds.quotaSlack=20",
            "bounds.recoverS=12",
            f"platform.addr={proxy.address}",
            "platform.form=kv",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
            "platform.ttlMinMs=1000",
        ]
        if role == "edge":
            lines += [f"listen.front={ip}:{front}", f"listen.readyAddr={ip}:{ready}"]
        else:
            lines.append(f"dataDir={self.folder / name}")
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        machine = Machine(name, role, ip, zone, path)
        machine.front_address = f"{ip}:{front}"
        machine.ready_address = f"{ip}:{ready}"
        (self.edges if role == "edge" else self.stores).append(machine)
        await machine.start(self.folder / f"{name}.log")
        return machine

    def put_state(self, state: dict) -> float:
        """Write a desired state; return the time of its acknowledgement."""
        self.store.put("op/config", orjson.dumps(state))
        return self.record.write(f"acknowledged: desired state {state['version']}")

    async def wait_ready(self) -> None:
        """Return once every edge is in rotation and every disk is listed."""
        self._tasks.append(asyncio.create_task(self._probe_edges()))
        async with asyncio.timeout(_READY_S):
            while not (
                all(each.is_in_rotation for each in self.edges)
                and self._count("disks/") >= len(self.stores)
                and self._count("members/") >= len(self.edges) + len(self.stores)
            ):
                await asyncio.sleep(0.1)
        self.record.write("all edges are in rotation and all disks are listed")

    def _count(self, prefix: str) -> int:
        return sum(key.startswith(prefix) for key in self.store.entries)

    async def _probe_edges(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_PROBE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._probe(session, each) for each in self.edges)
                )
                await asyncio.sleep(_PROBE_S)

    async def _probe(self, session: aiohttp.ClientSession, edge: Machine) -> None:
        status = 0
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            url = f"http://{edge.ready_address}/readyz"
            async with session.get(url) as response:
                status = response.status
        before = edge.is_in_rotation
        edge.misses = 0 if status == 200 else edge.misses + 1
        if edge.is_in_rotation is not before:
            state = "in" if edge.is_in_rotation else "out of"
            self.record.write(f"{edge.name} is {state} rotation")

    def pick_edge(self, zone: str = "") -> Machine:
        """Return an edge as the balancer does for a new channel."""
        ready = [each for each in self.edges if each.is_in_rotation] or self.edges
        near = [each for each in ready if each.zone == zone]
        return random.choice(near or ready)

    async def request(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        edge: Machine | None = None,
        deadline_s: float = 2.0,
    ) -> Sent:
        """Send one request of a requester and return its answer."""
        self._request_count += 1
        request_id = f"{os.getpid():x}{self._request_count:08x}"
        edge = edge or self.pick_edge()
        sent = Sent(request_id, edge.name, self.record.now_s())
        self.record.write(f"sent {request_id} to {edge.name}: {method} {path}")
        all_headers = {
            "Host": "agents.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            **headers,
        }
        timeout = aiohttp.ClientTimeout(total=deadline_s + 1.0)
        url = f"http://{edge.front_address}{path}"
        try:
            async with session.request(
                method, url, headers=all_headers, data=body or None, timeout=timeout
            ) as response:
                sent.status = response.status
                sent.headers = dict(response.headers)
                sent.body = await response.read()
                sent.is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.write(f"failed {request_id}: {error!r}")
        sent.ended_s = self.record.write(
            f"answered {request_id}: {sent.status} whole={sent.is_whole}"
        )
        return sent

    async def close(self) -> None:
        """End every process and stand-in that was started."""
        for task in self._tasks:
            task.cancel()
        for machine in (*self.edges, *self.stores):
            await machine.end()
        for engine in self.engines:
            engine.stop()
        for proxy in self.proxies.values():
            proxy.close()
        if self._runner is not None:
            await self._runner.cleanup()


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def route(name: str, prefix: str, service: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    defaults = {
        "name": name,
        "host": "agents.example",
        "pathPrefix": prefix,
        "service": service,
        "type": "idempotent",
        "timeoutMs": 2_000,
        "sloMs": 250,
        "priority": 1,
        "attempts": 2,
    }
    return {**defaults, **fields}


def most_in_window(runs: list[tuple[float, float]], window_s: float) -> int:
    """Return the most requests that were both sent and run within one window.

    `runs` has the times at which each was sent and reached an engine that ran it.
    """
    return max(
        (
            sum(
                sent_s >= begin_s and run_s <= begin_s + window_s
                for sent_s, run_s in runs
            )
            for begin_s, _ in runs
        ),
        default=0,
    )


def run_case(
    folder: Path, case: Callable[[Deployment], Awaitable[bool]], zones: list[str]
) -> None:
    """Run `case`, which returns whether the rule held, and exit accordingly."""
    limit_s = 110.0

    async def run() -> int:
        record = Record(folder / "record.txt")
        record.write(f"TROUBLE={int(has_trouble())}")
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            deployment = Deployment(Path(temporary), record, zones)
            try:
                async with asyncio.timeout(limit_s):
                    await deployment.start_store()
                    has_held = await case(deployment)
            except (OSError, TimeoutError, AssertionError) as error:
                record.write(f"not run: {error!r}")
                return EXIT_NOT_RUN
            finally:
                await deployment.close()
                logs = os.environ.get("KEEP_LOGS")
                if logs:
                    for log in Path(temporary).glob("*.log"):
                        (Path(logs) / log.name).write_bytes(log.read_bytes())
        record.write("the rule held" if has_held else "the rule was broken")
        return EXIT_HELD if has_held else EXIT_BROKEN

    sys.exit(asyncio.run(run()))
