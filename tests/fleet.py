"""A small fleet for tests: hosts, a store and servers on loopback addresses."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
import orjson
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.fleet_host import FleetHost
from celerypulley.platform.roles import PLATFORM_SCHEMA
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.fleet_store import FleetStore, make_fleet_store_app
from celerypulley.stand_ins.opaque_server import OpaqueServer
from tests.harness import free_address, wait_until

API_KEY = "key-of-kiosks"
BUDGET_TOKENS = 600
MAX_TOKENS = 100


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    row = {
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
    return {**row, **fields}


def desired_state(version: int = 1, **changes: object) -> dict:
    """Return a desired state with a route of each kind."""
    state = {
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
    return {**state, **changes}


@attrs.define(eq=False)
class Response:
    """What a caller got; `whole` is False where the connection broke."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True


@attrs.define(eq=False)
class Fleet:
    """Everything of one test."""

    store: FleetStore
    store_address: str
    hosts: list[FleetHost]
    servers: list[OpaqueServer]
    session: aiohttp.ClientSession
    request_count: int = 0

    def put_state(self, state: dict) -> None:
        """Write the desired state as the operator does."""
        self.store.put("op/config", orjson.dumps(state))

    def register(self, server: OpaqueServer, **fields: object) -> None:
        """Write a server's entry as the server does."""
        row = {
            "service": "engines",
            "addr": server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }
        self.store.put(f"servers/{server.name}", orjson.dumps({**row, **fields}))

    async def call(
        self,
        path: str,
        host: int = 0,
        method: str = "POST",
        body: bytes = b"hello",
        headers: dict | None = None,
    ) -> Response:
        """Send one request to a host."""
        self.request_count += 1
        sent = {
            "Host": "agents.example",
            "Request-Id": f"request-{self.request_count}",
            "Deadline-Ms": "1500",
            "Api-Key": API_KEY,
            **(headers or {}),
        }
        address = self.hosts[host].settings.caller_address
        async with self.session.request(
            method, f"http://{address}{path}", data=body, headers=sent
        ) as response:
            try:
                got = await response.read()
                whole = True
            except aiohttp.ClientPayloadError:
                got = b""
                whole = False
            return Response(response.status, dict(response.headers), got, whole)


def free_udp_port() -> int:
    """Return a port on which nothing receives datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_settings(name: str, store_address: str, **changes: object) -> FleetSettings:
    """Return settings on free ports."""
    values = {
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
    }
    return FleetSettings(**{**values, **changes})


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[FleetStore, str]]:
    """Run the store's stand-in."""
    store = FleetStore(Clock())
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
    hosts: int = 1, servers: int = 1, state: dict | None = None
) -> AsyncIterator[Fleet]:
    """Run hosts and servers that know each other."""
    async with running_store() as (store, store_address):
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        fleet = Fleet(store, store_address, [], [], session)
        fleet.put_state(state or desired_state())
        for number in range(servers):
            server = OpaqueServer(f"server-{number}")
            await server.start()
            fleet.servers.append(server)
            fleet.register(server)
        sessions = []
        for number in range(hosts):
            own = aiohttp.ClientSession()
            sessions.append(own)
            client = PlatformStore(store_address, own, 500.0)
            settings = make_settings(f"host-{number}", store_address)
            host = FleetHost(settings, client, PLATFORM_SCHEMA, Clock())
            await host.start()
            fleet.hosts.append(host)
        await wait_until(
            lambda: all(_has_converged(host, fleet) for host in fleet.hosts)
        )
        try:
            yield fleet
        finally:
            for host in fleet.hosts:
                await host.stop()
            for server in fleet.servers:
                await server.stop()
            for each in (*sessions, session):
                await each.close()


def _has_converged(host: FleetHost, fleet: Fleet) -> bool:
    heard = all(host.gossip.is_reachable(name) for name in host.members.addresses)
    return (
        host.is_ready()
        and heard
        and host.gossip.has_quorum()
        and len(host.members.addresses) == len(fleet.hosts)
        and len(host.directory.servers) == len(fleet.servers)
    )


__all__ = [
    "BUDGET_TOKENS",
    "API_KEY",
    "MAX_TOKENS",
    "Response",
    "Fleet",
    "desired_state",
    "free_udp_port",
    "route",
    "running_fleet",
    "running_store",
    "make_settings",
]
