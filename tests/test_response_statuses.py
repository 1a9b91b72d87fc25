"""Responses whose heads are not valid: passed on, waited for, or read as not run."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

import aiohttp
import attrs
import pytest
from multidict import CIMultiDict

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts import owner_router
from celerypulley.links.backend_link import BackendError, BackendLink
from celerypulley.links.cuts import CutTable
from celerypulley.links.key_value import StoreUnavailableError
from celerypulley.links.peer_messages import Head
from celerypulley.links.platform_link import PlatformLink
from celerypulley.links.response_status import (
    HeadSequence,
    InvalidResponseError,
    StatusKind,
    classify_status,
)
from celerypulley.links.server_session import open_server_session
from celerypulley.platform.store import PlatformStore
from celerypulley.stand_ins.invalid_responses import INVALID_RESPONSES, invalid_response
from celerypulley.stand_ins.opaque_server import Mode, ReceivedRequest, Script
from tests.fleet import running_fleet
from tests.harness import running_deployment, wait_until

MAX_DETAIL = 200
PATHS = [
    ("/unsafe/x", 502, 1),
    ("/turns/x", 502, 1),
    ("/safe/x", 200, 2),
    ("/resumable/x", 200, 2),
]


@pytest.fixture
def invalid_lines(monkeypatch) -> list[str]:
    """Collect the reasons of the log lines about invalid responses."""
    reasons: list[str] = []

    def write(_log, decision: str, reason: str, **_fields: object) -> None:
        if decision == "invalid response":
            reasons.append(reason)

    monkeypatch.setattr("celerypulley.decision_log.DecisionLog.write", write)
    return reasons


@pytest.mark.parametrize("name", INVALID_RESPONSES)
async def test_invalid_response_reaches_the_caller_or_is_waited_for(
    name, invalid_lines
):
    """A request that waits for its deadline is answered 504."""
    async with running_fleet(servers=2) as fleet:
        (host,) = fleet.hosts
        for path, status, servers_tried in PATHS:
            valid = Mode.STREAM if path == "/resumable/x" else Mode.COMPLETE
            modes = [Mode.INVALID, valid]
            for server in fleet.servers:
                server.invalid_response = name
                server.next_modes = modes
                server.received.clear()
            invalid_lines.clear()
            response = await fleet.call(path)
            received = sum(len(server.received) for server in fleet.servers)
            assert (path, response.status, received) == (path, status, servers_tried)
            assert "Not-Executed" not in response.headers
            failures = [
                each.consecutive_failures for each in host.directory.servers.values()
            ]
            assert sum(failures) > 0
            await wait_until(
                lambda: not any(each.invalid_writers for each in fleet.servers)
            )
            (detail,) = invalid_lines
            assert 0 < len(detail) <= MAX_DETAIL


IDENTITY = "Request-Id: REQUEST_ID\r\nServer-Seal: s\r\n"
OK = f"HTTP/1.1 200 OK\r\n{IDENTITY}Content-Length: 4\r\n\r\ntext"
VALID = {
    "no reason": (OK.replace(" OK", ""), 200),
    "empty reason": (OK.replace(" OK", " "), 200),
    "status 299": (OK.replace("200", "299"), 299),
    "status 599": (OK.replace("200", "599"), 599),
    "status 418": (OK.replace("200", "418"), 418),
    "version 1.0": (OK.replace("1.1", "1.0"), 200),
    "leading zeros": (OK.replace(": 4", ": 0004"), 200),
    "spaces around": (OK.replace(": 4", ":  \t4 \t"), 200),
    "chunk size with zeros": (
        f"HTTP/1.1 200 OK\r\n{IDENTITY}Transfer-Encoding: Chunked\r\n\r\n"
        "004;a=b\r\ntext\r\n0\r\n\r\n",
        200,
    ),
    "sixteen interim": ("HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\n" * 16 + OK, 200),
    "unknown interim": ("HTTP/1.1 199 X\r\n\r\nHTTP/1.1 150 X\r\n\r\n" + OK, 200),
    "interim with length 0": ("HTTP/1.1 102 X\r\nContent-Length: 0\r\n\r\n" + OK, 200),
}


REDIRECT = {
    "redirect": (OK.replace("200 OK", "307 T\r\nLocation: /other"), 307),
}


def _scripted(text: str) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: text.replace("REQUEST_ID", request.request_id).encode()


@pytest.mark.parametrize(("text", "status"), VALID.values(), ids=VALID)
async def test_odd_but_valid_response_is_lost(text, status, invalid_lines):
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.next_scripts = [Script(_scripted(text))]
        response = await fleet.call("/unsafe/x")
        assert (response.status, response.body) == (status, b"text")
        assert invalid_lines == []


@pytest.mark.parametrize("name", INVALID_RESPONSES)
@pytest.mark.parametrize(("late_after_s", "status"), [(None, 502), (0.0, 200)])
async def test_late_invalid_response_is_skipped(name, late_after_s, status):
    """It comes before the next response, or ends the idle connection."""

    def late(request: ReceivedRequest) -> bytes:
        return invalid_response(name, request.request_id) * 2

    async with running_fleet() as fleet:
        (server,) = fleet.servers
        first = _scripted(OK.replace(" OK", " OK\r\nKeep-Alive: timeout=9"))
        server.next_scripts = [
            Script(first, late, late_after_s),
            Script(_scripted(OK)),
        ]
        assert (await fleet.call("/unsafe/x")).status == 200
        if late_after_s is not None:
            await asyncio.sleep(0.05)
        assert (await fleet.call("/unsafe/x")).status == status


@attrs.define(eq=False)
class RawServer:
    """A server that sends the same bytes for each request and never closes."""

    response: bytes
    address: str = ""
    request_count: int = 0
    open_count: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond until the client closes the connection."""
        self.open_count += 1
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                lengths = [line for line in lines if line.startswith("content-length:")]
                await reader.readexactly(
                    int(lengths[0].split(":")[1] if lengths else 0)
                )
                self.request_count += 1
                writer.write(self.response)
                await writer.drain()
        self.open_count -= 1
        writer.close()


@asynccontextmanager
async def raw_server(
    response: str,
) -> AsyncIterator[tuple[RawServer, aiohttp.ClientSession]]:
    """Run a RawServer, and open the session with which the product calls servers."""
    server = RawServer(response.replace("REQUEST_ID", "r").encode())
    listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    server.address = "{}:{}".format(*listening.sockets[0].getsockname())
    async with open_server_session() as session:
        yield server, session
    listening.close()


async def _call_plain(address: str, session: aiohttp.ClientSession) -> tuple:
    link = BackendLink(session, session)
    response = await link.call_plain(address, "/x", b"x", "", "r", 0.7)
    return response.status, response.body


async def _stream_chat(address: str, session: aiohttp.ClientSession) -> None:
    link = BackendLink(session, session)
    async for _ in link.stream_chat(address, b"x", "r", 0.7):
        pass


async def _read_json(address: str, session: aiohttp.ClientSession) -> None:
    await BackendLink(session, session).read_json(address, "/load", 0.7)


async def _post_json(address: str, session: aiohttp.ClientSession) -> None:
    await BackendLink(session, session).post_json(address, "/release", {})


async def _read_store(address: str, session: aiohttp.ClientSession) -> None:
    await PlatformStore(address, session, 700.0).read("k")


async def _read_platform(address: str, session: aiohttp.ClientSession) -> None:
    await PlatformLink(f"http://{address}", session, CutTable()).read("k")


async def _watch_platform(address: str, session: aiohttp.ClientSession) -> None:
    link = PlatformLink(f"http://{address}", session, CutTable())
    async with asyncio.timeout(0.7):
        async for _ in link.watch("k/", 1):
            pass


CLIENTS = [
    _call_plain,
    _stream_chat,
    _read_json,
    _post_json,
    _read_store,
    _read_platform,
    _watch_platform,
]


@pytest.mark.parametrize("name", INVALID_RESPONSES)
@pytest.mark.parametrize("call", CLIENTS)
async def test_client_of_aiohttp_takes_an_invalid_response(name, call, invalid_lines):
    async with raw_server(INVALID_RESPONSES[name]) as (server, session):
        with pytest.raises((BackendError, StoreUnavailableError)) as raised:
            await call(server.address, session)
        error = raised.value
        assert not isinstance(error.__cause__, TimeoutError)
        assert getattr(error, "sent", True)
        assert getattr(error, "status", None) is None
        assert getattr(error, "may_have_run", True)
        await wait_until(lambda: not server.open_count)
        (detail,) = invalid_lines
        assert 0 < len(detail) <= MAX_DETAIL
        assert server.request_count == 1


@pytest.mark.parametrize(
    ("text", "status"),
    [*VALID.values(), *REDIRECT.values()],
    ids=[*VALID, *REDIRECT],
)
async def test_client_of_aiohttp_loses_an_odd_but_valid_response(text, status):
    """A redirect that is followed sends the request a second time."""
    async with raw_server(text) as (server, session):
        assert await _call_plain(server.address, session) == (status, b"text")
        assert server.request_count == 1


async def test_invalid_response_of_a_plain_service_or_engine_means_not_run():
    """The product's own front end, whole."""
    names = ["status 000 with a body", "status 199 chunked", "equal lengths"]
    async with running_deployment() as deployment:
        (host, *_) = deployment.hosts
        for number, name in enumerate(names):
            await deployment.set_faults(deployment.plain_address, invalid_response=name)
            for path, status, key in (
                ("/tokens", 504, {"Idempotency_Key": f"key-{number}"}),
                ("/catalogue", 502, {}),
            ):
                body = {"id": f"{path}-{number}"}
                found, headers, _ = await deployment.post(host, path, body, **key)
                assert (path, found) == (path, status)
                assert headers["X-Celerypulley-Run"] == "unknown"
        counts = await deployment.read_json(deployment.plain_address, "/counts")
        assert counts["runs"]["/tokens-0"] == 1
        program = await deployment.open_program(host)
        for address in deployment.engine_addresses:
            await deployment.set_faults(address, invalid_response=names[0])
        status, headers, error = await deployment.send_turn(host, program, "hello")
        assert (status, headers["X-Celerypulley-Run"]) == (502, "unknown"), error


async def test_invalid_load_report_of_an_engine_means_that_it_has_ended():
    """Such a report is evidence against the engine, not against what it ran."""
    async with running_deployment() as deployment:
        (host, *_) = deployment.hosts
        address = deployment.engine_addresses[0]
        await deployment.set_faults(address, invalid_load="status 000 with a body")
        reachability = await host.servers.probe(str(address))
        assert reachability.name == "ACCEPTS"
        engine = host.servers.engines["engine-0"]
        await wait_until(lambda: engine.consecutive_failures > 0)


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, -1, "200", None])
async def test_invalid_status_of_a_peer_is_passed_on(status):
    with pytest.raises(CallRefusedError) as raised:
        await owner_router._forward_reply(Head(status, {}), owner_router._ReportSink())
    assert raised.value.refusal.kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("statuses", "kind"),
    [
        (range(200, 600), StatusKind.FINAL),
        ([100, *range(102, 200)], StatusKind.INTERIM),
        ([*range(-1, 100), 101, *range(600, 1_001)], StatusKind.INVALID),
        ([None, "200", 200.0, True, b"200"], StatusKind.INVALID),
    ],
)
def test_status_is_of_another_kind(statuses, kind):
    assert {classify_status(each) for each in statuses} == {kind}


@pytest.mark.parametrize(
    ("interim_count", "is_valid"), [(0, True), (16, True), (17, False)]
)
def test_interim_responses_have_no_bound(interim_count, is_valid):
    heads = HeadSequence()
    accepted = []
    with suppress(InvalidResponseError):
        for status in [102] * interim_count + [200]:
            accepted.append(heads.accept("1.1", status, CIMultiDict()))
    assert (accepted[-1:] == [True]) == is_valid
