"""A fleet for tests: hosts, a key-value store and servers on loopback addresses."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
import orjson
from aiohttp import web

from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.fleet_host import FleetHost
from celerypulley.links.server_session import open_server_session
from celerypulley.platform.roles import PLATFORM_SCHEMA
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, make_fleet_store_app
from celerypulley.stand_ins.opaque_server import OpaqueServer
from tests.harness import free_address, run_clock, wait_until

API_KEY = "key-of-kiosks"
BUDGET_TOKENS = 600
MAX_TOKENS = 100


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route in the form in which operators write it."""
    defaults = {
        "name": name,
        "host": "agents.example",
        "pathPrefix": prefix,
        "service": "engines",
        "type": "non_idempotent",
        "timeoutMs": 2_000,
        "sloMs": 250,
        "priority": 1,
        "attempts": 2,
        "public": False,
    }
    return {**defaults, **fields}


def desired_state(version: int = 1, **changes: object) -> dict:
    """Return a desired state with a route of each kind; `changes` replace fields."""
    defaults = {
        "version": version,
        "routes": [
            route("safe", "/safe/", type="idempotent"),
            route("unsafe", "/unsafe/"),
            route("open", "/open/", public=True, type="idempotent"),
            route(
                "turns",
                "/turns/",
                type="stream",
                serverHistory=True,
                retainS=60.0,
            ),
            route("resumable", "/resumable/", type="stream", resumable=True),
        ],
        "services": [
            {"name": "engines", "engineId": {"slots": 8, "chunkTokens": 10}},
        ],
        "limits": {},
        "tenants": [
            {"name": "kiosks", "apiKeys": [API_KEY], "ratePerS": 0, "burst": 0},
        ],
    }
    return {**defaults, **changes}


def server_entry(**changes: object) -> bytes:
    """Return the entry of a server; `changes` replace its fields."""
    defaults = {
        "service": "engines",
        "addr": "127.0.0.1:8001",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    }
    return orjson.dumps({**defaults, **changes})


@attrs.define(eq=False)
class Response:
    """A response to a caller; `complete` is False if the connection broke."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True


@attrs.define(eq=False)
class Fleet:
    """The hosts, servers and key-value store of one test, and a caller's session."""

    store: FleetStore
    store_address: str
    hosts: list[FleetHost]
    servers: list[OpaqueServer]
    session: aiohttp.ClientSession
    request_count: int = 0
    host_sessions: list[aiohttp.ClientSession] = attrs.Factory(list)
    settings: dict = attrs.Factory(dict)

    async def start_host(self) -> None:
        """Start one more host, under the name of the next number."""
        session = open_server_session()
        self.host_sessions.append(session)
        client = PlatformStore(self.store_address, session, 500.0)
        settings = make_settings(
            f"host-{len(self.hosts)}", self.store_address, **self.settings
        )
        host = FleetHost(settings, client, PLATFORM_SCHEMA, run_clock())
        self.hosts.append(host)
        await host.start()

    async def replace_all_hosts(self) -> None:
        """Stop all hosts, then start as many under their names."""
        stopped, self.hosts = self.hosts, []
        for host in stopped:
            await host.stop()
        for _ in stopped:
            await self.start_host()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready and know all members and servers."""
        await wait_until(lambda: all(_has_converged(each, self) for each in self.hosts))

    def put_state(self, state: dict) -> None:
        """Write the desired state to the store."""
        self.store.put("op/config", orjson.dumps(state))

    def register(self, server: OpaqueServer, **fields: object) -> None:
        """Write the entry with which a server registers itself."""
        entry = server_entry(**{"addr": server.address, **fields})
        self.store.put(f"servers/{server.name}", entry)

    async def call(
        self,
        path: str,
        host: int = 0,
        method: str = "POST",
        body: bytes = b"hello",
        headers: dict | None = None,
    ) -> Response:
        """Send a request to a host; `headers` replace the default headers."""
        self.request_count += 1
        sent_headers = {
            "Host": "agents.example",
            "Request-Id": f"request-{self.request_count}",
            "Deadline-Ms": "1500",
            "Api-Key": API_KEY,
            **(headers or {}),
        }
        address = self.hosts[host].settings.caller_address
        async with self.session.request(
            method, f"http://{address}{path}", data=body, headers=sent_headers
        ) as response:
            try:
                received = await response.read()
                complete = True
            except aiohttp.ClientPayloadError:
                received = b""
                complete = False
            return Response(response.status, dict(response.headers), received, complete)


def free_udp_port() -> int:
    """Return a UDP port that is not in use."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_settings(name: str, store_address: str, **changes: object) -> FleetSettings:
    """Return a host's settings with free ports; `changes` replace their fields."""
    defaults = {
        "host_id": name,
        "domain": "a",
        "ip": "127.0.0.1",
        "caller_address": free_address(),
        "ready_address": free_address(),
        "fleet_port": free_udp_port(),
        "metrics_port": free_address().port,
        "store_address": store_address,
        "max_state_age_ms": 5_000.0,
        "refuse_stale_state": True,
        "shutdown_grace_ms": 8_000.0,
        "quota_window_ms": 5_000.0,
        "server_drain_ms": 2_000.0,
    }
    return FleetSettings(**{**defaults, **changes})


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[FleetStore, str]]:
    """Run the stand-in of the key-value store; yield it and its address."""
    store = FleetStore(run_clock())
    runner = web.AppRunner(
        make_fleet_store_app(store), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    address = free_address()
    await web.TCPSite(runner, address.ip, address.port).start()
    try:
        yield store, str(address)
    finally:
        await runner.cleanup()


@asynccontextmanager
async def running_fleet(
    hosts: int = 1, servers: int = 1, state: dict | None = None, **settings: object
) -> AsyncIterator[Fleet]:
    """Run hosts and servers; yield once all hosts know all members and servers.

    `settings` replace fields of the hosts' settings.
    """
    async with running_store() as (store, store_address):
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        fleet = Fleet(store, store_address, [], [], session, settings=settings)
        fleet.put_state(state or desired_state())
        for number in range(servers):
            server = OpaqueServer(f"server-{number}")
            await server.start()
            fleet.servers.append(server)
            fleet.register(server)
        for _ in range(hosts):
            await fleet.start_host()
        await fleet.wait_until_ready()
        try:
            yield fleet
        finally:
            for host in fleet.hosts:
                await host.stop()
            for server in fleet.servers:
                await server.stop()
            for each in (*fleet.host_sessions, session):
                await each.close()


def _has_converged(host: FleetHost, fleet: Fleet) -> bool:
    all_reachable = all(
        host.gossip.is_reachable(name) for name in host.members.addresses
    )
    return (
        host.is_ready()
        and all_reachable
        and host.gossip.has_quorum()
        and len(host.members.addresses) == len(fleet.hosts)
        and len(host.directory.servers) == len(fleet.servers)
    )


__all__ = [
    "API_KEY",
    "BUDGET_TOKENS",
    "MAX_TOKENS",
    "Fleet",
    "Response",
    "desired_state",
    "free_udp_port",
    "make_settings",
    "route",
    "running_fleet",
    "running_store",
    "server_entry",
]
