"""A stand-in for a plain service whose calls may not be repeated.

It counts what really ran, which is what at-most-once is judged by.
"""

import asyncio
import time
from collections import Counter

import attrs
import orjson
from aiohttp import web

__all__ = ["make_plain_app"]


@attrs.define
class PlainFaults:
    """What the stand-in does wrong at the moment."""

    delay_ms: float = 5.0
    hang: bool = False
    fail_after_run: bool = False
    fail_fast: bool = False


class PlainService:
    """Count each operation by the `id` field of its body."""

    def __init__(self) -> None:
        """Start with nothing run."""
        self.run_counts: Counter[str] = Counter()
        self.header_names: set[str] = set()
        self.arrivals_ms: dict[str, list[float]] = {}
        self.faults = PlainFaults()

    async def run_operation(self, request: web.Request) -> web.Response:
        """Run one operation: count it, wait, and answer with the count."""
        body = orjson.loads(await request.read())
        self.header_names.update(name.lower() for name in request.headers)
        if "organisation" in body:
            times = self.arrivals_ms.setdefault(str(body["organisation"]), [])
            times.append(time.monotonic() * 1_000)
        if self.faults.fail_fast:
            return web.json_response({"error": "failing"}, status=500)
        name = str(body["id"])
        self.run_counts[name] += 1
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.fail_after_run and request.transport is not None:
            request.transport.abort()
        return web.json_response({"id": name, "run": self.run_counts[name]})

    async def counts(self, _request: web.Request) -> web.Response:
        """Return how often each operation ran and the header names seen."""
        return web.json_response(
            {"runs": dict(self.run_counts), "headers": sorted(self.header_names)}
        )

    async def arrivals(self, _request: web.Request) -> web.Response:
        """Return when each named organisation's operations came, in ms."""
        return web.json_response(self.arrivals_ms)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change the faults (a switch for tests)."""
        self.faults = PlainFaults(**orjson.loads(await request.read()))
        return web.json_response(attrs.asdict(self.faults))


def make_plain_app() -> web.Application:
    """Return the service as an application that a runner can serve."""
    service = PlainService()
    app = web.Application()
    app.router.add_get("/counts", service.counts)
    app.router.add_get("/arrivals", service.arrivals)
    app.router.add_post("/faults", service.set_faults)
    app.router.add_post("/{tail:.*}", service.run_operation)
    return app
