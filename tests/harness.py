"""A small deployment in one process: real links on loopback, stand-ins behind."""

import asyncio
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


class ManualClock:
    """Time that a test moves by hand."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0
        self.clock = Clock(self._read_ns, self._read_ns)

    def _read_ns(self) -> int:
        return int(self.now_ms * 1_000_000)

    def advance(self, by_ms: float) -> None:
        self.now_ms += by_ms


def free_address() -> Address:
    return Address("127.0.0.1", free_port())


async def wait_until(
    condition: Callable[[], object], awaited: str = "the condition"
) -> None:
    """Wait until a condition holds; the limit only ends a broken test."""
    for _ in range(int(_WAIT_TIMEOUT_S / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{awaited} did not come about")


def make_declaration(
    engines: list[Address], plain: Address, **limits: object
) -> Declaration:
    servers = [
        BackendServer(
            name=f"engine-{number}",
            route="assistant",
            domain=DOMAINS[number % len(DOMAINS)],
            address=str(address),
        )
        for number, address in enumerate(engines)
    ]
    for route in ("tokens", "catalogue"):
        servers.append(
            BackendServer(
                name=f"{route}-0", route=route, domain="north", address=str(plain)
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
    """Hosts and stand-ins of one test."""

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
        host = Host(settings, Clock())
        self.hosts.append(host)
        await host.start()
        return host

    async def wait_for_owners(self) -> None:
        """Wait until every shard is owned, promised and spread over the hosts."""
        total = len(DOMAINS) * (2 + 4)

        def settled() -> bool:
            owned = [owner for host in self.hosts for owner in _promised_owners(host)]
            ready = all(host.is_ready() for host in self.hosts)
            return ready and len(owned) == total

        await wait_until(settled, "an owner for every shard")

    def isolate(self, host: Host) -> None:
        """Cut a host off from every peer and from the platform."""
        host.cuts.replace(frozenset({"platform", *DOMAINS}))

    def heal(self, host: Host) -> None:
        """End the cuts of a host."""
        host.cuts.replace(frozenset())

    def owner_of(self, program: str) -> Host | None:
        """Return the host that owns a program, None while nobody does."""
        for host in self.hosts:
            for owner in _promised_owners(host):
                if program in owner.state.programs:
                    return host
        return None

    async def post(
        self, host: Host, path: str, body: object = None, **headers: str
    ) -> tuple[int, dict, object]:
        """Return status, headers and JSON body of a POST as kiosk's caller."""
        return await self.send("POST", host, path, body, headers)

    async def send(
        self, method: str, host: Host, path: str, body: object, headers: dict
    ) -> tuple[int, dict, object]:
        named = {"Authorization": f"Bearer {self.keys['kiosk']}"}
        for name, value in headers.items():
            named[name.replace("_", "-")] = value
        url = f"http://{host.settings.caller_address}{path}"
        raw = body if isinstance(body, bytes) else None
        data = None if isinstance(body, bytes) else body
        async with self.session.request(
            method, url, json=data, data=raw, headers=named
        ) as response:
            answer = await response.json(content_type=None)
            return response.status, dict(response.headers), answer

    async def open_program(self, host: Host, **headers: str) -> str:
        status, _, report = await self.post(host, "/v1/programs", **headers)
        assert status == 201, report
        return report["id"]

    async def send_turn(
        self, host: Host, program: str, text: str, **headers: str
    ) -> tuple[int, dict, object]:
        body = {"model": "m", "messages": [{"role": "user", "content": text}]}
        named = {"X_Celerypulley_Program": program, **headers}
        return await self.post(host, "/v1/chat/completions", body, **named)

    async def read_json(self, address: Address, path: str) -> dict:
        async with self.session.get(f"http://{address}{path}") as response:
            return await response.json(content_type=None)

    async def set_faults(self, address: Address, **faults: object) -> None:
        async with self.session.post(f"http://{address}/faults", json=faults) as answer:
            assert answer.status == 200, await answer.text()


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
    """Run hosts, engines, a plain service and the key-value service."""
    options = engine_options or EngineOptions(models=("m",), speed=20.0, load_lag_ms=0)
    clock = Clock()
    runners = []
    kv_runner, platform = await start_app(make_kv_app(clock))
    runners.append(kv_runner)
    engine_addresses = []
    for _ in range(engines):
        runner, address = await start_app(
            make_engine_app(EngineLimits(), options, clock)
        )
        runners.append(runner)
        engine_addresses.append(address)
    plain_runner, plain = await start_app(make_plain_app())
    runners.append(plain_runner)
    async with aiohttp.ClientSession() as session:
        link = PlatformLink(f"http://{platform}", session, CutTable())
        store = ConfigurationStore(link, clock)
        declaration = make_declaration(engine_addresses, plain, **limits)
        await commands.apply_declaration(store, declaration, "for a test")
        made = Deployment(
            session, platform, engine_addresses, plain, declaration, store
        )
        for name in ("kiosk", "other"):
            made.keys[name] = (await commands.give_key(store, name))[-1]
        try:
            await asyncio.gather(*(made.add_host(number) for number in range(hosts)))
            await made.wait_for_owners()
            yield made
        finally:
            for host in made.hosts:
                host.cuts.replace(frozenset({"platform"}))
            await asyncio.gather(*(host.stop() for host in made.hosts))
            for runner in runners:
                await runner.cleanup()
