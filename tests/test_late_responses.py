"""Servers that respond to a request twice, the second time late, whole or in part."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import aiohttp
import pytest
import uvloop

from celerypulley.stand_ins.opaque_server import ReceivedRequest, Script
from tests.fleet import API_KEY, Fleet, Response, desired_state, running_fleet

OTHER_KEY = "key-of-lamps"
SAME = ({"Request-Id": "same"}, {"Request-Id": "same"})
SAME_OF_TWO = ({"Request-Id": "same"}, {"Request-Id": "same", "Api-Key": OTHER_KEY})
EMPTY = ({"Request-Id": ""}, {"Request-Id": ""})
NONE = ({"Request-Id": None}, {"Request-Id": None})
NONE_THEN_ONE = ({"Request-Id": None}, {"Request-Id": "second"})
ONE_THEN_NONE = ({"Request-Id": "first"}, {"Request-Id": None})
ONE_THEN_EMPTY = ({"Request-Id": "first"}, {"Request-Id": ""})
TWO = ({"Request-Id": "first"}, {"Request-Id": "second"})
IDENTIFIERS = {
    "same": SAME,
    "same of two organisations": SAME_OF_TWO,
    "empty": EMPTY,
    "none": NONE,
    "none, then one": NONE_THEN_ONE,
    "one, then none": ONE_THEN_NONE,
    "one, then empty": ONE_THEN_EMPTY,
    "two": TWO,
}


def _target(request: ReceivedRequest) -> str:
    return request.request_line.split()[1]


def _head(request: ReceivedRequest, status: int, framing: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Reason"]
    if "request-id" in request.headers:
        lines.append(f"Request-Id: {request.request_id}")
    lines += [f"Server-Seal: seal of {_target(request)}", "Server-Load: 1,0,8"]
    lines += ["Keep-Alive: timeout=9", framing]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _body(request: ReceivedRequest, status: int) -> bytes:
    return f"data: {status} to {_target(request)}\n\n".encode()


def with_length(status: int) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that responds with a Content-Length."""

    def respond(request: ReceivedRequest) -> bytes:
        body = _body(request, status)
        return _head(request, status, f"Content-Length: {len(body)}") + body

    return respond


def in_chunks(status: int) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that responds in two chunks."""

    def respond(request: ReceivedRequest) -> bytes:
        body = _body(request, status)
        chunks = b"4\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (
            body[:4],
            len(body) - 4,
            body[4:],
        )
        return _head(request, status, "Transfer-Encoding: chunked") + chunks

    return respond


def _cut(respond, length: int) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: respond(request)[:length]


def _nameless(respond) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: respond(request).replace(b"Request-Id", b"Other")


def _state() -> dict:
    state = desired_state()
    lamps = {"name": "lamps", "apiKeys": [OTHER_KEY], "ratePerS": 0, "burst": 0}
    state["tenants"].append(lamps)
    return state


async def _call(
    fleet: Fleet, target: str, method: str, headers: dict, body: bytes = b""
) -> Response:
    """Send a request whose headers are exactly those given, without None."""
    sent = {"Host": "agents.example", "Deadline-Ms": "1500", "Api-Key": API_KEY}
    sent = {k: v for k, v in {**sent, **headers}.items() if v is not None}
    address = fleet.hosts[0].settings.caller_address
    async with fleet.session.request(
        method, f"http://{address}{target}", data=body or None, headers=sent
    ) as response:
        received = b""
        is_complete = False
        with suppress(aiohttp.ClientPayloadError):
            received = await response.read()
            is_complete = True
        return Response(response.status, dict(response.headers), received, is_complete)


def _is_own(response: Response, target: str, headers: dict, status: int) -> bool:
    """Return whether status, identifier, seal and body are of this response."""
    return (
        response.complete
        and response.status == status
        and response.headers.get("Request-Id") == headers.get("Request-Id")
        and response.headers.get("Server-Seal") == f"seal of {target}"
        and response.body == f"data: {status} to {target}\n\n".encode()
    )


@pytest.mark.parametrize("identifiers", IDENTIFIERS.values(), ids=IDENTIFIERS)
@pytest.mark.parametrize("late_after_s", [None, 0.05])
@pytest.mark.parametrize(
    ("method", "path", "statuses"),
    [
        ("GET", "/safe", (200, 200, 200)),
        ("GET", "/safe", (500, 200, 500)),
        ("POST", "/safe", (500, 200, 500)),
        ("GET", "/unsafe", (500, 200, 500)),
        ("POST", "/unsafe", (500, 200, 500)),
        ("POST", "/unsafe", (200, 500, 200)),
        ("POST", "/unsafe", (404, 200, 404)),
        ("POST", "/turns", (200, 200, 200)),
        ("POST", "/turns", (404, 200, 404)),
        ("POST", "/resumable", (500, 200, 500)),
    ],
)
async def test_caller_gets_the_late_response_to_an_earlier_request(
    identifiers, late_after_s, method, path, statuses
):
    first_status, late_status, second_status = statuses
    async with running_fleet(state=_state()) as fleet:
        (server,) = fleet.servers
        server.next_scripts = [
            Script(with_length(first_status), with_length(late_status), late_after_s),
            Script(with_length(second_status), wait_s=0.1),
        ]
        first_target, second_target = f"{path}/first", f"{path}/second"
        await _call(fleet, first_target, method, identifiers[0])
        second = await _call(fleet, second_target, method, identifiers[1])
        if path == "/safe" and second_status == 500:
            assert second.status == 502
            return
        assert _is_own(second, second_target, identifiers[1], second_status), second


LATE = {
    "length": with_length,
    "chunks": in_chunks,
    "length, nameless": lambda status: _nameless(with_length(status)),
    "chunks, nameless": lambda status: _nameless(in_chunks(status)),
}


@pytest.mark.parametrize("late", LATE.values(), ids=LATE)
@pytest.mark.parametrize(
    ("path", "own", "late_status", "own_status"),
    [
        ("/unsafe", with_length, 200, 500),
        ("/turns", in_chunks, 200, 500),
        ("/unsafe", in_chunks, 500, 200),
    ],
)
@pytest.mark.parametrize(
    ("second_id", "late_after_s"),
    [("second", None), ("second", 0.0), ("first", 0.0), (None, 0.0)],
)
async def test_late_response_that_is_cut_short_is_joined_to_the_next(
    late, path, own, late_status, own_status, second_id, late_after_s
):
    """Where both arrive after the request, it may also fail."""
    late = late(late_status)
    sample = late(ReceivedRequest(f"POST {path}/first HTTP/1.1", {}, b""))
    longest = len(sample) + len("Request-Id: first\r\n")
    failed = []
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        for cut in range(1, longest + 1):
            server.next_scripts = [
                Script(with_length(200), _cut(late, cut), late_after_s),
                Script(own(own_status)),
            ]
            first_headers = {"Request-Id": f"first{cut}"}
            first = await _call(fleet, f"{path}/first", "POST", first_headers)
            assert first.status == 200
            if late_after_s is not None:
                await asyncio.sleep(0.005)
            identifier = f"{second_id}{cut}" if second_id else None
            headers = {"Request-Id": identifier, "Deadline-Ms": "300"}
            second = await _call(fleet, f"{path}/second", "POST", headers)
            if not _is_own(second, f"{path}/second", headers, own_status):
                failed.append((cut, second))
    assert [each for each in failed if "Server-Seal" in each[1].headers] == []
    if late_after_s is not None:
        assert failed == []


def _closing(respond) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: respond(request).replace(
        b"Keep-Alive: timeout=9", b"Connection: close"
    )


def _followed_by(respond, behind) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: respond(request) + behind(request)


BEHIND = {
    "not http": lambda _request: b"these bytes are no answer\r\n\r\n",
    "a byte": lambda _request: b"\0",
    "half a head": _cut(with_length(500), 20),
    "a response": with_length(500),
    "the response in chunks": in_chunks(200),
}


@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND)
@pytest.mark.parametrize("framing", [with_length, in_chunks])
@pytest.mark.parametrize("is_closing", [False, True])
@pytest.mark.parametrize("path", ["/safe", "/unsafe", "/turns"])
async def test_bytes_behind_a_complete_response_lose_it(
    behind, framing, is_closing, path
):
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        respond = _closing(framing(200)) if is_closing else framing(200)
        server.next_scripts = [
            Script(_followed_by(respond, behind)),
            Script(with_length(200)),
        ]
        for number in range(2):
            headers = {"Request-Id": f"request-{number}"}
            response = await _call(fleet, f"{path}/{number}", "POST", headers)
            assert _is_own(response, f"{path}/{number}", headers, 200), response
        assert server.connection_count == 2


@pytest.mark.parametrize(
    ("identifiers", "late", "connection_count"),
    [
        ([f"request-{n}" for n in range(20)], None, 1),
        (["same"] * 20, None, 20),
        ([""] * 20, None, 20),
        ([None] * 20, None, 20),
        (["a", "b"] * 10, None, 10),
        # A late response costs one connection, after the request that it met.
        ([f"request-{n}" for n in range(20)], with_length(200), 10),
    ],
)
async def test_connections_of_repeated_identifiers_pile_up(
    identifiers, late, connection_count
):
    async with running_fleet() as fleet:
        (server,), (host,) = fleet.servers, fleet.hosts
        server.next_scripts = [Script(with_length(200), late) for _ in identifiers]
        for number, identifier in enumerate(identifiers):
            headers = {"Request-Id": identifier}
            response = await _call(fleet, f"/unsafe/{number}", "POST", headers)
            assert _is_own(response, f"/unsafe/{number}", headers, 200)
        assert abs(server.connection_count - connection_count) <= len(identifiers) // 20
        assert len(host.links._idle.get(server.address, [])) <= 1


async def test_concurrent_requests_with_one_identifier_share_a_connection():
    async with running_fleet() as fleet:
        (server,), (host,) = fleet.servers, fleet.hosts
        headers = {"Request-Id": "same"}
        for _ in range(5):
            server.next_scripts = [
                Script(with_length(200), with_length(500), wait_s=0.02)
                for _ in range(8)
            ]
            responses = await asyncio.gather(
                *(_call(fleet, f"/unsafe/{n}", "POST", headers) for n in range(8))
            )
            for number, response in enumerate(responses):
                assert _is_own(response, f"/unsafe/{number}", headers, 200)
        assert len(host.links._idle[server.address]) <= 8


def _raw(text: str) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that responds with `text` and the request's identifier."""
    return lambda request: text.format(id=request.request_id).encode()


SEALED = "Request-Id: {id}\r\nServer-Seal: s\r\nKeep-Alive: timeout=9\r\n"
INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
OK = f"HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 4\r\n\r\ntext"


@pytest.mark.parametrize(
    ("method", "text", "status", "body"),
    [
        ("HEAD", f"HTTP/1.1 200 OK\r\n{SEALED}Content-Length: 99\r\n\r\n", 200, b""),
        (
            "HEAD",
            f"HTTP/1.1 200 OK\r\n{SEALED}Transfer-Encoding: chunked\r\n\r\n",
            200,
            b"",
        ),
        ("HEAD", f"HTTP/1.1 404 Not Found\r\n{SEALED}\r\n", 404, b""),
        ("GET", f"HTTP/1.1 204 No Content\r\n{SEALED}\r\n", 204, b""),
        ("GET", f"HTTP/1.1 304 Not Modified\r\n{SEALED}\r\n", 304, b""),
        (
            "GET",
            f"HTTP/1.1 304 Not Modified\r\n{SEALED}Content-Length: 9\r\n\r\n",
            304,
            b"",
        ),
        ("GET", INTERIM + OK, 200, b"text"),
        ("GET", INTERIM * 9 + OK, 200, b"text"),
        ("GET", OK + INTERIM, 200, b"text"),
        ("GET", "HTTP/1.1 102 Processing" + OK, 502, None),
        (
            "GET",
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + OK,
            502,
            None,
        ),
        ("GET", OK.replace("{id}\r\n", "{id}\r\nRequest-Id: other\r\n"), 502, None),
        ("GET", OK.replace("{id}\r\n", "other\r\nRequest-Id: {id}\r\n"), 502, None),
        ("GET", OK.replace("Length: 4", "Length: 4\r\nContent-Length: 4"), 502, None),
        ("GET", OK.replace("Length: 4", "Length: 4\r\nContent-Length: 3"), 502, None),
        ("GET", OK.replace("Length: 4", "Length: 4, 4"), 502, None),
        ("GET", OK.replace("Content-Length: 4", "Transfer-Encoding: gzip"), 502, None),
        (
            "GET",
            OK.replace("Length: 4", "Length: 4\r\nTransfer-Encoding: chunked"),
            502,
            None,
        ),
        (
            "GET",
            OK.replace("Content", "Transfer-Encoding: chunked\r\nContent"),
            502,
            None,
        ),
    ],
)
async def test_end_of_a_response_is_mistaken(method, text, status, body):
    """The next request gets its own response in any case."""
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.next_scripts = [
            Script(with_length(200)),
            Script(_raw(text)),
            Script(with_length(200)),
        ]
        for number in (0, 2):
            headers = {"Request-Id": f"request-{number}"}
            response = await _call(fleet, f"/unsafe/{number}", "POST", headers)
            assert _is_own(response, f"/unsafe/{number}", headers, 200)
            if number == 2:
                break
            second = await _call(fleet, "/unsafe/1", method, {"Request-Id": "second"})
            assert second.status == status
            if body is not None:
                assert second.body == body


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_servers_are_unreachable_on_the_event_loop_of_the_product(run):
    async def call_twice() -> None:
        async with running_fleet() as fleet:
            (server,) = fleet.servers
            server.next_scripts = [Script(with_length(200)), Script(in_chunks(200))]
            for number in range(2):
                headers = {"Request-Id": f"request-{number}"}
                response = await _call(fleet, f"/unsafe/{number}", "POST", headers)
                assert _is_own(response, f"/unsafe/{number}", headers, 200)
            assert server.connection_count == 1

    run(call_twice())


async def test_unframed_body_that_the_host_cuts_off_looks_whole():
    """The server falls silent; the host closes the connection and tries another."""
    async with running_fleet(servers=2) as fleet:
        unframed = _raw(f"HTTP/1.1 200 OK\r\n{SEALED}Connection: close\r\n\r\nhalf")
        scripts = [Script(unframed), Script(with_length(200))]
        for server in fleet.servers:
            server.next_scripts = scripts
        headers = {"Request-Id": "request", "Deadline-Ms": "1500"}
        response = await _call(fleet, "/safe/x", "GET", headers)
        assert _is_own(response, "/safe/x", headers, 200), response


@pytest.mark.parametrize("timeout", ["²", "9" * 400, "9" * 5_000, ""])
@pytest.mark.parametrize("framing", [with_length, in_chunks])
@pytest.mark.parametrize("path", ["/safe", "/unsafe", "/turns"])
async def test_odd_keep_alive_timeout_loses_a_complete_response(timeout, framing, path):
    def respond(request: ReceivedRequest) -> bytes:
        return framing(200)(request).replace(b"=9", f"={timeout}".encode())

    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.next_scripts = [Script(respond)]
        headers = {"Request-Id": "first"}
        response = await _call(fleet, f"{path}/0", "POST", headers)
        assert _is_own(response, f"{path}/0", headers, 200), response


@pytest.mark.parametrize("path", ["/safe", "/unsafe", "/turns"])
@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nServer-Load: ",
        b"HTTP/1.1 200 OK\r\nServer-Load: 1,0,8 ",
    ],
)
async def test_response_that_begins_again_has_the_status_of_its_cut_beginning(
    path, cut
):
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.next_scripts = [Script(lambda request: cut + with_length(500)(request))]
        response = await _call(fleet, f"{path}/0", "POST", {"Request-Id": "first"})
        assert response.status in (500, 502), response
