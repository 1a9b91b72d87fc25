"""One connection of a client: what it holds, and the time limits that it keeps.

aiohttp parses one request of a connection at a time. What comes meanwhile is kept
unparsed, and nothing further is read until its response is in the kernel.
"""

import asyncio
import re
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from celerypulley.client_limits.memory_account import (
    ClientCharge,
    Progress,
    head_memory_bytes,
    request_memory_bytes,
)
from celerypulley.links.client_policy import ClientPolicy
from celerypulley.links.server_connection import READ_AHEAD_BYTES

__all__ = ["WRITE_BYTES", "ClientProtocol", "protocol_of", "read_body"]

_HEAD_GRACE_MS = 500.0  # the head of a client inside the limit may be on its way
_REQUEST_LINE_BYTES = 4_096  # beside the header lines
_BARE_LAST_CHUNK = b"\r\n0\r\n\r\n"  # the end of a body in chunks without trailers
# No trailer looks like it, so the last match in a part of the body is the last chunk.
_LAST_CHUNK = re.compile(rb"\n0+(?:[;\s][^\n]*)?\n")
_BODY_COPIES = 2  # bodies are joined, then encoded
_PIECE_BYTES = 96  # of a chunk of a body beside its bytes, until it is taken
_HISTORY_COPIES = 3  # they are joined with the request, then encoded
_OUTPUT_COPIES = 2  # they are joined for the record
_RESPONSE_COPIES = 2  # they are joined, then written in parts
WRITE_BYTES = 128 * 1024  # aiohttp waits until a client has taken so much
_PARSED_AHEAD = 1
_UNBOUNDED = 2**31  # aiohttp's own queue; the parser emits one message at a time
# Of chunks, with their extensions, beyond the length of what they hold. Parsing takes a
# microsecond for each chunk.
_MAX_FRAMING_BYTES = 16 * 1024
_REASONS = {
    400: b"Bad Request",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
}


class ClientProtocol(RequestHandler):
    """aiohttp's server protocol, which charges what it holds to the account.

    `last_bytes` are the last bytes that came.
    """

    __slots__ = (
        "last_bytes",
        "_on_open",
        "_on_close",
        "_policy",
        "_charge",
        "_payload",
        "_has_ended",
        "_ahead",
        "_tail_bytes",
        "_head_wire_bytes",
        "_since_ms",
        "_untaken_bytes",
        "_untaken_ms",
        "_served_count",
    )

    def __init__(
        self,
        policy: ClientPolicy,
        on_open: Callable[["ClientProtocol"], None],
        on_close: Callable[["ClientProtocol"], None],
        manager: web.Server,
        **options: Any,
    ) -> None:
        """Create the protocol of a connection.

        `on_open` and `on_close` are called with it when that opens and closes.
        """
        super().__init__(manager, **options)
        self._max_msg_queue_size = _UNBOUNDED
        self._msg_queue_resume_size = -1  # reading goes on after the response
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=_PARSED_AHEAD,
        )
        self.last_bytes = b""
        self._on_open = on_open
        self._on_close = on_close
        self._policy = policy
        self._charge = ClientCharge(is_closed=True)
        self._payload: StreamReader | None = None  # of the request that is open
        self._has_ended = False  # the response of the open request
        self._ahead = b""  # read and not yet given to the parser
        self._tail_bytes = 0  # given to the parser, which keeps them
        self._head_wire_bytes = 0
        # Of the head, the last byte of a body, or the last response.
        self._since_ms = 0.0
        self._untaken_bytes = 0
        self._untaken_ms = 0.0
        self._served_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection's charge."""
        super().connection_made(transport)
        self._charge = self._policy.open(self._abort)
        self._since_ms = self._policy.clock.now_ms()
        self._on_open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Close the connection's charge."""
        super().connection_lost(exc)
        self._policy.close(self._charge)
        self._on_close(self)
        self._ahead = b""

    def data_received(self, data: bytes) -> None:
        """Parse `data`, or keep it while an earlier request is served."""
        if self._force_close or self._close:
            return
        kept_bytes = len(_BARE_LAST_CHUNK)
        self.last_bytes = (self.last_bytes + data[-kept_bytes:])[-kept_bytes:]
        if self._is_complete():
            if not data:  # aiohttp asks for more of a body
                return
            self._ahead += data
            self._pause_reading_for_buffer()
            self._charge.progress = Progress.UNTAKEN
            self._policy.change(
                self._charge, ahead_bytes=self._charge.ahead_bytes + len(data)
            )
            return
        self._feed(data)

    def may_read(self) -> bool:
        """Return whether what comes next can be taken."""
        return not (self._reading_paused or self._buffer_paused)

    def _is_complete(self) -> bool:
        return self._payload is not None and self._payload.is_eof()

    def _feed(self, data: bytes) -> None:
        """Parse `data` and charge what has been parsed."""
        body_before = self._payload.total_bytes if self._payload is not None else 0
        super().data_received(data)
        now_ms = self._policy.clock.now_ms()
        charge = self._charge
        if self._force_close:
            return
        if self._payload is None and self._messages:
            self._open_request(len(data))
            self._charge_trailers(data, has_other=True)
        elif self._payload is not None:
            body_bytes = self._payload.total_bytes - body_before
            self._tail_bytes += max(0, len(data) - body_bytes)
            self._charge_trailers(data, has_other=body_bytes > 0)
        if self._force_close:  # closed for what it holds
            return
        if self._payload is None:
            if not data:
                return
            if not self._head_wire_bytes:
                self._since_ms = now_ms
            self._head_wire_bytes += len(data)
            memory = head_memory_bytes(data.count(b"\n"), len(data))
            self._tail_bytes = 0
            if self._head_wire_bytes > self._header_limit():
                self._refuse(431, f"a head of over {self._header_limit()} bytes")
                return
            self._policy.change(charge, head_bytes=charge.head_bytes + memory)
            return
        self._since_ms = now_ms
        if self._has_ended:
            if self._payload.is_eof():
                self._end_request()
            return
        if self._payload.is_eof():
            if charge.progress is Progress.INCOMPLETE:
                charge.progress = Progress.RUNNING
        elif self._tail_bytes > _MAX_FRAMING_BYTES + self._payload.total_bytes:
            self._refuse(400, "its body is in too many or too long chunks", "body")
            return
        if self._payload is not EMPTY_PAYLOAD:
            pieces_bytes = _PIECE_BYTES * len(self._payload._buffer)
            body_bytes = _BODY_COPIES * self._payload.total_bytes
            self._policy.change(charge, body_bytes=body_bytes + pieces_bytes)

    def _charge_trailers(self, data: bytes, has_other: bool) -> None:
        """Charge the trailers in `data`, which the parser keeps like header lines.

        `has_other` tells whether a part of the head or the body comes before them.
        """
        if self._payload is EMPTY_PAYLOAD:
            return
        chunk_ends = self._payload._http_chunk_splits
        if chunk_ends is None:
            return
        if self._payload.total_bytes != (chunk_ends[-1] if chunk_ends else 0):
            return  # within a chunk
        start = 0
        for last_chunk in _LAST_CHUNK.finditer(data):
            start = last_chunk.end()
        if has_other and not start:
            return
        lines = data.count(b"\n", start)
        memory = head_memory_bytes(lines, len(data) - start)
        held = self._charge.head_bytes + memory
        self._policy.change(self._charge, head_bytes=held)

    def _header_limit(self) -> int:
        return self._policy.limits().max_header_bytes + _REQUEST_LINE_BYTES

    def _open_request(self, read_bytes: int) -> None:
        """Charge the head of the request that was parsed from `read_bytes` more."""
        message, self._payload = self._messages[-1]
        self._has_ended = False
        self._served_count += 1
        if not isinstance(message, RawRequestMessage):
            return
        lines = message.raw_headers
        wire_bytes = sum(len(name) + len(value) + 4 for name, value in lines)
        wire_bytes += len(message.path)
        available = self._tail_bytes + self._head_wire_bytes + read_bytes
        self._tail_bytes = max(0, available - wire_bytes - self._payload.total_bytes)
        self._head_wire_bytes = 0
        if wire_bytes > self._header_limit():
            self._payload = EMPTY_PAYLOAD
            reason = f"a head of {wire_bytes} bytes"
            error = _ErrInfo(431, LineTooLong(reason.encode(), 0), reason)
            self._messages[-1] = (error, EMPTY_PAYLOAD)
            return
        self._policy.change(
            self._charge,
            head_bytes=request_memory_bytes(len(lines), wire_bytes),
            ahead_bytes=self._tail_bytes,
        )

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response to its end, then go on with what came meanwhile."""
        result = await super().finish_response(request, resp, start_time)
        self._has_ended = True
        if self.transport is not None and self._is_complete():
            self._end_request()
        return result

    def _end_request(self) -> None:
        """Drop the charges of the request and parse what came meanwhile."""
        ahead, self._ahead = self._ahead, b""
        self._payload = None
        self._has_ended = False
        self._charge.progress = Progress.INCOMPLETE
        self._since_ms = self._policy.clock.now_ms()
        self._policy.change(
            self._charge,
            head_bytes=0,
            body_bytes=0,
            history_bytes=0,
            response_bytes=0,
            stream_bytes=0,
            ahead_bytes=self._tail_bytes + len(ahead),
        )
        if self._force_close or self._close or self.transport is None:
            return
        if self._messages:  # an error behind the request's body
            self._open_request(0)
            return
        self._feed(ahead)
        self._resume_reading_for_buffer()

    def pause_writing(self) -> None:
        """Note that the client does not read its response."""
        super().pause_writing()
        if self._charge.progress is Progress.RUNNING:
            self._charge.progress = Progress.UNTAKEN

    def resume_writing(self) -> None:
        """Note that the client has read its response."""
        super().resume_writing()
        is_waiting = self._charge.progress is Progress.UNTAKEN
        if is_waiting and not self._ahead:
            self._charge.progress = Progress.RUNNING

    def hold_history(self, count: int) -> bool:
        """Charge `count` more bytes of a history, if there is room for them."""
        added = _HISTORY_COPIES * count
        if not self._policy.account.fits(added):
            self._policy.record("memory", f"no history of {count} bytes fits")
            return False
        held = self._charge.history_bytes + added
        self._policy.change(self._charge, history_bytes=held)
        return True

    def hold_output(self, count: int) -> None:
        """Charge `count` more bytes of a response that are kept for its history."""
        held = self._charge.history_bytes + _OUTPUT_COPIES * count
        self._policy.change(self._charge, history_bytes=held)

    def hold_stream(self, pending_bytes: int) -> None:
        """Charge what is kept of a stream that is being forwarded.

        That is `pending_bytes` of an unfinished event, what its server may send before
        it is read on and, if the client doesn't read, the write buffer.
        """
        held = pending_bytes + READ_AHEAD_BYTES
        if self.writing_paused and self.transport is not None:
            held += self.transport.get_write_buffer_size()
        if held != self._charge.stream_bytes:
            self._policy.change(self._charge, stream_bytes=held)

    async def reserve_response(self, count: int) -> None:
        """Wait until there is room for a response of `count` bytes, and charge it."""
        await self._policy.reserve(self._charge, _RESPONSE_COPIES * count)

    def hold_response(self, count: int) -> None:
        """Charge a response of which `count` bytes are kept until it is taken."""
        held = max(self._charge.response_bytes, _RESPONSE_COPIES * count)
        if held > self._charge.response_bytes:
            self._policy.change(self._charge, response_bytes=held)

    def keep_response(self, count: int) -> None:
        """Charge a response of `count` bytes that is complete and being written."""
        self._policy.change(self._charge, response_bytes=count)

    def has_room(self, body_bytes: int = 0) -> bool:
        """Return whether the account allows this connection's request to run.

        `body_bytes` are those of its body that are still to come.
        """
        account = self._policy.account
        if body_bytes and not account.fits(_BODY_COPIES * body_bytes):
            self._policy.record("memory", f"no body of {body_bytes} bytes fits")
            return False
        if not account.is_exceeded:
            return True
        self._policy.record("memory", "no request of ordinary size fits any more")
        return False

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to invalid bytes, with one line in the log."""
        is_lost = self.transport is None or self._force_close
        if is_lost and isinstance(exc, OSError | HttpProcessingError):
            return web.Response(status=400)  # which cannot be sent
        if not isinstance(exc, HttpProcessingError | RequestPayloadError):
            return super().handle_error(request, status, exc, message)
        kind = "head" if isinstance(exc, LineTooLong) else "invalid"
        self._policy.record(
            kind, f"{type(exc).__name__} at request {self._served_count}"
        )
        if request.writer.output_size > 0:
            raise ConnectionError("a response has begun")
        status = 431 if isinstance(exc, LineTooLong) else 400
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def end_if_overdue(self, now_ms: float, is_full: bool) -> None:
        """Close a connection that has kept to no time limit.

        With `is_full` set, that also holds for one without a request.
        """
        limits = self._policy.limits()
        waited_ms = now_ms - self._since_ms
        if self._payload is None:
            if self._head_wire_bytes:
                if waited_ms > limits.header_timeout_ms + _HEAD_GRACE_MS:
                    self._refuse(408, "its head was not complete in time")
                return
            limit_ms = limits.idle_timeout_ms
            if not self._served_count:
                limit_ms = limits.header_timeout_ms + _HEAD_GRACE_MS
            if is_full and waited_ms > limit_ms:
                self._policy.record("idle", "others wait to be accepted")
                self.force_close()
            return
        if not self._payload.is_eof():
            if waited_ms > limits.idle_timeout_ms and not self._has_ended:
                self._refuse(408, "its body was not complete in time", "body")
            return
        self._check_untaken(now_ms, limits.idle_timeout_ms)

    def _check_untaken(self, now_ms: float, limit_ms: float) -> None:
        if self.transport is None:
            return
        untaken_bytes = self.transport.get_write_buffer_size()
        if not self._untaken_bytes or untaken_bytes < self._untaken_bytes:
            self._untaken_ms = now_ms
        self._untaken_bytes = untaken_bytes
        if untaken_bytes and now_ms - self._untaken_ms > limit_ms:
            self._policy.record("response", f"{untaken_bytes} bytes were not read")
            self._abort()

    def _refuse(self, status: int, reason: str, kind: str = "head") -> None:
        """Close the connection with a response; no request of it is being served."""
        self._policy.record(kind, reason)
        if self.transport is not None:
            self.transport.write(
                b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                % (status, _REASONS[status])
            )
        self._drop_body()
        self.force_close()

    def _drop_body(self) -> None:
        """Free what the handler has not taken of a body, and tell it so."""
        if self._payload is None or self._payload is EMPTY_PAYLOAD:
            return
        self._payload.set_exception(ConnectionResetError("closed"))
        self._payload._buffer.clear()
        if self._payload._http_chunk_splits is not None:
            self._payload._http_chunk_splits.clear()

    def _abort(self) -> None:
        """Close the connection and drop what it holds.

        The event loop reports the close only after it has read all other connections.
        """
        self._force_close = True
        self._parser = None
        self._ahead = b""
        self._drop_body()
        if self._messages:  # aiohttp has been told that it is there
            error = _ErrInfo(503, HttpProcessingError(message="closed"), "closed")
            self._messages[-1] = (error, EMPTY_PAYLOAD)
        if self.transport is not None:
            self.transport.abort()


def protocol_of(request: web.BaseRequest) -> ClientProtocol:
    """Return the protocol of the connection that a request came on."""
    protocol = request.protocol
    assert isinstance(protocol, ClientProtocol), "the server creates no others"
    return protocol


async def read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return the complete body, or None if it exceeds `limit` bytes."""
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > limit:
        return None
    chunks: list[bytes] = []
    size = 0
    try:
        while True:
            try:
                chunk = await request.content.readany()
            except RuntimeError as error:  # aiohttp's for a connection that has closed
                raise ConnectionResetError(str(error)) from error
            if not chunk:
                error = request.content.exception()
                if error is not None:  # what had come may have been dropped
                    raise error
                return b"".join(chunks)
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
    finally:
        # aiohttp's exception for a lost connection refers to this frame and would keep
        # them until the next collection of cycles.
        chunks.clear()
