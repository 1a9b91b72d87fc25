"""Connections to backend servers that tell whether a request may have run.

A call is written in one piece and its answer is parsed by aiohttp's parser. The
connection is given back to the pool only after a whole answer.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler

from celerypulley.clock import Clock

__all__ = ["ResponseHead", "ServerCall", "ServerCallError", "ServerLinks"]

# A handshake takes 1 ms and a way 1 to 3 ms (site sheets); a lost opening packet
# is sent again only after a second, too late for most requests.
_CONNECT_TIMEOUT_S = 0.25
_MAX_IDLE_MS = 15_000.0  # longer idle connections hold places of busier hosts
_IDLE_MARGIN_MS = 1_000.0  # before the end that a server has stated
_DEFAULT_IDLE_MS = 1_000.0  # where a server states none: the smallest it could
_MAX_RESPONSES_READ = 3  # late answers to earlier requests that are passed over
_MAX_HEADER_BYTES = 16_384  # the largest header that operators allow callers


class ServerCallError(Exception):
    """A call got no whole answer.

    `sent` is False only where certainly no byte of the request reached the server.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        """Keep what happened."""
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class ResponseHead:
    """Status line and headers of an answer, as the server sent them."""

    status: int
    reason: str
    headers: Any  # a case-insensitive multidict
    raw_headers: tuple[tuple[bytes, bytes], ...]
    should_close: bool


class _ServerProtocol(ResponseHandler):
    """The library's protocol, which also tells a reset from an ordinary end."""

    connection_error: BaseException | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Keep how the connection ended."""
        self.connection_error = exc
        super().connection_lost(exc)


@attrs.define(eq=False)
class _Connection:
    protocol: _ServerProtocol
    idle_since_ms: float
    idle_limit_ms: float = _DEFAULT_IDLE_MS

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the connection can carry another request."""
        if not self.protocol.is_connected() or self.protocol.should_close:
            return False
        return now_ms - self.idle_since_ms < self.idle_limit_ms


class ServerCall:
    """One request on one connection, from its sending to the end of its answer."""

    def __init__(self, pool: "ServerLinks", address: str, connection: _Connection):
        """Use a connection that no other call uses."""
        self.pool = pool
        self.address = address
        self.connection = connection
        self._payload: aiohttp.StreamReader | None = None
        self._head: ResponseHead | None = None
        self.is_released = False

    def send(self, request: bytes) -> None:
        """Write the whole request; raise ServerLinkError if it cannot be written."""
        transport = self.connection.protocol.transport
        if transport is None or transport.is_closing():
            raise ServerCallError("the connection closed before the request", False)
        transport.write(request)

    async def read_head(
        self, belongs_to_request: Callable[[Any], bool]
    ) -> ResponseHead:
        """Return the head of the answer for which `is_mine(headers)` holds.

        Answers to earlier requests are read and dropped.
        """
        try:
            for _ in range(_MAX_RESPONSES_READ):
                message, payload = await self.connection.protocol.read()
                if message.code < 200:
                    continue
                if belongs_to_request(message.headers):
                    self._payload = payload
                    self._head = ResponseHead(
                        message.code,
                        message.reason,
                        message.headers,
                        message.raw_headers,
                        message.should_close,
                    )
                    return self._head
                while await payload.readany():
                    pass
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as e:
            raise ServerCallError(f"no answer: {e!r}", True) from e
        raise ServerCallError("only answers to other requests came", True)

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise ServerLinkError where it is cut off."""
        assert self._payload is not None, "the head is read first"
        try:
            while True:
                data = await self._payload.readany()
                if not data:
                    break
                yield data
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as e:
            raise ServerCallError(f"the answer was cut off: {e!r}", True) from e
        lost_error = self.connection.protocol.connection_error
        if lost_error is not None and self._ends_with_connection():
            raise ServerCallError(f"the answer was reset: {lost_error!r}", True)

    def _ends_with_connection(self) -> bool:
        """Return whether only the connection's end shows where the answer ends."""
        assert self._head is not None, "the head is read first"
        headers = self._head.headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    async def read_body(self) -> bytes:
        """Return the whole body."""
        return b"".join([piece async for piece in self.iter_chunks()])

    def release(self) -> None:
        """Give the connection back after a whole answer, or close it."""
        self.is_released = True
        head = self._head
        whole = self._payload is not None and self._payload.is_eof()
        if head is None or not whole or head.should_close:
            self.abort()
            return
        self.pool.release(self.address, self.connection, head)

    def abort(self) -> None:
        """Close the connection at once, so that the server stops its work."""
        self.connection.protocol.abort()


class ServerLinks:
    """Kept connections by server address."""

    def __init__(self, clock: Clock) -> None:
        """Start without any connection."""
        self.clock = clock
        self.opened_count = 0
        self._idle: dict[str, list[_Connection]] = {}

    async def start_call(self, address: str) -> ServerCall:
        """Return a call on a kept or new connection; raise ServerLinkError.

        A server may close an idle connection just as a request arrives, so none is
        used near the end that the server has stated.
        """
        now_ms = self.clock.now_ms()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now_ms):
                return ServerCall(self, address, connection)
            connection.protocol.close()
        return ServerCall(self, address, await self._connect(address))

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
        """Keep a connection for the next call, as long as the server will."""
        connection.idle_since_ms = self.clock.now_ms()
        connection.idle_limit_ms = _keep_alive_ms(head.headers.get("Keep-Alive", ""))
        if connection.idle_limit_ms <= 0 or connection.protocol.should_close:
            connection.protocol.close()
            return
        self._idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is gone."""
        for connection in self._idle.pop(address, []):
            connection.protocol.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)


def _keep_alive_ms(text: str) -> float:
    """Return how long a connection may idle, by what the server has stated."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            stated_ms = int(value) * 1000.0
            return min(_MAX_IDLE_MS, max(stated_ms / 2, stated_ms - _IDLE_MARGIN_MS))
    return _DEFAULT_IDLE_MS
