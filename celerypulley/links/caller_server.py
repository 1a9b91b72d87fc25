"""The HTTP server for callers, with one aiohttp task for each connection."""

import asyncio
import secrets
import ssl
from collections.abc import Awaitable, Callable

import orjson
from aiohttp import web
from mode import Service

from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import ERROR_RESPONSES, CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.entry import Caller, Entry
from celerypulley.hosts.metrics import HostMetrics
from celerypulley.hosts.program_rules import require_configuration
from celerypulley.links.client_connections import ClientConnections
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.client_protocol import WRITE_BYTES, protocol_of, read_body
from celerypulley.links.header_text import sendable_text
from celerypulley.links.peer_messages import OpenProgram, RunCall, RunTurn
from celerypulley.links.response_sink import CallerDisconnectedError
from celerypulley.settings import Address

__all__ = ["CallerServer", "error_response"]

_PROGRAM_HEADER = "X-Celerypulley-Program"
_TURN_HEADER = "X-Celerypulley-Turn"
_RECEIPT_HEADER = "X-Celerypulley-Receipt"
_PARENT_HEADER = "X-Celerypulley-Parent"
_BUDGET_HEADER = "X-Celerypulley-Budget-Tokens"
_IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_MAX_HEADER_CHARS = 200
_BODY = web.RequestKey("body", bytes)
_SHUTDOWN_POLL_S = 0.1
_NO_MEMORY = "this host has no memory left for the request"
_log = DecisionLog("caller")


class HttpSink:
    """A response to one HTTP caller."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        """Respond to `request`; `request_id` is sent as a header."""
        self.request = request
        self.request_id = request_id
        self.response: web.StreamResponse | None = None
        self._held_bytes = 0

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; raise CallerDisconnectedError."""
        all_headers = {**headers, "X-Request-Id": self.request_id}
        self.response = web.StreamResponse(status=status, headers=all_headers)
        if _is_chunked(self.request):
            self.response.force_close()
        try:
            await self.response.prepare(self.request)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None

    def hold_response(self, count: int) -> None:
        """Charge `count` more bytes of a response; raise CallerDisconnectedError."""
        self._held_bytes += count
        protocol_of(self.request).hold_response(self._held_bytes)
        # Handlers of this server go on after their caller's connection has closed.
        if self.request.transport is None:
            raise CallerDisconnectedError("the connection closed during the call")

    async def reserve_response(self, length: int) -> None:
        """Wait until the host has room for a response of `length` bytes."""
        await protocol_of(self.request).reserve_response(length)

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body; raise CallerDisconnectedError."""
        assert self.response is not None, "the head is sent before the body"
        if not data:
            return
        try:
            for start in range(0, len(data), WRITE_BYTES):
                await self.response.write(data[start : start + WRITE_BYTES])
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None


class CallerServer(Service):
    """Serve callers on one address."""

    def __init__(
        self,
        address: Address,
        entry: Entry,
        metrics: HostMetrics,
        clock: Clock,
        body_limit_bytes: int,
        shutdown_ms: int,
        max_connections: int,
        policy: ClientPolicy,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Pass authenticated requests to `entry`.

        `body_limit_bytes` limits the body of a request; `shutdown_ms` limits `drain`.
        `policy` limits what at most `max_connections` callers may hold.
        """
        super().__init__()
        self.address = address
        self.entry = entry
        self.metrics = metrics
        self.clock = clock
        self.body_limit_bytes = body_limit_bytes
        self.shutdown_ms = shutdown_ms
        self.policy = policy
        self.connections = ClientConnections(
            address.ip, address.port, max_connections, policy, tls
        )
        self.draining = False
        self.active_requests: dict[asyncio.Task, Caller | None] = {}
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        app = web.Application()
        app.router.add_post(
            "/v1/chat/completions", self._make_handler(self._complete_chat)
        )
        app.router.add_get("/v1/models", self._make_handler(self._list_models))
        app.router.add_post("/v1/programs", self._make_handler(self._open_program))
        app.router.add_get(
            "/v1/programs/{program}", self._make_handler(self._read_program)
        )
        app.router.add_delete(
            "/v1/programs/{program}", self._make_handler(self._close_program)
        )
        app.router.add_route("*", "/{tail:.*}", self._make_handler(self._call_plain))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        assert self._runner.server is not None, "the runner has been set up"
        self.connections.start(self._runner.server)

    async def on_stop(self) -> None:
        """Close the socket; call `drain` first to let requests finish."""
        await self.connections.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> None:
        """Refuse new requests and wait until the active ones have finished."""
        self.draining = True
        deadline_ms = self.clock.now_ms() + self.shutdown_ms
        while self.active_requests and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(_SHUTDOWN_POLL_S)

    def drop_withdrawn(self, configuration: Configuration) -> None:
        """Cancel the requests whose key has been withdrawn."""
        for task, caller in list(self.active_requests.items()):
            if caller is None or configuration.keys.is_in_force(caller.key_id):
                continue
            _log.write("request cancelled", "key withdrawn", key_id=caller.key_id)
            task.cancel()

    def _make_handler(
        self, handle: Callable[[web.Request, Caller, HttpSink], Awaitable[None]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handler(request: web.Request) -> web.StreamResponse:
            return await self._serve_request(request, handle)

        return handler

    async def _serve_request(
        self,
        request: web.Request,
        handle: Callable[[web.Request, Caller, HttpSink], Awaitable[None]],
    ) -> web.StreamResponse:
        started_ms = self.clock.now_ms()
        sink = HttpSink(request, secrets.token_hex(8))
        task = asyncio.current_task()
        assert task is not None, "a handler runs inside a task"
        self.active_requests[task] = None
        try:
            refusal = await self._run_handler(request, handle, sink, task)
            if refusal is None and sink.response is not None:
                self.active_requests[task] = None  # complete, so never cancelled
                await _finish_response(request, sink.response)
        finally:
            del self.active_requests[task]
        self.metrics.record_request(self.clock.now_ms() - started_ms, refusal)
        if refusal is None and sink.response is not None:
            return sink.response
        if refusal is None:
            refusal = Refusal(
                ErrorKind.OUTCOME_UNKNOWN, "the handler ended without a response"
            )
        if sink.response is None:
            response = error_response(refusal, sink.request_id, self.draining)
            if _is_chunked(request):
                response.force_close()
            return response
        _log.write("response aborted", refusal.detail, kind=refusal.kind.value)
        if request.transport is not None:
            request.transport.abort()
        return sink.response

    async def _run_handler(
        self,
        request: web.Request,
        handle: Callable[[web.Request, Caller, HttpSink], Awaitable[None]],
        sink: HttpSink,
        task: asyncio.Task,
    ) -> Refusal | None:
        try:
            if self.draining:
                raise CallRefusedError.of(
                    ErrorKind.SHUTTING_DOWN,
                    "this host is shutting down and accepts no new requests",
                )
            caller = self.entry.authenticate(_bearer_key(request))
            self.active_requests[task] = caller
            await self._read_body(request)
            await handle(request, caller, sink)
        except CallRefusedError as error:
            return error.refusal
        except CallerDisconnectedError as error:
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, str(error))
        except asyncio.CancelledError:
            return self._cancellation_refusal(task)
        return None

    async def _read_body(self, request: web.Request) -> None:
        """Read the body into the request; raise CallRefusedError."""
        protocol = protocol_of(request)
        if not protocol.has_room(request.content_length or 0):
            raise CallRefusedError.of(ErrorKind.OVERLOADED, _NO_MEMORY)
        body = await read_body(request, self.body_limit_bytes)
        if body is None:
            raise CallRefusedError.of(
                ErrorKind.BODY_TOO_LARGE,
                f"the request body exceeds {self.body_limit_bytes} bytes",
            )
        request[_BODY] = body
        if not protocol.has_room():
            raise CallRefusedError.of(ErrorKind.OVERLOADED, _NO_MEMORY)

    def _cancellation_refusal(self, task: asyncio.Task) -> Refusal:
        caller = self.active_requests.get(task)
        keys = require_configuration(self.entry.configuration).keys
        if caller is not None and not keys.is_in_force(caller.key_id):
            return Refusal(ErrorKind.KEY_REFUSED, "the key was withdrawn")
        raise asyncio.CancelledError

    async def _complete_chat(
        self, request: web.Request, caller: Caller, sink: HttpSink
    ) -> None:
        program = _single_header(request, _PROGRAM_HEADER)
        message = RunTurn(
            program=program,
            organisation=caller.organisation,
            turn=_integer_header(request, _TURN_HEADER),
            receipt=_single_header(request, _RECEIPT_HEADER),
            stream=False,
            body=request[_BODY],
            request_id=sink.request_id,
        )
        await self.entry.chat(caller, message, sink)

    async def _open_program(
        self, request: web.Request, caller: Caller, sink: HttpSink
    ) -> None:
        budget = _integer_header(request, _BUDGET_HEADER)
        if budget is not None and budget < 1:
            raise CallRefusedError.of(
                ErrorKind.BAD_REQUEST,
                f"{_BUDGET_HEADER} is {budget}; it must be above 0",
            )
        parent = _single_header(request, _PARENT_HEADER)
        message = OpenProgram(caller.organisation, budget or 0, parent)
        report = await self.entry.open_program(caller, message)
        await _send_json(sink, 201, report)

    async def _read_program(
        self, request: web.Request, caller: Caller, sink: HttpSink
    ) -> None:
        program = request.match_info["program"]
        await _send_json(sink, 200, await self.entry.read_program(caller, program))

    async def _close_program(
        self, request: web.Request, caller: Caller, sink: HttpSink
    ) -> None:
        program = request.match_info["program"]
        await _send_json(sink, 200, await self.entry.close_program(caller, program))

    async def _list_models(
        self, _request: web.Request, _caller: Caller, sink: HttpSink
    ) -> None:
        configuration = require_configuration(self.entry.configuration)
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": route.name}
            for route in configuration.routes.values()
            for model in route.models
        ]
        await _send_json(sink, 200, orjson.dumps({"object": "list", "data": models}))

    async def _call_plain(
        self, request: web.Request, caller: Caller, sink: HttpSink
    ) -> None:
        configuration = require_configuration(self.entry.configuration)
        route = configuration.route_of_path(request.path)
        if route is None or request.method != "POST":
            raise CallRefusedError.of(
                ErrorKind.UNKNOWN_ROUTE,
                f"no route serves {request.method} {request.path[:100]}",
            )
        message = RunCall(
            shard="",
            call="",
            organisation=caller.organisation,
            route=route.name,
            program=_single_header(request, _PROGRAM_HEADER),
            path=request.path,
            content_type=_single_header(request, "Content-Type"),
            body=request[_BODY],
            request_id=sink.request_id,
        )
        key = _single_header(request, _IDEMPOTENCY_KEY_HEADER)
        await self.entry.call_plain(caller, route, key, message, sink)


def error_response(
    refusal: Refusal,
    request_id: str,
    closing: bool = False,
    status: int | None = None,
) -> web.Response:
    """Return the HTTP response for a refusal.

    `closing` asks the caller to close the connection. `status` overrides the status
    that belongs to the kind of error.
    """
    request_id = sendable_text(request_id)
    headers = {
        "X-Request-Id": request_id,
        "X-Celerypulley-Run": refusal.run.value,
        "X-Celerypulley-Error": refusal.kind.value,
    }
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(refusal.retry_after_s)
    if closing:
        headers["Connection"] = "close"
    error = {
        "type": refusal.kind.value,
        "code": refusal.kind.value,
        "message": sendable_text(refusal.detail),
        "run": refusal.run.value,
        "request_id": request_id,
    }
    return web.Response(
        status=status or ERROR_RESPONSES[refusal.kind].status,
        body=orjson.dumps({"error": error}),
        content_type="application/json",
        headers=headers,
    )


def _is_chunked(request: web.Request) -> bool:
    """Return whether a trailer may follow the body of a request.

    aiohttp's parser takes the last one for a header of the next request on the
    connection, so that the connection may not be used again.
    """
    return "Transfer-Encoding" in request.headers


async def _finish_response(request: web.Request, response: web.StreamResponse) -> None:
    """Return once all of a response has been handed to the kernel."""
    if request.transport is not None:
        request.transport.set_write_buffer_limits(high=0)
    try:
        await response.write_eof()
    except OSError as error:
        _log.write("response not finished", str(error))


async def _send_json(sink: HttpSink, status: int, body: bytes) -> None:
    await sink.head(status, {"Content-Type": "application/json"})
    await sink.chunk(body)


def _bearer_key(request: web.Request) -> str:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise CallRefusedError.of(
            ErrorKind.KEY_REFUSED, "the Authorization header contains no bearer key"
        )
    return key.strip()


def _single_header(request: web.Request, name: str) -> str:
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise CallRefusedError.of(
            ErrorKind.BAD_REQUEST, f"{name} was sent more than once"
        )
    value = values[0] if values else ""
    if len(value) > _MAX_HEADER_CHARS:
        raise CallRefusedError.of(
            ErrorKind.BAD_REQUEST,
            f"{name} is longer than {_MAX_HEADER_CHARS} characters",
        )
    return value


def _integer_header(request: web.Request, name: str) -> int | None:
    value = _single_header(request, name)
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise CallRefusedError.of(
            ErrorKind.BAD_REQUEST, f"{name} is {value!r}, not a whole number"
        )
    return int(value)
