"""A cluster of processes on the loopback interface for demos, soaks and benchmarks.

Processes are started by this tool only, since no process of the system may start
another.
"""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import sys
from collections import deque
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

__all__ = ["DEPLOYMENTS", "Cluster", "ClusterOptions", "Deployment", "Process"]

_PEER_SECRET = "a-secret-for-loopback-only"
_READY_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.1
_FIRST_PORT = 12_000
_LAST_PORT = 32_000
_RESERVATION_IP = "127.255.255.254"
_MAX_RESERVATIONS = 512  # more than one test uses
_ROOT = Path(__file__).resolve().parent.parent


@attrs.frozen
class Deployment:
    """The size of one deployment.

    `peer_delay_ms` is the one-way delay between failure domains, and `order_path` the
    path of a plain service whose calls may not be repeated.
    """

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
    """Options of a cluster.

    `engine_speed` divides the step times of engines, and `engine_flags` are further
    flags for them. `hosts` replaces the number of hosts of the deployment.
    `lift_rate_limits` lifts the rate limits of all organisations, for benchmarks.
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
    """One process of the cluster, whether started or not.

    A frozen process is suspended by SIGSTOP.
    """

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
        """Return whether the process has been started, is alive and is not frozen."""
        return (
            self.popen is not None and self.popen.poll() is None and not self.is_frozen
        )


def _candidate_ports() -> Iterator[int]:
    """Yield ports below the ephemeral range without end.

    The first one depends on the process id, so that concurrent runs rarely collide.
    """
    count = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * 211 % count
    for step in itertools.count():
        yield _FIRST_PORT + (start + step) % count


_CANDIDATE_PORTS = _candidate_ports()
# Bound to the last ports of this process, at an address that nothing listens on.
_reservations: deque[socket.socket] = deque(maxlen=_MAX_RESERVATIONS)


def free_port() -> int:
    """Return a free port outside the ephemeral range of outgoing connections.

    Other processes don't choose it while this one holds its reservation.
    """
    for port in _CANDIDATE_PORTS:
        reservation = socket.socket()
        try:
            reservation.bind((_RESERVATION_IP, port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port
    raise AssertionError("the candidate ports are endless")


class Cluster:
    """The processes of one run, with methods that inject faults."""

    def __init__(self, options: ClusterOptions) -> None:
        """Write the declaration and plan the processes without starting them."""
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
        addresses: dict[str, str] = {}
        for server in data["backend_servers"]:
            address = addresses.setdefault(
                server["address"], f"127.0.0.1:{free_port()}"
            )
            server["address"] = address
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
        planned_addresses = set()
        for server in self.declaration.backend_servers:
            if server.address in planned_addresses:
                continue
            planned_addresses.add(server.address)
            route = routes[server.route]
            if route.kind is RouteKind.PLAIN:
                arguments = ["stand_in", "plain"]
                process = self._make_process(
                    server.name, "plain", arguments, server.address
                )
                self.plain_services.append(process)
                continue
            arguments = [
                "stand_in",
                "engine",
                f"--models={','.join(route.models)}",
                f"--speed={self.options.engine_speed}",
                f"--ignores_fencing={not server.checks_fencing}",
                "--event_gap=7",
                *self.options.engine_flags,
            ]
            engine = self._make_process(
                server.name, "engine", arguments, server.address
            )
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
        caller_address, admin_address, peer_address = (
            f"127.0.0.1:{free_port()}" for _ in range(3)
        )
        settings = {
            "host-id": name,
            "domain": domain,
            "caller-address": caller_address,
            "admin-address": admin_address,
            "peer-address": peer_address,
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
        return Process(name, "host", command, caller_address, admin_address, domain)

    @property
    def processes(self) -> list[Process]:
        """Return all processes, started or not."""
        return [self.kv, *self.engines, *self.plain_services, *self.hosts]

    async def start(self) -> None:
        """Start all processes, apply the declaration and create a key per organisation.

        Return when all hosts are ready; raise TimeoutError if that takes too long.
        """
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=False)
        )
        for process in (self.kv, *self.engines, *self.plain_services):
            self.launch(process)
        await self._wait_for(self._is_kv_ready, "the key-value store")
        await self._apply_declaration()
        for process in self.hosts:
            self.launch(process)
        await self._wait_for(self._are_hosts_ready, "the hosts")

    def launch(self, process: Process) -> None:
        """Start a process; its output is appended to a file named after it."""
        path = self.folder / f"{process.name}.log"
        with path.open("ab") as log:
            process.popen = subprocess.Popen(
                process.command, stdout=log, stderr=log, cwd=_ROOT
            )
        process.is_frozen = False

    async def stop(self) -> None:
        """Kill all processes that this cluster started."""
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
        """Kill a process and wait until it has ended."""
        assert process.popen is not None, "the process has not been started"
        process.popen.kill()
        process.popen.wait()

    def terminate(self, process: Process) -> None:
        """Send a process SIGTERM."""
        assert process.popen is not None, "the process has not been started"
        process.popen.terminate()

    def freeze(self, process: Process) -> None:
        """Suspend a process, as a pause of its machine does."""
        assert process.popen is not None, "the process has not been started"
        os.kill(process.popen.pid, signal.SIGSTOP)
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """Resume a frozen process."""
        assert process.popen is not None, "the process has not been started"
        os.kill(process.popen.pid, signal.SIGCONT)
        process.is_frozen = False

    async def set_cuts(self, process: Process, targets: list[str]) -> None:
        """Cut exactly a host's links to `targets` (hosts, domains or "platform")."""
        await self._post(process.admin_address, "/cuts", targets)

    async def set_kv_faults(self, **faults: object) -> None:
        """Replace the faults of the key-value store; no arguments clear them."""
        await self._post(self.kv_address, "/faults", faults)

    async def set_plain_faults(self, **faults: object) -> None:
        """Replace the faults of all plain services; no arguments clear them."""
        for process in self.plain_services:
            await self._post(process.address, "/faults", faults)

    async def set_server_state(self, name: str, state: str) -> None:
        """Set the state of a backend server in the platform's list, live or leaving."""
        await self._post(
            self.kv_address, "/backend-servers", {"name": name, "state": state}
        )

    async def read_json(self, address: str, path: str) -> dict:
        """Return a JSON response, an empty dict if there is none within 2 s."""
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
        """Return the operators' access to the configuration in the key-value store."""
        assert self.session is not None, "the cluster has not been started"
        url = f"http://{self.kv_address}"
        return ConfigurationStore(PlatformLink(url, self.session, CutTable()), Clock())

    def caller_addresses(self) -> list[str]:
        """Return the addresses at which hosts serve callers."""
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
