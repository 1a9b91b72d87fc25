"""The HTTP server for the load balancer's readiness check and for metrics."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

__all__ = ["ProbeServer"]


class ProbeServer(Service):
    """Serve plain-text pages by path, each produced by its own function."""

    def __init__(
        self, ip: str, port: int, pages: dict[str, Callable[[], tuple[int, str]]]
    ) -> None:
        """Serve `pages`, which maps paths to functions that return status and text."""
        super().__init__()
        self.ip = ip
        self.port = port
        self.pages = pages
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        server = web.Server(self._respond, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, self.port).start()

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        page = self.pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        status, text = page()
        return web.Response(status=status, text=text)
