"""A stand-in for a plain service whose calls may not be repeated.

It counts how often each operation ran, so that a test can check that none ran twice.
"""

import asyncio
import time
from collections import Counter

import attrs
import orjson
from aiohttp import web

from celerypulley.stand_ins.invalid_responses import invalid_response

__all__ = ["make_plain_app"]


@attrs.define
class PlainFaults:
    """The faults to inject.

    `delay_ms` is the time an operation takes. `hang` never responds, and
    `fail_after_run` drops the connection; in both cases the operation has run.
    `fail_fast` responds with status 500 without running it. `invalid_response` names
    an entry of `INVALID_RESPONSES`, which is sent after the operation has run; the
    connection stays open.
    """

    delay_ms: float = 5.0
    hang: bool = False
    fail_after_run: bool = False
    fail_fast: bool = False
    invalid_response: str = ""


class PlainService:
    """Run operations and count them by the `id` field of the request body."""

    def __init__(self) -> None:
        """Start with all counts at zero and no faults."""
        self.run_counts: Counter[str] = Counter()
        self.header_names: set[str] = set()
        self.arrivals_ms: dict[str, list[float]] = {}
        self.faults = PlainFaults()

    async def run_operation(self, request: web.Request) -> web.Response:
        """Run one operation and respond with the number of its runs."""
        body = orjson.loads(await request.read())
        self.header_names.update(name.lower() for name in request.headers)
        if "organisation" in body:
            arrival_times_ms = self.arrivals_ms.setdefault(
                str(body["organisation"]), []
            )
            arrival_times_ms.append(time.monotonic() * 1_000)
        if self.faults.fail_fast:
            return web.json_response({"error": "failing"}, status=500)
        name = str(body["id"])
        self.run_counts[name] += 1
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.invalid_response and request.transport is not None:
            request_id = request.headers.get("X-Request-Id", "")
            request.transport.write(
                invalid_response(self.faults.invalid_response, request_id)
            )
        if self.faults.hang or self.faults.invalid_response:
            await asyncio.Event().wait()
        if self.faults.fail_after_run and request.transport is not None:
            request.transport.abort()
        return web.json_response({"id": name, "run": self.run_counts[name]})

    async def counts(self, _request: web.Request) -> web.Response:
        """Return the runs of each operation and the header names received."""
        return web.json_response(
            {"runs": dict(self.run_counts), "headers": sorted(self.header_names)}
        )

    async def arrivals(self, _request: web.Request) -> web.Response:
        """Return the arrival times of each organisation's operations, in ms."""
        return web.json_response(self.arrivals_ms)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults."""
        self.faults = PlainFaults(**orjson.loads(await request.read()))
        return web.json_response(attrs.asdict(self.faults))


def make_plain_app() -> web.Application:
    """Return an aiohttp application that serves a plain service."""
    service = PlainService()
    app = web.Application()
    app.router.add_get("/counts", service.counts)
    app.router.add_get("/arrivals", service.arrivals)
    app.router.add_post("/faults", service.set_faults)
    app.router.add_post("/{tail:.*}", service.run_operation)
    return app
