"""Faults that operators of similar systems have reported."""

import asyncio

import aiohttp
import pytest

from celerypulley.hosts import fleet_host
from celerypulley.platform.desired_state import decode_server
from celerypulley.stand_ins.opaque_server import Mode, OpaqueServer
from tests.fleet import API_KEY, desired_state, running_fleet, server_entry
from tests.harness import wait_until


def _numbered(field: str, digits: str) -> bytes:
    """Return an entry with a number that only other encoders write."""
    return server_entry(**{field: 77}).replace(b"77", digits.encode())


ODD_ENTRIES = {
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested field": server_entry(zone=0).replace(
        b'"zone":0', b'"zone":' + b"[" * 100_000
    ),
    "nested deeply enough": server_entry(addr=0).replace(b"0", b"[" * 900 + b"]" * 900),
    "long slots": _numbered("slots", "9" * 5_000),
    "infinite slots": _numbered("slots", "1e999"),
    "huge slots": _numbered("slots", "1e308"),
    "negative slots": server_entry(slots=-1),
    "infinite start": _numbered("born", "1e999"),
    "infinite sequence": _numbered("seq", "-1e999"),
    "port 0": server_entry(addr="127.0.0.1:0"),
    "port 65536": server_entry(addr="127.0.0.1:65536"),
    "port in other digits": server_entry(addr="127.0.0.1:²"),
    "port in Arabic digits": server_entry(addr="127.0.0.1:\u0668\u0660\u0660\u0661"),
    "long port": server_entry(addr="127.0.0.1:" + "8" * 5_000),
    "name for an address": server_entry(addr="localhost:8001"),
    "space for an address": server_entry(addr=" :8001"),
    "not utf-8": b'{"service":"\xff"}',
}
ODD_NAMES = ["", "a\r\nTenant: other", "a b", "\u00e9", "a" * 300]


@pytest.mark.parametrize("raw", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_raises_another_error(raw):
    with pytest.raises(ValueError):
        decode_server("servers/odd", raw)


@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_name_of_a_server_is_accepted(name):
    """Names are written into the headers of requests."""
    with pytest.raises(ValueError):
        decode_server(f"servers/{name}", server_entry())


@pytest.mark.parametrize("raw", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
async def test_odd_entry_ends_the_host_or_hides_the_others(raw):
    async with running_fleet() as fleet:
        (host,) = fleet.hosts
        fleet.store.put("servers/odd", raw)
        await wait_until(
            lambda: host.directory.follower._revision >= fleet.store.revision
        )
        late = OpaqueServer("late")
        await late.start()
        fleet.servers.append(late)
        fleet.register(late)
        await wait_until(lambda: "late" in host.directory.servers)
        assert set(host.directory.servers) == {"server-0", "late"}
        for number in range(4):
            assert (await fleet.call(f"/safe/{number}")).status == 200
        assert not host.should_stop


HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST_ID\r\nServer-Seal: s\r\n"
    b"Server-Load: 1,0,8\r\nContent-Length: 9\r\n\r\n"
)
CHUNKED = HEAD.replace(b"Content-Length: 9", b"Transfer-Encoding: chunked")


@pytest.mark.parametrize("path", ["/unsafe/x", "/turns/x"])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "whole", [HEAD + b"all of it", CHUNKED + b"9\r\nall of it\r\n0\r\n\r\n"]
)
async def test_response_that_ends_in_its_head_or_body_looks_whole(path, reset, whole):
    """An unframed body can begin only after the empty line that ends the head."""
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.mode = Mode.CUT_SHORT
        length = len(whole) - len("REQUEST_ID") + len("request-1")
        for cut in range(1, length):
            server.cut_response = (whole, cut, reset)
            fleet.request_count = 0
            response = await fleet.call(path, body=b"%d" % cut)
            is_whole = response.complete and response.status == 200
            assert not is_whole, (cut, response)


@pytest.fixture
def short_grace(monkeypatch):
    """Leave 0.3 s for the balancer, and end what still runs 4 s later."""
    monkeypatch.setattr(fleet_host, "_LEAVE_BALANCER_MS", 300.0)
    monkeypatch.setattr(fleet_host, "_STOP_MARGIN_MS", 3_700.0)


async def _send_slowly(address, request_id: str, wait_s: float, deadline_ms: int):
    """Send a request whose last byte follows after `wait_s`; return what comes back."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    head = [
        "POST /unsafe/x HTTP/1.1",
        "Host: agents.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Api-Key: {API_KEY}",
        "Content-Length: 5",
    ]
    writer.write(("\r\n".join(head) + "\r\n\r\nhell").encode())
    await asyncio.sleep(wait_s)
    writer.write(b"o")
    try:
        received = await reader.read()
    except ConnectionError:
        received = b""
    writer.close()
    return received


@pytest.mark.parametrize(
    ("sent_after_s", "deadline_ms", "statuses", "runs"),
    [
        # The server never answers; the caller would wait for longer than the host runs.
        (0.0, 9_000, (b"502", b"504"), 1),
        (0.6, 9_000, (b"502", b"504"), 1),
        # Too late to be answered by a server: it is refused and has not run.
        (3.6, 9_000, (b"503",), 0),
    ],
)
async def test_request_in_the_grace_of_a_stop_is_cut(
    short_grace, sent_after_s, deadline_ms, statuses, runs
):
    state = desired_state()
    for each in state["routes"]:
        each["timeoutMs"] = 30_000
    async with running_fleet(state=state) as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.mode = Mode.HANG
        address = host.settings.caller_address
        sending = asyncio.create_task(
            _send_slowly(address, "late", sent_after_s, deadline_ms)
        )
        await asyncio.sleep(0.05)
        await host.leave()
        received = await sending
        assert received.split(b" ", 2)[1:2] and received.split(b" ", 2)[1] in statuses
        assert len(server.received) == runs


async def test_request_after_the_grace_began_waits_for_the_stop(short_grace):
    """A caller with a kept connection is told to use another one, and is served."""
    async with running_fleet() as fleet:
        (host,) = fleet.hosts
        async with aiohttp.ClientSession() as session:
            url = f"http://{host.settings.caller_address}/safe/x"
            headers = {"Host": "agents.example", "Api-Key": API_KEY}
            leaving = asyncio.create_task(host.leave())
            await asyncio.sleep(0.1)
            async with session.post(url, headers=headers, data=b"x") as response:
                assert response.status == 200
                assert response.headers["Connection"] == "close"
        await leaving


async def test_stop_ends_with_a_request_whose_deadline_has_just_passed():
    """Its time-out has expired, but its task has not run since."""
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.mode = Mode.HANG
        call = asyncio.create_task(fleet.call("/unsafe/x"))
        await wait_until(lambda: host.forwarder._running)
        (timeout,) = host.forwarder._running
        timeout._on_timeout()
        host.forwarder.stop_by(host.clock.now_ms() + 1_000.0)
        assert (await call).status == 504
