"""A stand-in for a backend server of the platform, with fault injection.

Request bodies are opaque to it. Responses carry the request's identifier and a seal.
"""

import asyncio
import enum
import socket
import struct
from collections.abc import Callable

import attrs

from celerypulley.stand_ins.invalid_responses import invalid_response

__all__ = ["Mode", "OpaqueServer", "ReceivedRequest", "Script"]

_DEFAULT_EVENT_COUNT = 4


class Mode(enum.Enum):
    """How the server responds to a request.

    SHED and OTHER_INSTANCE state that the request was not executed. The body of a
    CLOSE_DELIMITED response ends with the connection. EXTRA_RESPONSE sends a second
    response after the right one, EARLIER_RESPONSE one with another request's
    identifier before it. REPEATED_REFUSAL sends the last refusal on the connection once
    more before the right response, NAMELESS_REFUSAL the same without its identifier.
    CUT_SHORT sends the first bytes of `cut_response` and ends the connection.
    INVALID sends the entry of `INVALID_RESPONSES` that `invalid_response` names, and
    keeps the connection open. CRASH ends the server, so that it refuses connections
    until it is started again.
    The ENDLESS modes repeat bytes until the caller closes the connection.
    """

    COMPLETE = "whole"
    STREAM = "stream"
    SHED = "shed"
    OTHER_INSTANCE = "other instance"
    ERROR = "error"
    RESET = "reset"
    CRASH = "crash"
    CLOSE = "close"
    TRUNCATED = "truncated"
    CUT_SHORT = "cut short"
    INVALID = "invalid head"
    RESET_WITHIN_EVENT = "within an event"
    HANG_WITHIN_EVENT = "silent within an event"
    CLOSE_DELIMITED = "unframed"
    CLOSE_DELIMITED_RESET = "unframed, then reset"
    NO_SEAL = "no seal"
    NOT_HTTP = "not http"
    HANG = "hang"
    EXTRA_RESPONSE = "extra answer"
    EARLIER_ANNOUNCEMENT = "announcement in an answer to an earlier request"
    EXTRA_ANNOUNCEMENT = "announcement in an extra answer"
    EARLIER_RESPONSE = "answer to an earlier request first"
    REPEATED_REFUSAL = "an earlier refusal once more first"
    NAMELESS_REFUSAL = "a refusal without identifier first"
    ENDLESS_BYTES = "endless bytes that are not http"
    ENDLESS_LINES = "endless empty lines"
    ENDLESS_INTERIM = "endless interim responses"
    ENDLESS_HEADER = "endless header line"
    ENDLESS_HEADERS = "endless header lines"
    ENDLESS_BODY = "endless body"
    ENDLESS_EARLIER = "endless body of an answer to an earlier request"
    ENDLESS_AFTERWARDS = "endless answers after the right one"


_ENDLESS_CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
_CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Seal: s\r\n"
_SEALED_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer-Seal: s\r\n"
# The bytes that come first, with REQUEST_ID for the identifier, and those repeated.
_ENDLESS: dict[Mode, tuple[str, bytes]] = {
    Mode.ENDLESS_BYTES: ("", b"no response" * 1_000),
    Mode.ENDLESS_LINES: ("", b"\r\n" * 5_000),
    Mode.ENDLESS_INTERIM: ("", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    Mode.ENDLESS_HEADER: ("HTTP/1.1 200 OK\r\nX: ", b"x" * 10_000),
    Mode.ENDLESS_HEADERS: ("HTTP/1.1 200 OK\r\n", b"X: x\r\n" * 1_000),
    Mode.ENDLESS_BODY: (
        f"{_CHUNKED_HEAD}Request-Id: REQUEST_ID\r\n\r\n",
        _ENDLESS_CHUNK,
    ),
    Mode.ENDLESS_EARLIER: (f"{_CHUNKED_HEAD}Request-Id: other\r\n\r\n", _ENDLESS_CHUNK),
    Mode.ENDLESS_AFTERWARDS: (
        f"{_SEALED_HEAD}Request-Id: REQUEST_ID\r\n\r\nright",
        f"{_SEALED_HEAD}\r\nwrong".encode() * 200,
    ),
}


@attrs.frozen
class ReceivedRequest:
    """A request as received, with header names in lower case."""

    request_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the Request-Id header, empty if there is none."""
        return self.headers.get("request-id", "")


@attrs.frozen
class Script:
    """The bytes that a server sends for one request, as functions of that request.

    `response(request)` is sent in one write after `wait_s`. `late(request)` follows
    `late_after_s` after it, or else, if that is None, as soon as the next request on
    the connection has arrived, before the response to that one.
    """

    response: Callable[[ReceivedRequest], bytes]
    late: Callable[[ReceivedRequest], bytes] | None = None
    late_after_s: float | None = None
    wait_s: float = 0.0


@attrs.define(eq=False)
class OpaqueServer:
    """One server and the requests that it received.

    Each request uses up one of `next_scripts`, or else one of `next_modes`; after
    these, `mode` applies. A response begins after `response_delay_s`. Streams have
    `event_count` events, `event_interval_s` apart. `cut_response` is a response, the
    number of its bytes that are sent, and whether a reset follows. `client_disconnects`
    counts connections that end within a request or its response. `added_headers` are
    lines in the head of every response, such as that the server leaves. `load` is the
    value of its `Server-Load`. `invalid_writers` are the open connections that got an
    invalid response.
    """

    name: str
    mode: Mode = Mode.COMPLETE
    next_modes: list[Mode] = attrs.Factory(list)
    next_scripts: list[Script] = attrs.Factory(list)
    event_count: int = _DEFAULT_EVENT_COUNT
    event_interval_s: float = 0.0
    response_delay_s: float = 0.0
    received: list[ReceivedRequest] = attrs.Factory(list)
    client_disconnects: int = 0
    endless_bytes_sent: int = 0
    connection_count: int = 0
    crash_count: int = 0
    cut_response: tuple[bytes, int, bool] = (b"", 0, False)
    invalid_response: str = "status 000 with a body"
    added_headers: tuple[str, ...] = ()
    load: str = "1,0,8"
    address: str = ""
    _server: asyncio.Server | None = None
    invalid_writers: set = attrs.Factory(set)
    _writers: set = attrs.Factory(set)
    _late_tasks: set = attrs.Factory(set)
    _owed: dict[asyncio.StreamWriter, bytes] = attrs.Factory(dict)
    _last_refusals: dict[asyncio.StreamWriter, bytes] = attrs.Factory(dict)

    async def start(self) -> None:
        """Listen on the port of the last start, or else on a free one of loopback."""
        ip, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(self._serve_connection, ip, int(port))
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        assert self._server is not None, "the server has not been started"
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """End as a killed process does: refuse connections and reset the open ones."""
        assert self._server is not None, "the server has not been started"
        self.crash_count += 1
        self._server.close()
        for writer in list(self._writers):
            if not writer.is_closing():
                _reset_connection(writer)

    @property
    def is_listening(self) -> bool:
        """Return whether the server has been started and has not ended since."""
        return self._server is not None and self._server.is_serving()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert self._server is not None, "the server has been started"
        if not self._server.is_serving():  # it ended after the connection was accepted
            _reset_connection(writer)
            return
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            self.client_disconnects += 1
        finally:
            self._writers.discard(writer)
            self.invalid_writers.discard(writer)
            self._last_refusals.pop(writer, None)
            self._owed.pop(writer, None)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return False  # closed between two requests
        request_line, *header_lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for header_line in header_lines:
            name, separator, value = header_line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = ReceivedRequest(request_line, headers, body)
        self.received.append(request)
        if writer in self._owed:
            writer.write(self._owed.pop(writer))
            await writer.drain()
        if self.next_scripts:
            await self._play(self.next_scripts.pop(0), request, writer)
            return True
        mode = self.next_modes.pop(0) if self.next_modes else self.mode
        await asyncio.sleep(self.response_delay_s)
        return await self._respond(mode, request, writer)

    async def _play(
        self, script: Script, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(script.wait_s)
        writer.write(script.response(request))
        await writer.drain()
        if script.late is None:
            return
        late = script.late(request)
        if script.late_after_s is None:
            self._owed[writer] = late
            return
        task = asyncio.create_task(_write_later(writer, late, script.late_after_s))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def _respond(
        self, mode: Mode, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        complete = self._complete_response(
            200, request.request_id, b"the answer of " + request.body
        )
        if mode in (Mode.STREAM, Mode.RESET_WITHIN_EVENT, Mode.HANG_WITHIN_EVENT):
            return await self._respond_streaming(mode, request, writer)
        if mode in _ENDLESS:
            return await self._respond_endlessly(mode, request, writer)
        if mode is Mode.HANG:
            await asyncio.sleep(3_600)
        if mode is Mode.RESET:
            _reset_connection(writer)
            return False
        if mode is Mode.CRASH:
            self.crash()
            return False
        if mode is Mode.CLOSE:
            return False
        if mode is Mode.CUT_SHORT:
            whole, cut, is_reset = self.cut_response
            whole = whole.replace(b"REQUEST_ID", request.request_id.encode())
            writer.write(whole[:cut])
            await writer.drain()
            if is_reset:
                await asyncio.sleep(0.005)  # the bytes before a reset may be lost
                _reset_connection(writer)
            return False
        if mode is Mode.INVALID:
            self.invalid_writers.add(writer)
            writer.write(invalid_response(self.invalid_response, request.request_id))
            await writer.drain()
            return True
        if mode is Mode.TRUNCATED:
            writer.write(complete[:-3])
            await writer.drain()
            return False
        if mode in (Mode.CLOSE_DELIMITED, Mode.CLOSE_DELIMITED_RESET):
            writer.write(self._close_delimited_response(request))
            await writer.drain()
            if mode is Mode.CLOSE_DELIMITED_RESET:
                await asyncio.sleep(0.02)
                _reset_connection(writer)
            return False
        refusal = self._complete_response(503, request.request_id, b"full", True)
        repeated = self._last_refusals.get(writer, b"")
        self._last_refusals[writer] = refusal
        responses = {
            Mode.COMPLETE: complete,
            Mode.SHED: refusal,
            Mode.REPEATED_REFUSAL: repeated + complete,
            Mode.NAMELESS_REFUSAL: repeated.replace(b"Request-Id", b"Other") + complete,
            Mode.OTHER_INSTANCE: self._complete_response(
                421, request.request_id, b"", True
            ),
            Mode.ERROR: self._complete_response(500, request.request_id, b"broken"),
            Mode.NO_SEAL: complete.replace(b"Server-Seal", b"Other"),
            Mode.NOT_HTTP: b"these bytes are no answer\r\n\r\n",
            Mode.EXTRA_RESPONSE: complete
            + self._complete_response(200, request.request_id, b"again"),
            Mode.EARLIER_ANNOUNCEMENT: self._announcement("an-earlier-request")
            + complete,
            Mode.EXTRA_ANNOUNCEMENT: complete + self._announcement(request.request_id),
            Mode.EARLIER_RESPONSE: self._complete_response(
                200, "an-earlier-request", b"old"
            )
            + complete,
        }
        writer.write(responses[mode])
        await writer.drain()
        return True

    async def _respond_endlessly(
        self, mode: Mode, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        head, repeated = _ENDLESS[mode]
        writer.write(head.replace("REQUEST_ID", request.request_id).encode())
        if mode is Mode.ENDLESS_AFTERWARDS:
            await asyncio.sleep(0.1)  # the host returns the connection to its pool
        while not writer.is_closing():
            writer.write(repeated)
            await writer.drain()
            self.endless_bytes_sent += len(repeated)
            await asyncio.sleep(0)
        self.client_disconnects += 1
        return False

    def _complete_response(
        self, status: int, request_id: str, body: bytes, not_executed: bool = False
    ) -> bytes:
        head = [f"HTTP/1.1 {status} Reason", f"Request-Id: {request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", f"Content-Length: {len(body)}"]
        head += [f"Server-Load: {self.load}", *self.added_headers]
        if not_executed:
            head.append("Not-Executed: 1")
        return ("\r\n".join(head) + "\r\n\r\n").encode() + body

    def _announcement(self, request_id: str) -> bytes:
        response = self._complete_response(200, request_id, b"leaving")
        return response.replace(b"Server-Load", b"Server-Leaving: 1\r\nServer-Load")

    def _close_delimited_response(self, request: ReceivedRequest) -> bytes:
        head = ["HTTP/1.1 200 OK", f"Request-Id: {request.request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", "Connection: close"]
        return ("\r\n".join(head) + "\r\n\r\n").encode() + b"all of it"

    async def _respond_streaming(
        self, mode: Mode, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        head = ["HTTP/1.1 200 OK", f"Request-Id: {request.request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", "Transfer-Encoding: chunked"]
        head += ["Content-Type: text/event-stream", f"Server-Load: {self.load}"]
        head += self.added_headers
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.event_count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if mode is not Mode.STREAM and number == self.event_count // 2 + 1:
                _write_chunk(writer, event[: len(event) // 2])
                await writer.drain()
                await asyncio.sleep(3_600 if mode is Mode.HANG_WITHIN_EVENT else 0.02)
                _reset_connection(writer)
                return False
            _write_chunk(writer, event)
            await writer.drain()
            if self.event_interval_s:
                await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def _write_later(
    writer: asyncio.StreamWriter, data: bytes, wait_s: float
) -> None:
    await asyncio.sleep(wait_s)
    writer.write(data)


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a TCP reset instead of an orderly shutdown."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
