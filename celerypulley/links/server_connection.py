"""Connections to backend servers that tell whether a request may have run.

A request is written in one piece and its response is parsed by aiohttp's parser. The
connection returns to the pool only after a complete response.
"""

import asyncio
import enum
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog

__all__ = [
    "Reachability",
    "ResponseHead",
    "ServerCall",
    "ServerCallError",
    "ServerLinks",
]

# A handshake takes 1 ms and the one-way latency is 1 to 3 ms (site sheets). A lost SYN
# is retransmitted only after 1 s, too late for most requests.
_CONNECT_TIMEOUT_S = 0.25
_MAX_IDLE_MS = 15_000.0  # longer idle connections occupy slots that busier hosts need
_IDLE_MARGIN_MS = 1_000.0  # before the keep-alive timeout that a server states
_DEFAULT_IDLE_MS = 1_000.0  # if no timeout is stated: the smallest that could be
_MAX_RESPONSES_READ = 3  # late responses to earlier requests are discarded
_MAX_HEADER_BYTES = 16_384  # the largest header that operators allow callers to send
_MAX_BYTES_BEFORE_HEAD = 1024 * 1024  # with late responses to earlier requests
_MAX_BODY_BYTES = 4 * 1024 * 1024  # a thirtieth of the memory of the smallest host
_log = DecisionLog("server-link")


class ServerCallError(Exception):
    """A call got no complete response.

    `sent` is False only if certainly no byte of the request reached the server.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        """Set the message to `detail`; see the class for `sent`."""
        super().__init__(detail)
        self.sent = sent


class Reachability(enum.Enum):
    """How a server's address answers a new connection."""

    ACCEPTS = "accepts connections"
    REFUSES = "refuses connections"
    SILENT = "does not answer"


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response, as the server sent them."""

    status: int
    reason: str
    headers: Any  # a case-insensitive multidict
    raw_headers: tuple[tuple[bytes, bytes], ...]
    should_close: bool


class _ServerProtocol(ResponseHandler):
    """aiohttp's client protocol with a limit on what a server may send.

    It also tells a reset from an orderly close. `bytes_left` is what the server may
    send; it is infinite from the head of a response to its end. `idle_address` is the
    server's address while no request is under way, and empty otherwise.
    """

    connection_error: BaseException | None = None
    bytes_left: float = _MAX_BYTES_BEFORE_HEAD
    idle_address: str = ""

    def data_received(self, data: bytes) -> None:
        """Parse `data`, or close the connection if the server sends too much."""
        if self.idle_address:
            _log.write(
                "bytes outside a request",
                f"{len(data)} bytes came while no request was under way",
                server=self.idle_address,
            )
            self.idle_address = ""
        self.bytes_left -= len(data)
        if self.bytes_left < 0:
            self.abort()
            return
        super().data_received(data)

    def abort(self) -> None:
        """Close the connection at once.

        The base class forgets the body first, so that its reader would never be woken.
        """
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Store the error that ended the connection, or None."""
        self.connection_error = exc
        super().connection_lost(exc)


@attrs.define(eq=False)
class _Connection:
    protocol: _ServerProtocol
    idle_since_ms: float
    idle_limit_ms: float = _DEFAULT_IDLE_MS
    requests_carried: int = 0

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the connection can carry another request."""
        if not self.protocol.is_connected() or self.protocol.should_close:
            return False
        return now_ms - self.idle_since_ms < self.idle_limit_ms


class ServerCall:
    """One request on one connection, until the end of its response."""

    def __init__(self, pool: "ServerLinks", address: str, connection: _Connection):
        """Use a connection that no other call uses, and return it to `pool`."""
        self.pool = pool
        self.address = address
        self.connection = connection
        self._payload: aiohttp.StreamReader | None = None
        self._head: ResponseHead | None = None
        self.is_released = False

    def send(self, request: bytes) -> None:
        """Write the complete request; raise ServerCallError if it cannot be written."""
        transport = self.connection.protocol.transport
        if transport is None or transport.is_closing():
            raise ServerCallError(
                "the connection closed before the request was sent", False
            )
        self.connection.protocol.bytes_left = _MAX_BYTES_BEFORE_HEAD
        self.connection.protocol.idle_address = ""
        transport.write(request)

    @property
    def requests_before(self) -> int:
        """Return how many requests the connection had carried before this one."""
        return self.connection.requests_carried

    async def read_head(
        self, request_id: str, find_mismatch: Callable[[Any, bool], str | None]
    ) -> ResponseHead:
        """Return the head of the response to the request; raise ServerCallError.

        `find_mismatch` returns why headers belong to another response, or None. It is
        also told whether the connection was used before. Responses to earlier requests
        are read and discarded.
        """
        is_reused = self.requests_before > 0
        try:
            for _ in range(_MAX_RESPONSES_READ):
                message, payload = await self.connection.protocol.read()
                if message.code < 200:
                    continue
                mismatch = find_mismatch(message.headers, is_reused)
                if mismatch is None:
                    self.connection.protocol.bytes_left = float("inf")
                    self._payload = payload
                    self._head = ResponseHead(
                        message.code,
                        message.reason,
                        message.headers,
                        message.raw_headers,
                        message.should_close,
                    )
                    return self._head
                _log.write(
                    "response discarded",
                    mismatch,
                    request=request_id,
                    server=self.address,
                    status=message.code,
                    requests_before=self.requests_before,
                )
                while await payload.readany():
                    pass
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as e:
            raise ServerCallError(f"no response came: {e!r}", True) from e
        raise ServerCallError("received only responses to other requests", True)

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ServerCallError if it is cut off."""
        assert self._payload is not None, "the head is read before the body"
        try:
            while True:
                data = await self._payload.readany()
                if not data:
                    break
                yield data
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as e:
            raise ServerCallError(f"the response was cut off: {e!r}", True) from e
        connection_error = self.connection.protocol.connection_error
        if connection_error is not None and self._ends_with_connection():
            raise ServerCallError(
                f"the response was cut off by a reset: {connection_error!r}", True
            )

    def _ends_with_connection(self) -> bool:
        """Return whether only the end of the connection delimits the response."""
        assert self._head is not None, "the head is read before the body"
        headers = self._head.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    async def read_body(self) -> bytes:
        """Return the complete body; raise ServerCallError if cut off or too long."""
        chunks = []
        size = 0
        async for chunk in self.iter_chunks():
            chunks.append(chunk)
            size += len(chunk)
            if size > _MAX_BODY_BYTES:
                raise ServerCallError(
                    f"the body exceeds {_MAX_BODY_BYTES} bytes", sent=True
                )
        return b"".join(chunks)

    def release(self) -> None:
        """Return the connection to the pool after a complete response, or close it."""
        self.is_released = True
        head = self._head
        is_complete = self._payload is not None and self._payload.is_eof()
        if head is None or not is_complete or head.should_close:
            self.abort()
            return
        self.pool.release(self.address, self.connection, head)

    def abort(self) -> None:
        """Close the connection at once, so that the server stops its work."""
        self.connection.protocol.abort()


class ServerLinks:
    """A pool of idle connections by server address."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool."""
        self.clock = clock
        self.opened_count = 0
        self._idle: dict[str, list[_Connection]] = {}

    async def start_call(self, address: str) -> ServerCall:
        """Return a call on an idle or new connection; raise ServerCallError.

        A server may close an idle connection just as a request arrives, so none is
        reused near the end of the keep-alive timeout that the server states.
        """
        now_ms = self.clock.now_ms()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now_ms):
                return ServerCall(self, address, connection)
            connection.protocol.close()
        return ServerCall(self, address, await self._connect(address))

    async def probe(self, address: str) -> Reachability:
        """Open a connection to a server, and keep it for the next call.

        It is closed where the server has been removed.
        """
        try:
            connection = await self._connect(address)
        except ServerCallError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.REFUSES
            return Reachability.SILENT
        idle = self._idle.get(address)
        if idle is None:
            connection.protocol.close()
        else:
            idle.append(connection)
        return Reachability.ACCEPTS

    async def _connect(self, address: str) -> _Connection:
        loop = asyncio.get_running_loop()
        ip, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: _ServerProtocol(loop), ip, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ServerCallError(f"no connection: {error!r}", False) from error
        protocol.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
        )
        return _Connection(protocol, self.clock.now_ms())

    def release(self, address: str, connection: _Connection, head: ResponseHead):
        """Keep a connection for the next call, for as long as the server does."""
        connection.idle_since_ms = self.clock.now_ms()
        connection.idle_limit_ms = _keep_alive_ms(head.headers.get("Keep-Alive", ""))
        if connection.idle_limit_ms <= 0 or connection.protocol.should_close:
            connection.protocol.close()
            return
        connection.protocol.bytes_left = _MAX_BYTES_BEFORE_HEAD
        connection.requests_carried += 1
        connection.protocol.idle_address = address
        self._idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that was removed."""
        for connection in self._idle.pop(address, []):
            connection.protocol.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)


def _keep_alive_ms(text: str) -> float:
    """Return how long a connection may be idle, from a Keep-Alive header."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            stated_ms = int(value) * 1000.0
            return min(_MAX_IDLE_MS, max(stated_ms / 2, stated_ms - _IDLE_MARGIN_MS))
    return _DEFAULT_IDLE_MS
