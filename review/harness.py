"""A small deployment on loopback addresses for the scripts of the review.

The project's programs run as separate processes with the commands of the deploy file.
The platform's store is the project's stand-in with leases and lost answers added as
the pages describe them; callers and engines are small stand-ins of this module.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.stand_ins.fleet_store import FleetStore, make_fleet_store_app

__all__ = ["Answer", "CouldNotRunError", "Deployment", "is_trouble", "run_case"]

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "agents.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
RETAIN_S = 60
EVENTS = 4
_FRONT_PORT = 8368
_READY_PORT = 8369
_STORE_PORT = 8362
_SERVER_PORT = 8188
_FLEET_PORTS = "7780,7795"
_TRAFFIC_AT_S = 8.0
_GRACE_S = 8.0
_TRIES = 5
_ENGINE_DOWN_S = 3.0  # "the engine is back after some seconds"


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def is_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Answer:
    """What a caller saw of one request."""

    def __init__(self, request_id: str, status: int, body: bytes, sealed: bool):
        """Store the status (0: none), the body and whether it has an engine's seal."""
        self.request_id = request_id
        self.status = status
        self.body = body
        self.sealed = sealed

    @property
    def is_whole(self) -> bool:
        """Return whether this is an engine's whole stream."""
        events = self.body.count(b"\n\n")
        return self.status == 200 and self.sealed and events == EVENTS


class Deployment:
    """The processes, the platform's store, the engines and the record of a case."""

    def __init__(self, folder: Path) -> None:
        """Write `record.txt` into `folder`."""
        self.folder = folder
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_s = time.monotonic()
        self.record_file = (folder / "record.txt").open("w", encoding="utf-8")
        # A block of loopback addresses of this run, since one port is fixed.
        self.block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store = FleetStore(Clock())
        self.rejected: set[str] = set()
        self._store_channels: dict[str, set[Any]] = {}
        self._store_runner: web.AppRunner | None = None
        self.lose_answer: Callable[[str, dict], float | None] = lambda _path, _body: (
            None
        )
        self.writes_seen = 0
        self.writes_lost = 0
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ips: dict[str, str] = {}
        self.roles: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.extra_engines: list[tuple[str, str, str]] = []
        self.running: dict[str, list[bytes]] = defaultdict(list)
        self.event_gap_s = 0.005
        self._engines: dict[str, web.ServerRunner] = {}
        self._tasks: set[asyncio.Task] = set()
        self._next_lease = itertools.count(100_001)
        self._next_ip = itertools.count(10)
        self._next_request = itertools.count(1)
        self._runners: list[web.ServerRunner | web.AppRunner] = []
        self._session: aiohttp.ClientSession | None = None

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_s

    def note(self, what: str, **fields: object) -> None:
        """Write a line into the record."""
        row = {"at_s": round(self.now_s(), 3), "what": what, **fields}
        self.record_file.write(json.dumps(row) + "\n")
        self.record_file.flush()

    async def sleep_until(self, at_s: float) -> None:
        """Wait until `at_s` seconds after the start of the case."""
        await asyncio.sleep(max(0.0, at_s - self.now_s()))

    # The platform's store.

    async def start_store(self) -> None:
        """Serve the store and write the first desired state."""
        app = make_fleet_store_app(self.store)
        app.middlewares.append(self._around_store)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        self._store_runner = runner
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self.write_desired_state(1)

    def write_desired_state(self, version: int) -> None:
        """Write the operator's desired state."""
        self.store.put("op/config", orjson.dumps(desired_state(version)))
        self.note("operator wrote desired state", version=version)

    @web.middleware
    async def _around_store(
        self, request: web.Request, handler: Callable[..., Awaitable]
    ) -> web.StreamResponse:
        """Grant leases, and lose the answers that the case chooses.

        A lost call is carried out later if its condition still holds, and its channel
        returns nothing further.
        """
        name = self._caller_of(request)
        if name in self.rejected:
            return web.Response(status=503)
        transport = request.transport
        self._store_channels.setdefault(name, set()).add(transport)
        try:
            return await self._serve_store(request, handler)
        finally:
            self._store_channels[name].discard(transport)

    def _caller_of(self, request: web.Request) -> str:
        """Return the process that makes a call: each has an address of its own."""
        assert request.transport is not None, "the channel is open"
        ip = request.transport.get_extra_info("sockname")[0]
        return next((name for name, each in self.ips.items() if each == ip), "")

    def reject(self, names: set[str]) -> None:
        """Let the store reject these processes with 503 and cut their watches."""
        self.rejected = names
        for name in names:
            for transport in list(self._store_channels.get(name, ())):
                transport.abort()
        self.note("store rejects", names=sorted(names))

    async def _serve_store(
        self, request: web.Request, handler: Callable[..., Awaitable]
    ) -> web.StreamResponse:
        is_write = request.path in ("/kv-txn", "/kv-lease")
        if not is_write:
            return await handler(request)
        body = orjson.loads(await request.read())
        self.writes_seen += 1
        delay_s = self.lose_answer(request.path, body)
        if delay_s is not None:
            self.writes_lost += 1
            keys = [each["key"] for each in body.get("writes", [])]
            self.note("store loses an answer", path=request.path, keys=keys)
            asyncio.get_running_loop().call_later(delay_s, self._do_late, body)
            await asyncio.sleep(3_600)
        if request.path == "/kv-lease":
            lease = next(self._next_lease)
            self.store.leases[lease] = (float(body["ttlMs"]), Clock().now_ms())
            return web.json_response({"lease": lease, "ttlMs": body["ttlMs"]})
        return await handler(request)

    def _do_late(self, body: dict) -> None:
        self.store.expire_leases()
        status, _ = self.store.transact(body)
        keys = [each["key"] for each in body.get("writes", [])]
        self.note("store carries out the lost write", keys=keys, status=status)

    def members(self) -> list[str]:
        """Return the processes that are registered in the store."""
        self.store.expire_leases()
        prefix = "members/"
        keys = [key for key in self.store.entries if key.startswith(prefix)]
        return sorted(key.removeprefix(prefix) for key in keys)

    # Engines.

    async def start_engine(self, name: str, zone: str, service: str) -> None:
        """Start an engine and write its entry."""
        ip = self.ips.setdefault(name, f"{self.block}.{next(self._next_ip)}")

        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            return await self._run_request(name, request)

        runner = web.ServerRunner(web.Server(respond), shutdown_timeout=0.0)
        await runner.setup()
        self._engines[name] = runner
        await web.TCPSite(runner, ip, _SERVER_PORT).start()
        entry = {
            "service": service,
            "addr": f"{ip}:{_SERVER_PORT}",
            "zone": zone,
            "version": 1,
            "slots": 12,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": int(time.time() * 1000),
        }
        self.store.put(f"servers/{name}", orjson.dumps(entry))

    async def crash_an_engine(self, text: bytes) -> None:
        """Crash the engine that runs most requests which end with `text`."""

        def count(name: str) -> int:
            return sum(body.endswith(text) for body in self.running[name])

        name = max(self._engines, key=count)
        bodies = [body.decode("latin-1") for body in self.running[name]]
        self.note("an engine fails by itself", engine=name, running=bodies)
        await self._crash_engine(name)

    async def _crash_engine(self, name: str) -> None:
        """End an engine with all its channels, and start it again some seconds later.

        Its entry expires after three check-in intervals, and a new one is written at
        its next start.
        """
        self.note("engine crashes", engine=name)
        runner = self._engines.pop(name)
        assert runner.server is not None, "the engine has been started"
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        for site in list(runner.sites):
            await site.stop()
        self._tasks.add(asyncio.create_task(self._restart_engine(name, runner)))

    async def _restart_engine(self, name: str, runner: web.ServerRunner) -> None:
        await runner.cleanup()
        await asyncio.sleep(_ENGINE_DOWN_S)
        entry = orjson.loads(self.store.value(f"servers/{name}") or b"{}")
        await self.start_engine(name, entry["zone"], entry["service"])
        self.note("engine is back", engine=name)

    async def _run_request(
        self, name: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance", name) != name:
            headers = {"Not-Executed": "1", "Request-Id": request_id}
            return web.Response(status=421, headers=headers)
        if name not in self._engines:  # a channel that opened as the engine crashed
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        run = {"request": request_id, "engine": name, "body": body.decode("latin-1")}
        self.note("engine runs", **run)
        self.running[name].append(body)
        try:
            return await self._stream_events(request, request_id)
        except ConnectionResetError:  # the channel ended
            return web.Response(status=500)
        finally:
            self.running[name].remove(body)

    async def _stream_events(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Request-Id": request_id,
                "Server-Seal": "seal",
                "Content-Type": "text/event-stream",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n"
            await response.write(event.encode())
        await response.write_eof()
        return response

    # The project's processes.

    async def start_process(
        self, name: str, role: str, zone: str, is_first_start: bool
    ) -> None:
        """Start a process with the command of the deploy file."""
        if name not in self.ips:
            self.ips[name] = f"{self.block}.{next(self._next_ip)}"
            assert self._store_runner is not None, "the store is started first"
            await web.TCPSite(self._store_runner, self.ips[name], _STORE_PORT).start()
        ip = self.ips[name]
        self.roles[name] = role
        self.zones[name] = zone
        settings = self._settings(name, role, zone, ip, is_first_start)
        path = self.work / f"{name}.conf"
        path.write_text(settings, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CELERYPULLEY_CONFIG"] = str(path)
        with (self.work / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *deploy["roles"][role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note("process started", name=name, bootstrap=is_first_start)

    def _settings(
        self, name: str, role: str, zone: str, ip: str, is_first_start: bool
    ) -> str:
        lines = [
            f"nodeName={name}",
            f"role={role}",
            f"machineClass={role}",
            f"serves={role}",
            f"ip={ip}",
            f"zone={zone}",
            "region=region",
            *(f"zones.{each}=region" for each in ZONES),
            f"portRange={_FLEET_PORTS}",
            f"bootstrap={str(is_first_start).lower()}",
            f"countsAsLoss={str(role == 'store').lower()}",
            "heartbeatMs=1200",
            "faultTolerance.machines=1",
            "faultTolerance.zones=1",
            "faultTolerance.regions=0",
            "bounds.contactMs=3000",
            "bounds.catchUpS=4.5",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.strictRevoke=true",
            "bounds.revokeMs=5000",
            "bounds.quotaWindowS=5",
            "bounds.recoverS=12",
            f"platform.addr={ip}:{_STORE_PORT}",
            "platform.form=kv",
        ]
        if role == "edge":
            lines.append(f"listen.front={ip}:{_FRONT_PORT}")
            lines.append(f"listen.readyAddr={ip}:{_READY_PORT}")
        else:
            data = self.work / f"data-{name}"
            data.mkdir(exist_ok=True)
            lines.append(f"dataDir={data}")
        return "\n".join(lines) + "\n"

    async def kill(self, name: str, lose_disk: bool = False) -> None:
        """Kill a process, and empty its disk where `lose_disk` is set."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        if lose_disk:
            shutil.rmtree(self.work / f"data-{name}")
        self.note("process killed", name=name, disk_lost=lose_disk)

    async def terminate(self, name: str, lose_disk: bool = False) -> None:
        """Stop a process with SIGTERM, and empty its disk where that is set."""
        process = self.processes.pop(name)
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), _GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        if lose_disk:
            shutil.rmtree(self.work / f"data-{name}")
        self.note("process stopped", name=name, disk_lost=lose_disk)

    async def wait_until_ready(self, names: list[str], limit_s: float) -> None:
        """Wait until edges say that they are ready."""
        end_s = self.now_s() + limit_s
        for name in names:
            while not await self._is_ready(name):
                if self.now_s() > end_s:
                    raise CouldNotRunError(f"{name} isn't ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, name: str) -> bool:
        assert self._session is not None, "the store is started first"
        url = f"http://{self.ips[name]}:{_READY_PORT}/readyz"
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def log_lines(self, name: str) -> list[dict]:
        """Return the lines that a process has logged."""
        text = (self.work / f"{name}.log").read_text(encoding="utf-8")
        lines = [line for line in text.splitlines() if line.startswith("{")]
        return [json.loads(line) for line in lines]

    # Callers.

    async def send(
        self,
        edge: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        wait_ms: int = 3_000,
    ) -> Answer:
        """Send one request over a channel of its own and return what came."""
        assert self._session is not None, "the store is started first"
        request_id = f"{next(self._next_request):016x}"
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(wait_ms),
            "Api-Key": KEY,
            **headers,
        }
        self.note("caller sends", request=request_id, edge=edge, **headers)
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000)
        url = f"http://{self.ips[edge]}:{_FRONT_PORT}{path}"
        status, raw, sealed = 0, b"", False
        try:
            async with self._session.post(
                url, data=body, headers=sent, timeout=timeout
            ) as response:
                status = response.status
                sealed = "Server-Seal" in response.headers
                raw = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.note("no whole answer", request=request_id, why=repr(error))
            return Answer(request_id, 0, raw, sealed)
        answer = Answer(request_id, status, raw, sealed)
        detail = "" if status == 200 else raw.decode("latin-1")[:300]
        self.note(
            "caller gets",
            request=request_id,
            status=status,
            whole=answer.is_whole,
            detail=detail,
        )
        return answer

    async def turn(
        self, edge: str, program: str, text: str, previous: str = ""
    ) -> Answer:
        """Send one turn of a program whose history the system remembers."""
        headers = {
            "Program-Id": program,
            "Session-Id": program,
            "Program-Deadline-Ms": "60000",
            "Token-Budget": "100000",
            "Token-Usage": "100,80",
            "Model": "m",
        }
        if previous:
            headers["Previous-Turn"] = previous
        return await self.send(edge, "/chat/turn", text.encode(), headers)

    async def start_all(self, edges_per_zone: int) -> list[str]:
        """Start the store, the engines and the processes; return the edges' names."""
        await self.start_store()
        for zone in ZONES:
            await self.start_engine(f"i-{zone}", zone, "engines")
        for engine in self.extra_engines:
            await self.start_engine(*engine)
        for zone in ZONES:
            await self.start_process(f"store-{zone}", "store", zone, True)
        edges = []
        for zone in ZONES:
            for number in range(edges_per_zone):
                edges.append(f"edge-{zone}-{number}")
                await self.start_process(edges[-1], "edge", zone, True)
        await self.wait_until_ready(edges, 10)
        await self.sleep_until(_TRAFFIC_AT_S)
        return edges

    async def first_turns(self, edges: list[str], count: int) -> dict[str, str]:
        """Let programs take their first turns; return the programs by turn."""
        kept = {}
        for number in range(count):
            program = f"p{number}"
            edge = edges[number % len(edges)]
            answer = await self.turn(edge, program, f"first turn of {program}\n")
            if not answer.is_whole:
                raise CouldNotRunError(f"the first turn of {program} wasn't served")
            kept[answer.request_id] = program
            await asyncio.sleep(0.1)
        return kept

    async def check_kept(self, kept: dict[str, str], edges: list[str]) -> str:
        """Continue each kept turn, and return how the rule LOST was broken.

        A turn is continued at edges that didn't serve it, since an edge remembers the
        histories of its own.
        """
        refused, unserved = [], []
        for number, (turn, program) in enumerate(kept.items()):
            for attempt in range(_TRIES):
                edge = edges[(number + attempt) % len(edges)]
                answer = await self.turn(edge, program, "second turn\n", turn)
                if answer.status in (404, 410):
                    refused.append(turn)
                    break
                if answer.is_whole:
                    break
                await asyncio.sleep(0.1)
            else:
                unserved.append(turn)
        self.note("kept turns answered 404 or 410", turns=refused)
        self.note(f"kept turns that weren't served in {_TRIES} tries", turns=unserved)
        if self.now_s() > RETAIN_S:
            raise CouldNotRunError("the first turns were kept long enough")
        if not refused and not unserved:
            return ""
        return (
            f"LOST: of {len(kept)} kept turns {len(refused)} were answered 404 or 410 "
            f"and {len(unserved)} weren't served in {_TRIES} tries"
        )

    async def close(self) -> None:
        """End all processes that this case started, and remove its folder."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self._session is not None:
            await self._session.close()
        for task in self._tasks:
            task.cancel()
        for runner in (*self._runners, *self._engines.values()):
            await runner.cleanup()
        self.record_file.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.work, kept, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def desired_state(version: int) -> dict:
    """Return a desired state with one route for remembered turns."""
    return {
        "version": version,
        "routes": [
            {
                "name": "chat",
                "host": HOST,
                "pathPrefix": "/chat/",
                "service": "engines",
                "type": "stream",
                "serverHistory": True,
                "retainS": RETAIN_S,
                "timeoutMs": 3_000,
                "sloMs": 250,
                "gapTargetMs": 150,
                "attempts": 2,
                "priority": 0,
                "sticky": True,
            },
        ],
        "services": [
            {
                "name": "engines",
                "healthPath": "/healthz",
                "engineId": {"chunkTokens": 13},
            },
        ],
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 200, "burst": 100}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        },
    }


def run_case(folder: Path, play: Callable[[Deployment], Awaitable[str]]) -> None:
    """Play a case and exit: 1 if it returns how a rule broke, 0 if it held.

    The exit status is 2 if the case could not run.
    """

    async def run() -> int:
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(115):
                broken = await play(deployment)
        except (CouldNotRunError, TimeoutError, OSError) as error:
            deployment.note("could not run", why=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.close()
        print(broken or "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
