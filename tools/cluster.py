"""A cluster on loopback for demos, soaks and measurements.

The launcher is a tool of the repository: no process of the system starts
another.
"""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import attrs
import orjson
import yaml

from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Declaration, RouteKind
from celerypulley.contracts.declaration_file import declaration_from_dict
from celerypulley.links.cuts import CutTable
from celerypulley.links.platform_link import PlatformLink
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ConfigurationStore

__all__ = ["Cluster", "ClusterOptions", "DEPLOYMENTS", "Deployment", "Process"]

_PEER_SECRET = "a-secret-for-loopback-only"
_READY_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.1
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_ROOT = Path(__file__).resolve().parent.parent


@attrs.frozen
class Deployment:
    """One user's size: its declaration, hosts and one-way delay between domains."""

    name: str
    declaration_path: Path
    hosts: int
    peer_delay_ms: float
    order_path: str


DEPLOYMENTS = {
    "aguapunto": Deployment(
        "aguapunto", _ROOT / "declarations/aguapunto.yaml", 6, 1.0, "/tokens/issue"
    ),
    "jalisco": Deployment(
        "jalisco", _ROOT / "declarations/jalisco.yaml", 7, 1.5, "/orders/fabricate"
    ),
}


@attrs.frozen(kw_only=True)
class ClusterOptions:
    """How a cluster is run.

    `engine_speed` divides the engines' step times; `unlimited` lifts every
    organisation's rate, for benchmarks.
    """

    deployment: Deployment
    folder: Path
    engine_speed: float = 1.0
    shards_per_domain: int = 16
    promise_ms: int = 2_000
    lease_ttl_ms: int = 5_000
    hosts: int | None = None
    engine_flags: tuple[str, ...] = ()
    lift_rate_limits: bool = False


@attrs.define(eq=False)
class Process:
    """One process of the cluster."""

    name: str
    kind: str
    command: list[str]
    address: str
    admin_address: str = ""
    domain: str = ""
    popen: subprocess.Popen | None = None
    is_frozen: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the process is alive and not frozen."""
        return (
            self.popen is not None and self.popen.poll() is None and not self.is_frozen
        )


def _candidate_ports() -> Iterator[int]:
    """Yield ports below those that outgoing connections use, from a place by pid."""
    count = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * 211 % count
    for step in itertools.count():
        yield _FIRST_PORT + (start + step) % count


_CANDIDATE_PORTS = _candidate_ports()


def free_port() -> int:
    """Return a port that is free and that no outgoing connection will take."""
    for port in _CANDIDATE_PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("the ports never end")


class Cluster:
    """The processes of one run, and the faults that are done to them."""

    def __init__(self, options: ClusterOptions) -> None:
        """Plan the processes; nothing starts yet."""
        self.options = options
        self.folder = options.folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.kv_address = f"127.0.0.1:{free_port()}"
        self.declaration = self._write_declaration()
        self.hosts: list[Process] = []
        self.engines: list[Process] = []
        self.plain_services: list[Process] = []
        self.kv = self._make_process("kv", "kv", ["stand_in", "kv"], self.kv_address)
        self.session: aiohttp.ClientSession | None = None
        self.keys: dict[str, str] = {}
        self._plan_servers()
        self._plan_hosts()

    def _write_declaration(self) -> Declaration:
        data = yaml.safe_load(self.options.deployment.declaration_path.read_text())
        ports: dict[str, str] = {}
        for server in data["backend_servers"]:
            bound = ports.setdefault(server["address"], f"127.0.0.1:{free_port()}")
            server["address"] = bound
        if self.options.lift_rate_limits:
            data["defaults"] |= {"rate_per_s": 1e6, "burst": 1_000_000}
            data["exceptions"] = []
        path = self.folder / "declaration.yaml"
        path.write_text(yaml.safe_dump(data, sort_keys=False))
        return declaration_from_dict(data)

    def _make_process(
        self, name: str, kind: str, arguments: list[str], address: str
    ) -> Process:
        command = [sys.executable, "-m", "celerypulley.cli", *arguments]
        return Process(name, kind, [*command, f"--address={address}"], address)

    def _plan_servers(self) -> None:
        routes = {route.name: route for route in self.declaration.routes}
        seen = set()
        for server in self.declaration.backend_servers:
            if server.address in seen:
                continue
            seen.add(server.address)
            route = routes[server.route]
            if route.kind is RouteKind.PLAIN:
                words = ["stand_in", "plain"]
                planned = self._make_process(
                    server.name, "plain", words, server.address
                )
                self.plain_services.append(planned)
                continue
            words = [
                "stand_in",
                "engine",
                f"--models={','.join(route.models)}",
                f"--speed={self.options.engine_speed}",
                f"--ignores_fencing={not server.checks_fencing}",
                "--event_gap=7",
                *self.options.engine_flags,
            ]
            engine = self._make_process(server.name, "engine", words, server.address)
            engine.domain = server.domain
            self.engines.append(engine)

    def _plan_hosts(self) -> None:
        domains = self.declaration.failure_domains
        count = self.options.hosts or self.options.deployment.hosts
        for number in range(count):
            self.hosts.append(
                self._plan_host(f"host-{number + 1}", domains[number % len(domains)])
            )

    def _plan_host(self, name: str, domain: str) -> Process:
        options = self.options
        caller, admin, peer = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = {
            "host-id": name,
            "domain": domain,
            "caller-address": caller,
            "admin-address": admin,
            "peer-address": peer,
            "platform-address": self.kv_address,
            "peer-secret": _PEER_SECRET,
            "shards-per-domain": options.shards_per_domain,
            "promise-ms": options.promise_ms,
            "lease-ttl-ms": options.lease_ttl_ms,
            "peer-delay-ms": options.deployment.peer_delay_ms,
            "faults-allowed": "true",
        }
        flags = [f"--{flag}={value}" for flag, value in settings.items()]
        command = [sys.executable, "-m", "celerypulley.cli", "serve", *flags]
        return Process(name, "host", command, caller, admin, domain)

    @property
    def processes(self) -> list[Process]:
        """Return every process."""
        return [self.kv, *self.engines, *self.plain_services, *self.hosts]

    async def start(self) -> None:
        """Start everything, apply the declaration and give each organisation a key."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=False)
        )
        for process in (self.kv, *self.engines, *self.plain_services):
            self.launch(process)
        await self._wait_for(self._is_kv_ready, "the key-value service")
        await self._apply_declaration()
        for process in self.hosts:
            self.launch(process)
        await self._wait_for(self._are_hosts_ready, "the hosts")

    def launch(self, process: Process) -> None:
        """Start one process; its output goes to a file named after it."""
        path = self.folder / f"{process.name}.log"
        with path.open("ab") as log:
            process.popen = subprocess.Popen(
                process.command, stdout=log, stderr=log, cwd=_ROOT
            )
        process.is_frozen = False

    async def stop(self) -> None:
        """End every process that this cluster started."""
        for process in self.processes:
            if process.popen is None:
                continue
            if process.is_frozen:
                self.thaw(process)
            if process.popen.poll() is None:
                process.popen.kill()
            process.popen.wait()
        if self.session is not None:
            await self.session.close()

    def kill(self, process: Process) -> None:
        """Kill a process at once."""
        assert process.popen is not None, "only a started process is killed"
        process.popen.kill()
        process.popen.wait()

    def terminate(self, process: Process) -> None:
        """Ask a process to stop."""
        assert process.popen is not None, "only a started process is stopped"
        process.popen.terminate()

    def freeze(self, process: Process) -> None:
        """Stop a process as a pause of its machine would."""
        assert process.popen is not None, "only a started process is frozen"
        os.kill(process.popen.pid, signal.SIGSTOP)
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """Let a frozen process go on."""
        assert process.popen is not None, "only a started process is thawed"
        os.kill(process.popen.pid, signal.SIGCONT)
        process.is_frozen = False

    async def set_cuts(self, process: Process, targets: list[str]) -> None:
        """Cut a host's links to `names` (hosts, domains or "platform")."""
        await self._post(process.admin_address, "/cuts", targets)

    async def set_kv_faults(self, **faults: object) -> None:
        """Set the key-value service's faults; none heals it."""
        await self._post(self.kv_address, "/faults", faults)

    async def set_plain_faults(self, **faults: object) -> None:
        """Set the plain services' faults."""
        for process in self.plain_services:
            await self._post(process.address, "/faults", faults)

    async def set_server_state(self, name: str, state: str) -> None:
        """List a backend server as live or leaving."""
        await self._post(
            self.kv_address, "/backend-servers", {"name": name, "state": state}
        )

    async def read_json(self, address: str, path: str) -> dict:
        """Return a JSON report; an empty one where nothing answers."""
        assert self.session is not None, "the cluster has not been started"
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self.session.get(
                f"http://{address}{path}", timeout=timeout
            ) as response:
                return orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return {}

    def configuration_store(self) -> ConfigurationStore:
        """Return the operators' way to the key-value service."""
        assert self.session is not None, "the cluster has not been started"
        url = f"http://{self.kv_address}"
        return ConfigurationStore(PlatformLink(url, self.session, CutTable()), Clock())

    def caller_addresses(self) -> list[str]:
        """Return the callers' addresses of all hosts."""
        return [host.address for host in self.hosts]

    async def _post(self, address: str, path: str, body: object) -> None:
        assert self.session is not None, "the cluster has not been started"
        timeout = aiohttp.ClientTimeout(total=3.0)
        async with self.session.post(
            f"http://{address}{path}", data=orjson.dumps(body), timeout=timeout
        ) as response:
            await response.read()
            response.raise_for_status()

    async def _apply_declaration(self) -> None:
        store = self.configuration_store()
        await commands.apply_declaration(store, self.declaration, "start of the run")
        for organisation in self.declaration.organisations:
            lines = await commands.give_key(store, organisation.name)
            self.keys[organisation.name] = lines[-1]

    async def _is_kv_ready(self) -> bool:
        return bool(await self.read_json(self.kv_address, "/counts"))

    async def _are_hosts_ready(self) -> bool:
        for host in self.hosts:
            status = await self.read_json(host.admin_address, "/status")
            if not status.get("ready") or not _are_shards_assigned(
                status, len(self.hosts)
            ):
                return False
        return True

    async def _wait_for(self, is_ready: object, subject: str) -> None:
        for _ in range(int(_READY_TIMEOUT_S / _POLL_INTERVAL_S)):
            if await is_ready():
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"{subject} did not become ready; see {self.folder}")


def _are_shards_assigned(status: dict, host_count: int) -> bool:
    shards = status["shards"]
    return status["members"] == host_count and 0 < shards["owned"] == shards["promised"]
