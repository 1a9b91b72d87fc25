"""The HTTP server for callers whose requests are forwarded to servers."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from aiohttp import web
from mode import Service

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.links.caller_server import error_response
from celerypulley.links.client_connections import ClientConnections
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.client_protocol import WRITE_BYTES, protocol_of, read_body
from celerypulley.links.forward_dialect import Dialect
from celerypulley.links.header_text import sendable_text
from celerypulley.links.response_sink import CallerDisconnectedError
from celerypulley.programs.opaque_request import OpaqueRequest
from celerypulley.settings import Address

__all__ = ["ForwardServer", "ForwardSink"]

_MAX_HEADER_BYTES = 16_384  # the largest header that operators allow callers to send
_MAX_HEADER_LINES = _MAX_HEADER_BYTES // len("a:\r\n")
_IDLE_TIMEOUT_S = 75.0  # longer than any idle timeout that operators set, 15 s
_ABORT_TIMEOUT_S = 0.5  # for responses that are still being written
_MAX_LOGGED_CHARS = 100
_STREAM_BUFFER_BYTES = 16 * 1024  # of a stream; its server is read no further then
_STEPS_TO_HANDLER = 5  # of the event loop, from the bytes of a request to its handler
_NO_MEMORY = "this host has no memory left for further requests"
_BARE_LAST_CHUNK = b"\r\n0\r\n\r\n"  # the end of a body in chunks without trailers
_log = DecisionLog("callers")


class ForwardSink:
    """The response to one caller: complete, or a head followed by chunks.

    `chunk_count` and `body_bytes` are what has been written of a chunked body, and
    `caller_left` tells whether writing has failed.
    """

    def __init__(self, request: web.BaseRequest, closing: bool) -> None:
        """Respond to `request`; `closing` asks the caller to use another connection."""
        self.request = request
        self.closing = closing
        self.response: web.StreamResponse | None = None
        self.is_aborted = False
        self.caller_left = False
        self.chunk_count = 0
        self.body_bytes = 0
        self.body = b""  # of a long response, which is written in parts
        self._held_bytes = 0

    def hold_history(self, count: int) -> None:
        """Charge `count` more bytes of a history; raise CallRefusedError.

        It is refused, without having run, if the host has no memory for it.
        """
        if not protocol_of(self.request).hold_history(count):
            raise CallRefusedError.of(ErrorKind.OVERLOADED, _NO_MEMORY)

    def hold_output(self, count: int) -> None:
        """Charge `count` more bytes of a response that are kept for its history."""
        protocol_of(self.request).hold_output(count)

    def hold_response(self, count: int) -> None:
        """Charge `count` more bytes of a response that is read from a server."""
        self._held_bytes += count
        protocol_of(self.request).hold_response(self._held_bytes)

    async def reserve_response(self, length: int) -> None:
        """Wait until the host has room for a response of `length` bytes."""
        await protocol_of(self.request).reserve_response(length)

    async def respond(
        self,
        status: int,
        reason: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> None:
        """Set the complete response, which is sent once the handler returns."""
        self.hold_response(len(body) - self._held_bytes)
        text = sendable_text(reason)
        response: web.StreamResponse
        if len(body) > WRITE_BYTES:
            response = web.StreamResponse(status=status, reason=text)
            response.content_length = len(body)
            self.body = body
        else:
            response = web.Response(status=status, reason=text, body=body)
            response.headers.popall("Content-Type", None)
        self._add_headers(response, headers)
        self.response = response

    async def head(
        self, status: int, reason: str, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Send the head of a chunked response; raise CallerDisconnectedError."""
        response = web.StreamResponse(status=status, reason=sendable_text(reason))
        self._add_headers(response, headers)
        if self.request.version >= (1, 1):
            response.enable_chunked_encoding()
        self.response = response
        if self.request.transport is not None:
            self.request.transport.set_write_buffer_limits(high=_STREAM_BUFFER_BYTES)
        try:
            await response.prepare(self.request)
        except OSError as error:
            raise self._departed(error) from error

    async def chunk(self, data: bytes) -> None:
        """Send a chunk of the body, without waiting until the caller has taken it.

        Raise CallerDisconnectedError.
        """
        assert self.response is not None, "the head is sent before the body"
        try:
            await self.request.writer.write(data, drain=False)
        except OSError as error:
            raise self._departed(error) from error
        self.chunk_count += 1
        self.body_bytes += len(data)

    async def wait_until_taken(self, pending_bytes: int) -> None:
        """Wait while the caller doesn't read the stream; raise CallerDisconnectedError.

        `pending_bytes` are those of the stream that are kept, but not yet sent.
        """
        protocol = protocol_of(self.request)
        protocol.hold_stream(pending_bytes)
        if not protocol.writing_paused:
            return
        try:
            await self.request.writer.drain()
        except OSError as error:
            raise self._departed(error) from error
        protocol.hold_stream(pending_bytes)

    def _departed(self, error: OSError) -> CallerDisconnectedError:
        """Note that the caller has left, and return the error that says so."""
        self.caller_left = True
        return CallerDisconnectedError(str(error))

    def abort(self) -> None:
        """Close the connection so that a partial response cannot look complete."""
        self.is_aborted = True
        if self.request.transport is not None:
            self.request.transport.abort()

    def _add_headers(
        self, response: web.StreamResponse, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        for name, value in headers:
            text = value.decode("utf-8", "surrogateescape")
            response.headers.add(name.decode("latin-1"), sendable_text(text))
        if self.closing:
            response.force_close()
            response.headers["Connection"] = "close"


class ForwardServer(Service):
    """Serve callers on one address, with one aiohttp task for each connection."""

    def __init__(
        self,
        address: Address,
        dialect: Dialect,
        run: Callable[[OpaqueRequest, ForwardSink], Awaitable[Refusal | None]],
        body_limit: Callable[[], int],
        redirects_callers: Callable[[], bool],
        drain_ms: float,
        max_connections: int,
        policy: ClientPolicy,
        clock: Clock,
    ) -> None:
        """Pass decoded requests to `run`; it responds, or returns a refusal.

        `body_limit()` returns the current maximum size of a body in bytes.
        `redirects_callers()` returns whether callers should reconnect, so that they
        reach another host. `drain_ms` limits `drain`. `policy` limits what at most
        `max_connections` callers may hold.
        """
        super().__init__()
        self.address = address
        self.dialect = dialect
        self.run = run
        self.body_limit = body_limit
        self.redirects_callers = redirects_callers
        self.drain_ms = drain_ms
        self.clock = clock
        self.draining = False
        self.active = 0
        self._is_closing = False
        self._is_idle = asyncio.Event()
        self._is_idle.set()
        self._runner: web.ServerRunner | None = None
        self.connections = ClientConnections(
            address.ip, address.port, max_connections, policy
        )

    async def on_start(self) -> None:
        """Open the listening socket."""
        server = web.Server(
            self._serve_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_IDLE_TIMEOUT_S,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            max_headers=_MAX_HEADER_LINES,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=_ABORT_TIMEOUT_S)
        await self._runner.setup()
        self.connections.start(server)

    async def on_stop(self) -> None:
        """Drain the server, which closes the socket and every connection."""
        await self.drain()

    async def drain(self) -> None:
        """Close the socket, let active requests finish and close all connections.

        Requests that have not finished after `drain_ms` are aborted. Connections are
        read until no request is active, since aiohttp drops what arrives on one that it
        is closing, also the rest of a body. What was read before has its response.
        """
        runner, self._runner = self._runner, None
        if runner is None or runner.server is None:
            return
        await self.connections.stop_accepting()
        drain_s = self.drain_ms / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                await self._wait_until_idle()
                # Requests that were read by now are served, others not.
                runner.server.pre_shutdown()
                await runner.server.shutdown(drain_s)
        self._is_closing = True
        await runner.cleanup()
        await self.connections.stop()

    async def _wait_until_idle(self) -> None:
        """Wait until no request is active, nor one that was read before that."""
        while True:
            await self._is_idle.wait()
            for _ in range(_STEPS_TO_HANDLER):
                await asyncio.sleep(0)
            if not self.active:
                return

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        received_ms = self.clock.now_ms()
        sink = ForwardSink(request, self.draining or self.redirects_callers())
        self._count_active(1)
        try:
            response = await self._respond(request, sink, received_ms)
            if not sink.is_aborted and not await _finish(request, response, sink):
                _log_cut(sink, "caller", "it closed before the end of its response")
            return response
        except asyncio.CancelledError:
            ended_by = "stop" if self._is_closing else "caller"
            _log_cut(sink, ended_by, "its connection closed while its request ran")
            raise
        finally:
            self._count_active(-1)

    async def _respond(
        self, request: web.BaseRequest, sink: ForwardSink, received_ms: float
    ) -> web.StreamResponse:
        limit = self.body_limit()
        request_id = request.headers.get("Request-Id", "")
        if not protocol_of(request).has_room(request.content_length or 0):
            sink.closing = sink.closing or request.can_read_body  # which is not read
            refusal = Refusal(ErrorKind.OVERLOADED, _NO_MEMORY)
            return self._final_response(sink, refusal, request_id)
        await _send_continue(request)
        body = await read_body(request, limit)
        if _may_have_trailers(request):
            sink.closing = True
        if body is None:
            detail = f"the request body exceeds {limit} bytes"
            return self._final_response(
                sink, Refusal(ErrorKind.BODY_TOO_LARGE, detail), ""
            )
        if not protocol_of(request).has_room():
            refusal = Refusal(ErrorKind.OVERLOADED, _NO_MEMORY)
            return self._final_response(sink, refusal, request_id)
        decoded = self.dialect.decode(request, body, received_ms)
        refusal = await self.run(decoded, sink)
        return self._final_response(sink, refusal, decoded.request_id)

    def _count_active(self, change: int) -> None:
        self.active += change
        if self.active:
            self._is_idle.clear()
        else:
            self._is_idle.set()

    def _final_response(
        self, sink: ForwardSink, refusal: Refusal | None, request_id: str
    ) -> web.StreamResponse:
        if refusal is None and sink.response is not None:
            return sink.response
        if refusal is None:
            refusal = Refusal(
                ErrorKind.INTERNAL, "the handler ended without a response"
            )
        if sink.response is None:
            status = self.dialect.status_of.get(refusal.kind)
            response = error_response(refusal, request_id, sink.closing, status)
            if sink.closing:
                response.force_close()
            return response
        sink.abort()
        _log_cut(sink, "caller" if sink.caller_left else "host", refusal.detail)
        return sink.response


def _log_cut(sink: ForwardSink, ended_by: str, reason: str) -> None:
    """Log who ended a connection with a request under way, and what was written."""
    _log.write(
        "response cut",
        reason,
        request=sink.request.headers.get("Request-Id", "")[:_MAX_LOGGED_CHARS],
        ended_by=ended_by,
        head_sent=sink.response is not None and sink.response.prepared,
        chunks=sink.chunk_count,
        body_bytes=sink.body_bytes,
    )


async def _finish(
    request: web.BaseRequest, response: web.StreamResponse, sink: ForwardSink
) -> bool:
    """Return once all of a response is in the kernel; False if the caller has left.

    aiohttp finishes responses, too, but after the request has ended for this server.
    """
    if request.transport is None:
        return False
    request.transport.set_write_buffer_limits(high=0)
    try:
        await response.prepare(request)
        if sink.body and response is sink.response:
            protocol_of(request).keep_response(len(sink.body))
            for start in range(0, len(sink.body), WRITE_BYTES):
                await response.write(sink.body[start : start + WRITE_BYTES])
        await response.write_eof()
    except OSError:
        return False
    return True


async def _send_continue(request: web.BaseRequest) -> None:
    """Ask for the body where the caller sends it only then."""
    if request.version < (1, 1) or not request.can_read_body:
        return
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def _may_have_trailers(request: web.BaseRequest) -> bool:
    """Return whether a trailer may follow the body, or what was read of it.

    aiohttp's parser takes the last trailer for a header of the next request on the
    connection. Bytes of that request make the answer yes, too.
    """
    if "Transfer-Encoding" not in request.headers:
        return False
    return protocol_of(request).last_bytes != _BARE_LAST_CHUNK
