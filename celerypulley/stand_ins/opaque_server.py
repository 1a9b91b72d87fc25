"""A stand-in for a platform's backend server: opaque requests, and ways to fail."""

import asyncio
import enum
import socket
import struct

import attrs

__all__ = ["Mode", "OpaqueServer", "SeenRequest"]

_DEFAULT_EVENTS = 4


class Mode(enum.Enum):
    """How the server answers."""

    WHOLE = "whole"
    STREAM = "stream"
    SHED = "shed"
    OTHER_INSTANCE = "other instance"
    ERROR = "error"
    RESET = "reset"
    CLOSE = "close"
    TRUNCATED = "truncated"
    WITHIN_EVENT = "within an event"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed, then reset"
    NO_SEAL = "no seal"
    NOT_HTTP = "not http"
    HANG = "hang"
    EXTRA = "extra answer"
    EARLIER_ANSWER = "answer to an earlier request first"


@attrs.frozen
class SeenRequest:
    """One request as it arrived."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the request's identifier."""
        return self.headers.get("request-id", "")


@attrs.define(eq=False)
class OpaqueServer:
    """One server; `modes` are used up one a request, then `mode` holds."""

    name: str
    mode: Mode = Mode.WHOLE
    modes: list[Mode] = attrs.Factory(list)
    events: int = _DEFAULT_EVENTS
    pause_s: float = 0.0
    seen: list[SeenRequest] = attrs.Factory(list)
    left_early: int = 0
    connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set = attrs.Factory(set)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the socket and every connection."""
        assert self._server is not None, "started first"
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            self.left_early += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rows = head.decode("latin-1").split("\r\n")
        headers = {}
        for row in rows:
            name, separator, value = row.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = SeenRequest(line, headers, body)
        self.seen.append(request)
        mode = self.modes.pop(0) if self.modes else self.mode
        return await self._answer(mode, request, writer)

    async def _answer(
        self, mode: Mode, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> bool:
        whole = self._whole(200, request.request_id, b"the answer of " + request.body)
        if mode is Mode.STREAM or mode is Mode.WITHIN_EVENT:
            return await self._stream(mode, request, writer)
        if mode is Mode.HANG:
            await asyncio.sleep(3_600)
        if mode is Mode.RESET:
            _reset(writer)
            return False
        if mode is Mode.CLOSE:
            return False
        if mode is Mode.TRUNCATED:
            writer.write(whole[:-3])
            await writer.drain()
            return False
        if mode in (Mode.UNFRAMED, Mode.UNFRAMED_RESET):
            writer.write(self._unframed(request))
            await writer.drain()
            if mode is Mode.UNFRAMED_RESET:
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        answers = {
            Mode.WHOLE: whole,
            Mode.SHED: self._whole(503, request.request_id, b"full", not_run=True),
            Mode.OTHER_INSTANCE: self._whole(421, request.request_id, b"", True),
            Mode.ERROR: self._whole(500, request.request_id, b"broken"),
            Mode.NO_SEAL: whole.replace(b"Server-Seal", b"Other"),
            Mode.NOT_HTTP: b"these bytes are no answer\r\n\r\n",
            Mode.EXTRA: whole + self._whole(200, request.request_id, b"again"),
            Mode.EARLIER_ANSWER: self._whole(200, "an-earlier-request", b"old") + whole,
        }
        writer.write(answers[mode])
        await writer.drain()
        return True

    def _whole(
        self, status: int, request_id: str, body: bytes, not_run: bool = False
    ) -> bytes:
        head = [f"HTTP/1.1 {status} Reason", f"Request-Id: {request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", f"Content-Length: {len(body)}"]
        head += ["Server-Load: 1,0,8"]
        if not_run:
            head.append("Not-Executed: 1")
        return ("\r\n".join(head) + "\r\n\r\n").encode() + body

    def _unframed(self, request: SeenRequest) -> bytes:
        head = ["HTTP/1.1 200 OK", f"Request-Id: {request.request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", "Connection: close"]
        return ("\r\n".join(head) + "\r\n\r\n").encode() + b"all of it"

    async def _stream(
        self, mode: Mode, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> bool:
        head = ["HTTP/1.1 200 OK", f"Request-Id: {request.request_id}"]
        head += [f"Server-Seal: seal-of-{self.name}", "Transfer-Encoding: chunked"]
        head += ["Content-Type: text/event-stream", "Server-Load: 1,0,8"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if mode is Mode.WITHIN_EVENT and number == self.events // 2 + 1:
                _write_chunk(writer, event[: len(event) // 2])
                await writer.drain()
                await asyncio.sleep(0.02)
                _reset(writer)
                return False
            _write_chunk(writer, event)
            await writer.drain()
            if self.pause_s:
                await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close so that the peer gets a reset instead of an ordinary end."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
