"""The HTTP server for operators: health, metrics, status, and cuts for tests."""

from collections.abc import Callable

import orjson
from aiohttp import web
from mode import Service

from celerypulley.hosts.metrics import HostMetrics
from celerypulley.links.cuts import CutTable
from celerypulley.settings import Address

__all__ = ["AdminServer"]


class AdminServer(Service):
    """Serve operators on a separate address."""

    def __init__(
        self,
        address: Address,
        metrics: HostMetrics,
        status: Callable[[], dict],
        is_ready: Callable[[], bool],
        cuts: CutTable | None,
    ) -> None:
        """Serve health, `is_ready`, `metrics` and `status` on `address`.

        `cuts` is None unless the settings allow faults; tests set it over HTTP.
        """
        super().__init__()
        self.address = address
        self.metrics = metrics
        self.status = status
        self.is_ready = is_ready
        self.cuts = cuts
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/status", self._status)
        if self.cuts is not None:
            app.router.add_post("/cuts", self._set_cuts)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.address.ip, self.address.port)
        await site.start()

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, _request: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(text=self.metrics.text(), content_type="text/plain")

    async def _status(self, _request: web.Request) -> web.Response:
        body = orjson.dumps(self.status())
        return web.Response(body=body, content_type="application/json")

    async def _set_cuts(self, request: web.Request) -> web.Response:
        assert self.cuts is not None, "the route exists only with a cut table"
        names = orjson.loads(await request.read())
        self.cuts.replace(frozenset(str(name) for name in names))
        return web.Response(text="ok\n")
