"""A deployment in one process: hosts with real links, and stand-ins of the rest."""

import asyncio
import os
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp
import attrs
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.contracts.declaration import (
    BackendServer,
    Declaration,
    Limits,
    Organisation,
    Route,
    RouteKind,
)
from celerypulley.hosts.host import Host
from celerypulley.links.cuts import CutTable
from celerypulley.links.platform_link import PlatformLink
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ConfigurationStore
from celerypulley.settings import Address, Settings
from celerypulley.stand_ins.engine import EngineOptions, make_engine_app
from celerypulley.stand_ins.engine_core import EngineLimits
from celerypulley.stand_ins.kv import make_kv_app
from celerypulley.stand_ins.plain_service import make_plain_app
from tools.cluster import free_port

PEER_SECRET = "a-secret-for-tests-only"
DOMAINS = ("north", "south", "west")
_WAIT_TIMEOUT_S = 30.0
# What the monotonic clocks of a run start at: a boot ago, minutes, hours, days, years.
_CLOCK_BASES_S = (0.001, 1.0, 100.0, 1_000.0, 1e5, 1e9)


def _draw_clock_base_s() -> float:
    """Return the base that CLOCK_BASE_S sets, or else one drawn for this run."""
    chosen = os.environ.get("CLOCK_BASE_S", "")
    return float(chosen) if chosen else random.SystemRandom().choice(_CLOCK_BASES_S)


CLOCK_BASE_S = _draw_clock_base_s()
_run_started_ns = time.monotonic_ns()


def _read_run_ns() -> int:
    return int(CLOCK_BASE_S * 1e9) + time.monotonic_ns() - _run_started_ns


def run_clock() -> Clock:
    """Return a clock that runs, and started at the base of this run."""
    return Clock(read_monotonic_ns=_read_run_ns)


class ManualClock:
    """A clock that a test advances, from the base of this run.

    Each reading moves it on by `reading_ms`.
    """

    def __init__(self, reading_ms: float = 0.0) -> None:
        self.now_ms = CLOCK_BASE_S * 1000
        self.reading_ms = reading_ms
        self.clock = Clock(self._read_ns, self._read_ns)

    def _read_ns(self) -> int:
        self.now_ms += self.reading_ms
        return round(self.now_ms * 1_000_000)

    def advance(self, by_ms: float) -> None:
        self.now_ms += by_ms


def free_address() -> Address:
    return Address("127.0.0.1", free_port())


async def wait_until(
    condition: Callable[[], object], awaited: str = "the condition"
) -> None:
    """Wait until a condition holds; the time-out only ends a failing test."""
    for _ in range(int(_WAIT_TIMEOUT_S / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"timed out waiting for {awaited}")


def make_declaration(
    engine_addresses: list[Address], plain_address: Address, **limits: object
) -> Declaration:
    servers = [
        BackendServer(
            name=f"engine-{number}",
            route="assistant",
            domain=DOMAINS[number % len(DOMAINS)],
            address=str(address),
        )
        for number, address in enumerate(engine_addresses)
    ]
    for route in ("tokens", "catalogue"):
        servers.append(
            BackendServer(
                name=f"{route}-0",
                route=route,
                domain="north",
                address=str(plain_address),
            )
        )
    defaults = Limits(
        **{"rate_per_s": 1_000.0, "burst": 1_000, "max_tokens": 8, **limits}
    )
    return Declaration(
        version=1,
        failure_domains=list(DOMAINS),
        defaults=defaults,
        routes=[
            Route(name="assistant", kind=RouteKind.ENGINE, models=["m"]),
            Route(
                name="tokens", kind=RouteKind.PLAIN, prefix="/tokens", repeatable=False
            ),
            Route(name="catalogue", kind=RouteKind.PLAIN, prefix="/catalogue"),
        ],
        backend_servers=servers,
        organisations=[Organisation(name="kiosk"), Organisation(name="other")],
    )


@attrs.define(eq=False)
class Deployment:
    """The hosts and stand-ins of one test, and a caller's session."""

    session: aiohttp.ClientSession
    platform_address: Address
    engine_addresses: list[Address]
    plain_address: Address
    declaration: Declaration
    configuration_store: ConfigurationStore
    hosts: list[Host] = attrs.Factory(list)
    keys: dict[str, str] = attrs.Factory(dict)

    async def add_host(self, number: int) -> Host:
        settings = Settings(
            host_id=f"h{number}",
            domain=DOMAINS[number % len(DOMAINS)],
            caller_address=free_address(),
            admin_address=free_address(),
            peer_address=free_address(),
            platform_address=self.platform_address,
            peer_secret=PEER_SECRET,
            shards_per_domain=2,
            lease_ttl_ms=2_000,
            promise_ms=800,
            commit_timeout_ms=6_000,
            shutdown_ms=20_000,
        )
        host = Host(settings, run_clock())
        self.hosts.append(host)
        await host.start()
        return host

    async def wait_for_owners(self) -> None:
        """Wait until every shard has an owner that holds its replica's promise."""
        total = len(DOMAINS) * (2 + 4)

        def all_owned() -> bool:
            owned = [owner for host in self.hosts for owner in _promised_owners(host)]
            ready = all(host.is_ready() for host in self.hosts)
            return ready and len(owned) == total

        await wait_until(all_owned, "an owner for every shard")

    def isolate(self, host: Host) -> None:
        """Cut a host off from all peers and from the key-value store."""
        host.cuts.replace(frozenset({"platform", *DOMAINS}))

    def heal(self, host: Host) -> None:
        """Remove all cuts of a host."""
        host.cuts.replace(frozenset())

    def owner_of(self, program: str) -> Host | None:
        """Return the host that owns a program, or None if no host does."""
        for host in self.hosts:
            for owner in _promised_owners(host):
                if program in owner.state.programs:
                    return host
        return None

    async def post(
        self, host: Host, path: str, body: object = None, **headers: str
    ) -> tuple[int, dict, object]:
        """Send a POST as a caller of `kiosk`; return status, headers and JSON body."""
        return await self.send("POST", host, path, body, headers)

    async def send(
        self, method: str, host: Host, path: str, body: object, headers: dict
    ) -> tuple[int, dict, object]:
        sent_headers = {"Authorization": f"Bearer {self.keys['kiosk']}"}
        for name, value in headers.items():
            sent_headers[name.replace("_", "-")] = value
        url = f"http://{host.settings.caller_address}{path}"
        raw = body if isinstance(body, bytes) else None
        data = None if isinstance(body, bytes) else body
        async with self.session.request(
            method, url, json=data, data=raw, headers=sent_headers
        ) as response:
            content = await response.json(content_type=None)
            return response.status, dict(response.headers), content

    async def open_program(self, host: Host, **headers: str) -> str:
        status, _, report = await self.post(host, "/v1/programs", **headers)
        assert status == 201, report
        return report["id"]

    async def send_turn(
        self, host: Host, program: str, text: str, **headers: str
    ) -> tuple[int, dict, object]:
        body = {"model": "m", "messages": [{"role": "user", "content": text}]}
        sent_headers = {"X_Celerypulley_Program": program, **headers}
        return await self.post(host, "/v1/chat/completions", body, **sent_headers)

    async def read_json(self, address: Address, path: str) -> dict:
        async with self.session.get(f"http://{address}{path}") as response:
            return await response.json(content_type=None)

    async def set_faults(self, address: Address, **faults: object) -> None:
        async with self.session.post(
            f"http://{address}/faults", json=faults
        ) as response:
            assert response.status == 200, await response.text()


def _promised_owners(host: Host) -> list:
    return [owner for owner in host.shards.owned.values() if owner.holds_promise()]


async def start_app(app: web.Application) -> tuple[web.AppRunner, Address]:
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=0.2, handler_cancellation=True
    )
    await runner.setup()
    address = free_address()
    await web.TCPSite(runner, address.ip, address.port).start()
    return runner, address


@asynccontextmanager
async def running_deployment(
    hosts: int = 3,
    engine_options: EngineOptions | None = None,
    engines: int = 2,
    **limits: object,
) -> AsyncIterator[Deployment]:
    """Run hosts, engines, a plain service and the key-value store."""
    options = engine_options or EngineOptions(models=("m",), speed=20.0, load_lag_ms=0)
    clock = run_clock()
    runners = []
    kv_runner, platform_address = await start_app(make_kv_app(clock))
    runners.append(kv_runner)
    engine_addresses = []
    for _ in range(engines):
        runner, address = await start_app(
            make_engine_app(EngineLimits(), options, clock)
        )
        runners.append(runner)
        engine_addresses.append(address)
    plain_runner, plain_address = await start_app(make_plain_app())
    runners.append(plain_runner)
    async with aiohttp.ClientSession() as session:
        link = PlatformLink(f"http://{platform_address}", session, CutTable())
        configuration_store = ConfigurationStore(link, clock)
        declaration = make_declaration(engine_addresses, plain_address, **limits)
        await commands.apply_declaration(configuration_store, declaration, "for a test")
        deployment = Deployment(
            session,
            platform_address,
            engine_addresses,
            plain_address,
            declaration,
            configuration_store,
        )
        for name in ("kiosk", "other"):
            deployment.keys[name] = (
                await commands.give_key(configuration_store, name)
            )[-1]
        try:
            await asyncio.gather(
                *(deployment.add_host(number) for number in range(hosts))
            )
            await deployment.wait_for_owners()
            yield deployment
        finally:
            for host in deployment.hosts:
                host.cuts.replace(frozenset({"platform"}))
            await asyncio.gather(*(host.stop() for host in deployment.hosts))
            for runner in runners:
                await runner.cleanup()
