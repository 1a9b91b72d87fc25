"""Callers' connections as raw bytes: which requests end without their response."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs
import pytest

from celerypulley.decision_log import DecisionLog, LogFormat
from celerypulley.hosts import fleet_host
from celerypulley.hosts.fleet_host import FleetHost
from celerypulley.links.response_parser import RequestIdentity
from celerypulley.links.server_connection import ServerLinks
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import API_KEY, Fleet, desired_state, running_fleet
from tests.harness import run_clock, running_deployment, wait_until

_READ_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class ByteServer:
    """A server whose responses are `response`, with the request's identifier for RID.

    `received` holds the head and the body of each request.
    """

    name: str = "server-0"
    response: bytes = b""
    received: list[tuple[bytes, bytes]] = attrs.Factory(list)
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the listening socket."""
        assert self._server is not None, "the server has not been started"
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(
                    int(header_of(head, b"Content-Length") or 0)
                )
                self.received.append((head, body))
                request_id = header_of(head, b"Request-Id")
                writer.write(self.response.replace(b"RID", request_id))
                await writer.drain()
        writer.close()


def header_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a header as it was sent, empty if there is none."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.lower() == name.lower():
            return value.strip()
    return b""


def request_bytes(
    path: str = "/unsafe/x",
    request_id: bytes = b"one",
    body: bytes = b"hello",
    framing: bytes | None = None,
    added: bytes = b"",
    deadline_ms: bytes = b"1500",
) -> bytes:
    """Return a request; `framing` replaces its Content-Length line."""
    if framing is None:
        framing = b"Content-Length: %d\r\n" % len(body)
    return (
        f"POST {path} HTTP/1.1\r\nHost: agents.example\r\n".encode()
        + b"Request-Id: %s\r\nDeadline-Ms: %s\r\n" % (request_id, deadline_ms)
        + f"Api-Key: {API_KEY}\r\n".encode()
        + added
        + framing
        + b"\r\n"
        + body
    )


def response_bytes(added: bytes = b"", status: bytes = b"200 OK") -> bytes:
    """Return a server's response with further header lines."""
    head = b"HTTP/1.1 %s\r\nRequest-Id: RID\r\nServer-Seal: s\r\n" % status
    return head + added + b"Content-Length: 5\r\n\r\nwhole"


@attrs.define(eq=False)
class Caller:
    """A connection of a caller to a host."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_response(self) -> tuple[int, bytes, bytes]:
        """Return status, head and body of a response with a length or in chunks.

        Raise asyncio.IncompleteReadError or TimeoutError if it is not complete.
        """
        async with asyncio.timeout(_READ_TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            body = b""
            if header_of(head, b"Transfer-Encoding") != b"chunked":
                length = int(header_of(head, b"Content-Length") or 0)
                body = await self.reader.readexactly(length)
                return int(head.split()[1]), head, body
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
            return int(head.split()[1]), head, body

    async def send(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Send bytes and return the response that follows."""
        self.writer.write(data)
        return await self.read_response()


@asynccontextmanager
async def connected(
    host: FleetHost, receive_buffer_bytes: int = 65_536
) -> AsyncIterator[Caller]:
    """Connect to a host once it keeps callers' connections open."""
    await wait_until(lambda: host._was_ready)
    address = host.settings.caller_address
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.connect((address.ip, address.port))
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


@asynccontextmanager
async def byte_fleet() -> AsyncIterator[tuple[Fleet, ByteServer, Caller]]:
    """Run a host whose only server is a ByteServer, and connect to the host."""
    async with running_fleet() as fleet:
        (host,) = fleet.hosts
        server = ByteServer(response=response_bytes())
        await server.start()
        fleet.register(server)
        await wait_until(
            lambda: host.directory.servers["server-0"].address == server.address
        )
        async with connected(host) as caller:
            yield fleet, server, caller
        await server.stop()


# What callers and servers may write where a whole number belongs.
ODD_NUMBERS = [
    "\u00b2".encode(),
    "\u0668".encode(),
    b"9" * 5_000,
    b"9" * 400,
    b"0" * 5_000 + b"7",
    b"-1",
    b"1e3",
    b"",
]


@pytest.mark.parametrize("path", ["/unsafe/x", "/turns/x"])
@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize(
    "line",
    [
        b"Token-Usage: %s,%s\r\n",
        b"Length-Hint: %s\r\n",
        b"Prefix-Hash: a:%s\r\n",
        b"Program-Id: p\r\nProgram-Deadline-Ms: %s\r\n",
        b"Program-Id: p\r\nToken-Budget: 900\r\nToken-Usage: 1,%s\r\n",
    ],
)
async def test_request_with_an_odd_number_fails_with_500(number, line, path):
    async with byte_fleet() as (_, server, caller):
        event = b"id: 1\ndata: x\n\n"
        server.response = response_bytes().replace(b"whole", event)
        server.response = server.response.replace(b": 5", b": %d" % len(event))
        added = line.replace(b"%s", number)
        for request_id in (b"one", b"two"):
            status, _, _ = await caller.send(
                request_bytes(path, request_id, added=added)
            )
            # A turn without a number may generate more than the budget holds.
            assert status == 200 or (status == 402 and b"Token-Budget" in added)


@pytest.mark.parametrize("number", ODD_NUMBERS)
async def test_request_with_an_odd_deadline_fails_with_500(number):
    async with byte_fleet() as (_, _server, caller):
        request = request_bytes(deadline_ms=number)
        assert (await caller.send(request))[0] in (200, 503)
        assert (await caller.send(request))[0] in (200, 503)


@pytest.mark.parametrize("number", ODD_NUMBERS)
async def test_response_with_an_odd_load_is_replaced_by_500(number):
    """The server ran the request and answered it whole."""
    async with byte_fleet() as (_, server, caller):
        server.response = response_bytes(b"Server-Load: %s,%s,8\r\n" % (number, number))
        for request_id in (b"one", b"two"):
            status, _, body = await caller.send(request_bytes(request_id=request_id))
            assert (status, body) == (200, b"whole")


CHUNKED = b"Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize(
    "end",
    [
        b"0\r\nX-Added: a\r\n\r\n",
        b"0\r\nX-Other: a\r\nX-Added: a\r\n\r\n",
        b"0;x=y\r\nX-Added: 0\r\n\r\n",
    ],
)
async def test_trailer_of_a_request_becomes_a_header_of_the_next(end, pause_s):
    async with byte_fleet() as (_, server, caller):
        caller.writer.write(request_bytes(body=b"5\r\nhello\r\n", framing=CHUNKED))
        await asyncio.sleep(pause_s)
        status, head, _ = await caller.send(end)
        assert status == 200
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await caller.send(request_bytes(request_id=b"two"))
            assert header_of(head, b"Connection") != b"close"
        assert server.received[0][1] == b"hello"
        assert not any(b"X-Added" in head for head, _ in server.received)


async def test_trailer_of_a_refused_request_becomes_a_header_of_the_next():
    async with byte_fleet() as (fleet, server, caller):
        fleet.put_state(desired_state(2, limits={"maxBodyBytes": 1_000}))
        await wait_until(lambda: fleet.hosts[0]._body_limit() == 1_000)
        body = b"1388\r\n%s\r\n0\r\nX-Added: a\r\n\r\n" % (b"x" * 5_000)
        status, head, _ = await caller.send(request_bytes(body=body, framing=CHUNKED))
        assert (status, header_of(head, b"Connection")) == (413, b"close")
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await caller.send(request_bytes(request_id=b"two"))
        assert server.received == []


@pytest.mark.parametrize("framing", [None, CHUNKED])
async def test_request_that_comes_byte_by_byte_ends_the_connection(framing):
    """It is split in two at every place, with chunks that have extensions."""
    body = b"hello" if framing is None else b"2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    request = request_bytes(body=body, framing=framing)
    async with byte_fleet() as (_, server, caller):
        for cut in range(1, len(request)):
            caller.writer.write(request[:cut])
            await asyncio.sleep(0.002)
            status, _, received = await caller.send(request[cut:])
            assert (status, received) == (200, b"whole"), cut
            assert server.received[-1][1] == b"hello"


EVENT = b"id: 1\ndata: x\n\n"


@pytest.mark.parametrize("path", ["/unsafe/x", "/turns/x"])
@pytest.mark.parametrize(
    ("sent", "received"),
    [
        (b"a\x01b\x7fc", b"a b c"),
        (b"a\tb", b"a\tb"),
        ("\u00e9\u20ac".encode(), "\u00e9\u20ac".encode()),
        (b"\xe9", "\u00e9".encode()),
        (b"", b""),
    ],
)
async def test_whole_response_with_an_odd_header_is_dropped(sent, received, path):
    """The server ran the request; callers got a closed connection without a byte."""
    async with byte_fleet() as (_, server, caller):
        response = response_bytes(b"X-Odd: %s\r\n" % sent)
        server.response = response.replace(b"5\r\n\r\nwhole", b"15\r\n\r\n" + EVENT)
        for request_id in (b"one", b"two"):
            status, head, body = await caller.send(request_bytes(path, request_id))
            assert (status, body) == (200, EVENT)
            assert header_of(head, b"X-Odd") == received


@pytest.mark.parametrize("log_format", LogFormat)
@pytest.mark.parametrize("status", [b"200 \xe9", b"404 \x01"])
@pytest.mark.parametrize("name", [b"\xff", "\u00e9".encode(), b"a b"])
@pytest.mark.parametrize("path", ["/unsafe/x", "/turns/x", "/nowhere/x"])
async def test_response_to_an_odd_identifier_is_replaced_by_500(
    monkeypatch, path, name, status, log_format
):
    """Callers choose identifiers, and the names of turns and programs."""
    monkeypatch.setattr(DecisionLog, "format", log_format)
    async with byte_fleet() as (_, server, caller):
        response = response_bytes(status=status)
        server.response = response.replace(b"5\r\n\r\nwhole", b"15\r\n\r\n" + EVENT)
        expected = 404 if path == "/nowhere/x" else int(status.split()[0])
        assert (await caller.send(request_bytes(path, name)))[0] == expected
        added = b"Program-Id: %s\r\nPrevious-Turn: %s\r\n" % (name, name)
        following = await caller.send(request_bytes(path, b"two", added=added))
        assert following[0] == expected
        added = b"Previous-Turn: %s\r\n" % (name + b"?")
        unknown = await caller.send(request_bytes(path, b"three", added=added))
        assert unknown[0] == (expected if path == "/unsafe/x" else 404)


@pytest.mark.parametrize("body", [b"hello", b""])
@pytest.mark.parametrize("expect", [b"100-continue", b"100-Continue"])
async def test_caller_that_waits_before_its_body_gets_no_response(expect, body):
    async with byte_fleet() as (_, server, caller):
        request = request_bytes(body=body, added=b"Expect: %s\r\n" % expect)
        for _ in range(2):
            caller.writer.write(request.removesuffix(body))
            if body:
                interim = await asyncio.wait_for(
                    caller.reader.readuntil(b"\r\n\r\n"), _READ_TIMEOUT_S
                )
                assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
            status, _, received = await caller.send(body)
            assert (status, received) == (200, b"whole")
            assert server.received[-1][1] == body


async def test_request_read_as_the_last_one_ends_is_cut_at_the_stop(monkeypatch):
    """Nothing is active for an instant, so that the host closes its connections."""
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.mode = Mode.STREAM
        server.event_interval_s = 0.35  # in all longer than connections get to end
        request = request_bytes("/turns/x", b"two", deadline_ms=b"1900")
        async with connected(host) as first, connected(host) as second:
            set_idle = host.server._is_idle.set

            def send_at_once() -> None:
                set_idle()
                monkeypatch.undo()
                second.writer.write(request)

            monkeypatch.setattr(host.server._is_idle, "set", send_at_once)
            first.writer.write(request_bytes("/turns/x", deadline_ms=b"1900"))
            await wait_until(lambda: server.received)
            draining = asyncio.create_task(host.server.drain())
            assert (await first.read_response())[0] == 200
            status, _, body = await second.read_response()
            assert (status, body.count(b"piece")) == (200, 4)
            await draining


async def test_response_to_a_slow_reader_is_cut_at_the_stop():
    """Its request has ended for the host, but not for the caller."""
    body = b"x" * 4_000_000
    async with byte_fleet() as (fleet, server, _):
        (host,) = fleet.hosts
        server.response = response_bytes().replace(b": 5", b": %d" % len(body))
        server.response = server.response.replace(b"whole", body)
        async with connected(host, receive_buffer_bytes=4_096) as caller:
            caller.writer.write(request_bytes())
            await caller.reader.readuntil(b"\r\n\r\n")
            draining = asyncio.create_task(host.server.drain())
            await asyncio.wait([draining], timeout=1.5)
            assert not draining.done()
            assert await caller.reader.readexactly(len(body)) == body
            await draining


@pytest.mark.parametrize(
    ("sent_after_s", "deadline_ms", "status"),
    [(0.6, b"9000", 503), (0.6, b"2500", 200), (0.1, b"2500", 200)],
)
async def test_stream_that_outlasts_the_stop_is_passed_on_and_cut(
    monkeypatch, sent_after_s, deadline_ms, status
):
    """Another host could have served it; the balancer has left this one long ago."""
    monkeypatch.setattr(fleet_host, "_LEAVE_BALANCER_MS", 300.0)
    monkeypatch.setattr(fleet_host, "_STOP_MARGIN_MS", 4_200.0)  # ends 3.5 s later
    state = desired_state()
    for each in state["routes"]:
        each["timeoutMs"] = 30_000
    async with running_fleet(state=state) as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.mode = Mode.STREAM
        server.event_interval_s = 0.5
        async with connected(host) as first, connected(host) as second:
            first.writer.write(request_bytes("/turns/x", b"x", deadline_ms=b"2500"))
            await wait_until(lambda: server.received)
            leaving = asyncio.create_task(host.leave())
            await asyncio.sleep(sent_after_s)
            if status == 503:
                server.event_count = 20
            request = request_bytes("/turns/x", b"two", deadline_ms=deadline_ms)
            assert (await second.send(request))[0] == status
            assert len(server.received) == (1 if status == 503 else 2)
            assert (await first.read_response())[0] == 200
            await leaving


async def test_request_with_many_short_headers_is_refused():
    """Operators limit the size of a header only."""
    async with byte_fleet() as (_, server, caller):
        added = b"".join(b"X-%d: a\r\n" % number for number in range(1_000))
        status, _, _ = await caller.send(request_bytes(added=added))
        assert status == 200
        assert server.received[0][0].count(b"\r\nX-") == 1_000


@pytest.mark.parametrize(
    ("ended_by", "mode", "path", "head_sent"),
    [
        ("caller", Mode.HANG, "/unsafe/x", False),
        ("caller", Mode.HANG_WITHIN_EVENT, "/turns/x", True),
        ("host", Mode.RESET_WITHIN_EVENT, "/turns/x", True),
        ("stop", Mode.HANG, "/unsafe/x", False),
        ("stop", Mode.HANG_WITHIN_EVENT, "/turns/x", True),
    ],
)
async def test_log_does_not_say_who_ended_a_response(
    monkeypatch, ended_by, mode, path, head_sent
):
    lines = []
    monkeypatch.setattr(
        "celerypulley.links.forward_server._log.write",
        lambda decision, *_reason, **fields: lines.append((decision, fields)),
    )
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.mode = mode
        host.server.drain_ms = 100.0
        async with connected(host) as caller:
            caller.writer.write(request_bytes(path))
            await wait_until(lambda: server.received)
            if head_sent:
                await caller.reader.readuntil(b"piece 2")
            if ended_by == "caller":
                caller.writer.close()
            if ended_by == "stop":
                await host.server.drain()
            await wait_until(lambda: lines)
        ((decision, fields),) = lines
        assert decision == "response cut"
        assert (fields["request"], fields["ended_by"]) == ("one", ended_by)
        assert fields["head_sent"] is head_sent
        assert bool(fields["body_bytes"]) is head_sent


async def test_trailer_becomes_a_header_of_the_next_request_for_programs():
    """The product's own front end."""
    async with running_deployment() as deployment:
        address = deployment.hosts[0].settings.caller_address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        caller = Caller(reader, writer)
        head = "POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        head += f"{deployment.keys['kiosk']}\r\nTransfer-Encoding: chunked\r\n\r\n"
        end = b"0\r\nX-Celerypulley-Parent: nobody\r\n\r\n"
        status, response_head, _ = await caller.send(head.encode() + end)
        assert status == 201
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            assert (await caller.send(head.encode() + b"0\r\n\r\n"))[0] == 201
            assert header_of(response_head, b"Connection") != b"close"
        writer.close()


async def test_odd_receipt_of_a_turn_fails_with_500():
    async with running_deployment() as deployment:
        (host, *_) = deployment.hosts
        program = await deployment.open_program(host)
        status, _, _ = await deployment.send_turn(
            host, program, "hello", **{"X-Celerypulley-Receipt": "\u00b2.x"}
        )
        assert status == 400


async def test_kept_connection_stays_paused_after_a_response():
    """The whole body came before its reader took a part of it."""
    length = 20_000
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: RID\r\nKeep-Alive: timeout=15\r\n"
    body = b"Content-Length: %d\r\n\r\n" % length + b"x" * length
    server = ByteServer(response=head + body)
    await server.start()
    links = ServerLinks(run_clock())
    for name in ("first", "second"):
        identity = RequestIdentity(name, "GET", lambda head: head.getall("Request-Id"))
        call = await links.start_call(server.address, identity)
        call.send(f"GET / HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n".encode())
        async with asyncio.timeout(_READ_TIMEOUT_S):
            await call.read_head()
            await wait_until(lambda call=call: call.is_unread)
            assert len(await call.read_body()) == length
        call.release()
    assert links.opened_count == 1
    links.close()
    await server.stop()
