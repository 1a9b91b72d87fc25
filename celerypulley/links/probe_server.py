"""The HTTP server for the load balancer's readiness check and for metrics."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from celerypulley.links.client_connections import ClientConnections
from celerypulley.links.client_policy import ClientPolicy

__all__ = ["ProbeServer"]

_MAX_CONNECTIONS = 32


class ProbeServer(Service):
    """Serve plain-text pages by path, each produced by its own function."""

    def __init__(
        self,
        ip: str,
        port: int,
        pages: dict[str, Callable[[], tuple[int, str]]],
        policy: ClientPolicy,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        """Serve `pages`, which maps paths to functions that return status and text.

        `policy` limits what at most `max_connections` clients may hold.
        """
        super().__init__()
        self.pages = pages
        self.connections = ClientConnections(ip, port, max_connections, policy)
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        server = web.Server(self._respond, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        self.connections.start(server)

    async def on_stop(self) -> None:
        """Close the socket."""
        await self.connections.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        page = self.pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        status, text = page()
        return web.Response(status=status, text=text)
