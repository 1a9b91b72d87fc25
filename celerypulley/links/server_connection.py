"""Connections to backend servers that tell whether a request may have run.

A request is written in one piece. Its connection returns to the pool only after a
complete response, and if nothing came on it that belonged to no request. It carries
each request identifier at most once, since a server may respond late a second time.
"""

import asyncio
import enum
from collections.abc import Callable

import attrs

from celerypulley.client_limits.head_budget import HeadBudget
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.bounded_reads import READ_BYTES, read_buffer
from celerypulley.links.header_text import parse_whole_number
from celerypulley.links.response_parser import (
    RequestIdentity,
    ResponseHead,
    ResponseParser,
)
from celerypulley.links.response_status import InvalidResponseError

__all__ = [
    "READ_AHEAD_BYTES",
    "Reachability",
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
_MAX_REQUESTS_CARRIED = 1_000  # bounds the memory for their identifiers
_MAX_BUFFERED_BYTES = 4 * 1024  # of a body, until its reader has taken them
READ_AHEAD_BYTES = _MAX_BUFFERED_BYTES + READ_BYTES
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


class _ServerProtocol(asyncio.BufferedProtocol):
    """One connection to a server: bytes in, and what ended it.

    Bytes that come while no response is awaited belong to no request, and end the
    connection. `error` tells what ended it before the response was complete. At most
    READ_AHEAD_BYTES of a body are kept until its reader takes them.
    """

    def __init__(self, address: str) -> None:
        """Create the protocol of a connection to `address`."""
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.response: ResponseParser | None = None
        self.error = ""
        self._waiter: asyncio.Future[None] | None = None
        self.is_paused = False

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return read_buffer

    def buffer_updated(self, count: int) -> None:
        """Parse the `count` bytes that were read, if a response is awaited."""
        data = bytes(read_buffer[:count])
        response = self.response
        if response is None or response.is_complete:
            self._end_for_strays(f"{len(data)} bytes while no request was under way")
            return
        try:
            response.feed(data)
        except InvalidResponseError as error:
            if not self.error:
                _log.write(
                    "invalid response",
                    str(error),
                    request=response.identity.request_id,
                    server=self.address,
                )
            self._fail(str(error))
            self.abort()
            return
        self._wake()
        if response.has_strays:
            self._end_for_strays("bytes behind a complete response")
        elif response.buffered_bytes > _MAX_BUFFERED_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on after the buffered part of the body has been taken."""
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def eof_received(self) -> None:
        """End a response that the end of the connection delimits."""
        if self.response is not None and not self.response.is_complete:
            self.response.feed_end()
        self._fail("the server ended the connection")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Store what ended the connection."""
        self._fail(repr(exc) if exc is not None else "the connection was closed")
        self.transport = None
        if self.response is not None:
            self.response.forget_parser()

    async def wait(self) -> None:
        """Return after the next bytes, or the end of the connection."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Close the connection after what has been written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _end_for_strays(self, detail: str) -> None:
        if self.is_open:
            _log.write("bytes outside a request", detail, server=self.address)
        self.abort()

    def _fail(self, detail: str) -> None:
        if not self.error:
            self.error = detail
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@attrs.define(eq=False)
class _Connection:
    """A connection, and the hashes of the identifiers that it has carried.

    Two identifiers with one hash only cost a further connection.
    """

    protocol: _ServerProtocol
    idle_since_ms: float
    idle_limit_ms: float = _DEFAULT_IDLE_MS
    carried: set[int] = attrs.Factory(set)

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the connection can carry another request."""
        return (
            self.protocol.is_open and now_ms - self.idle_since_ms < self.idle_limit_ms
        )

    def can_carry(self, identity: RequestIdentity) -> bool:
        """Return whether the request can be told from those carried before."""
        if not identity.request_id:
            return not self.carried
        return hash(identity.request_id) not in self.carried


class ServerCall:
    """One request on one connection, until the end of its response."""

    def __init__(
        self,
        pool: "ServerLinks",
        connection: _Connection,
        identity: RequestIdentity,
    ) -> None:
        """Use a connection that no other call uses, and return it to `pool`."""
        self.pool = pool
        self.connection = connection
        self.requests_before = len(connection.carried)
        self.is_released = False
        self._response = ResponseParser(
            identity, self.requests_before > 0, self._log_discarded, pool.heads
        )

    @property
    def status(self) -> int:
        """Return the status of the response, 0 before its head."""
        head = self._response.head
        return head.status if head is not None else 0

    def _log_discarded(self, status: int, mismatch: str) -> None:
        _log.write(
            "response discarded",
            mismatch,
            request=self._response.identity.request_id,
            server=self.connection.protocol.address,
            status=status,
            requests_before=self.requests_before,
        )

    def send(self, request: bytes) -> None:
        """Write the complete request; raise ServerCallError if it cannot be written."""
        protocol = self.connection.protocol
        if not protocol.is_open:
            raise ServerCallError(
                "the connection closed before the request was sent", False
            )
        self.connection.carried.add(hash(self._response.identity.request_id))
        protocol.response = self._response
        protocol.transport.write(request)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response to the request; raise ServerCallError.

        Interim responses and late ones to earlier requests are discarded.
        """
        protocol = self.connection.protocol
        while self._response.head is None:
            if protocol.error:
                raise ServerCallError(f"no response came: {protocol.error}", True)
            await protocol.wait()
        return self._response.head

    async def read_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raise ServerCallError if it is cut off. The server is read on only once all that
        has come was returned, so that a caller who waits holds little.
        """
        response, protocol = self._response, self.connection.protocol
        while True:
            data = response.take_body()
            if data or response.is_complete:
                return data
            if protocol.error:
                raise ServerCallError(
                    f"the response was cut off: {protocol.error}", True
                )
            protocol.resume_reading()
            await protocol.wait()

    async def read_body(
        self, on_bytes: Callable[[int], None] = lambda _count: None
    ) -> bytes:
        """Return the complete body; raise ServerCallError if cut off or too long.

        `on_bytes` is told the size of each part that has come.
        """
        chunks = []
        size = 0
        try:
            while chunk := await self.read_chunk():
                chunks.append(chunk)
                size += len(chunk)
                on_bytes(len(chunk))
                if size > _MAX_BODY_BYTES:
                    raise ServerCallError(
                        f"the body exceeds {_MAX_BODY_BYTES} bytes", sent=True
                    )
            return b"".join(chunks)
        finally:
            chunks.clear()  # exceptions refer to this frame

    def release(self) -> None:
        """Return the connection to the pool after a complete response, or close it."""
        self.is_released = True
        if not self._is_reusable():
            self.abort()
            return
        self.connection.protocol.response = None
        self.connection.protocol.resume_reading()
        self.pool.release(self.connection, self._response.head)

    def _is_reusable(self) -> bool:
        """Return whether what comes next can be told from what has come.

        A late response to HEAD states the length of a body that it doesn't have. A
        server that states no identifier would not be believed again.
        """
        response = self._response
        head, identity = response.head, response.identity
        return (
            head is not None
            and response.is_complete
            and not head.should_close
            and not response.has_strays
            and response.discarded_count == 0
            and identity.method != "HEAD"
            and len(self.connection.carried) < _MAX_REQUESTS_CARRIED
            and bool(identity.identifiers_of(head.headers))
        )

    @property
    def is_unread(self) -> bool:
        """Return whether something that came waits for the caller to read more."""
        return self.connection.protocol.is_paused or self._response.buffered_bytes > 0

    def abort(self) -> None:
        """Close the connection at once, so that the server stops its work."""
        self.connection.protocol.abort()


class ServerLinks:
    """A pool of idle connections by server address."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool."""
        self.clock = clock
        self.heads = HeadBudget()
        self.opened_count = 0
        self._idle: dict[str, list[_Connection]] = {}

    async def start_call(self, address: str, identity: RequestIdentity) -> ServerCall:
        """Return a call on an idle or new connection; raise ServerCallError.

        No connection is used whose late responses could be taken for the request's.
        If that excludes all idle ones, one of them is closed for the new one. A server
        may close an idle connection just as a request arrives, so none is reused near
        the end of the keep-alive timeout that the server states.
        """
        now_ms = self.clock.now_ms()
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if not connection.is_usable(now_ms):
                idle.pop(index).protocol.close()
                continue
            if connection.can_carry(identity):
                return ServerCall(self, idle.pop(index), identity)
        if idle:
            idle.pop(0).protocol.close()
        return ServerCall(self, await self._connect(address), identity)

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
                    lambda: _ServerProtocol(address), ip, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ServerCallError(f"no connection: {error!r}", False) from error
        return _Connection(protocol, self.clock.now_ms())

    def release(self, connection: _Connection, head: ResponseHead) -> None:
        """Keep a connection for the next call, for as long as the server does."""
        connection.idle_since_ms = self.clock.now_ms()
        connection.idle_limit_ms = _keep_alive_ms(head.headers.get("Keep-Alive", ""))
        if connection.idle_limit_ms <= 0 or not connection.protocol.is_open:
            connection.protocol.close()
            return
        self._idle.setdefault(connection.protocol.address, []).append(connection)

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
        stated_s = parse_whole_number(value) if name.lower() == "timeout" else None
        if stated_s is None:
            continue
        stated_ms = stated_s * 1000.0
        return min(_MAX_IDLE_MS, max(stated_ms / 2, stated_ms - _IDLE_MARGIN_MS))
    return _DEFAULT_IDLE_MS
