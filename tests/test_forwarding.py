"""Forwarded requests: what callers and servers receive after each kind of failure."""

import asyncio
from contextlib import suppress

import aiohttp
import pytest

from celerypulley.errors import ErrorKind, RunState
from celerypulley.hosts import fleet_host
from celerypulley.hosts.admission import Attempts
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import API_KEY, Fleet, desired_state, running_fleet
from tests.harness import wait_until

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))


@pytest.mark.parametrize(
    ("path", "modes", "status", "runs"),
    [
        ("/safe/x", [Mode.COMPLETE], 200, 1),
        ("/safe/x", [Mode.RESET, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.TRUNCATED, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.NOT_HTTP, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.NO_SEAL, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.ERROR, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.SHED, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.OTHER_INSTANCE, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.CLOSE_DELIMITED], 200, 1),
        ("/safe/x", [Mode.CLOSE_DELIMITED_RESET, Mode.COMPLETE], 200, 2),
        ("/safe/x", [Mode.EARLIER_RESPONSE], 200, 1),
        ("/safe/x", [Mode.RESET, Mode.RESET], 502, 2),
        ("/safe/x", [Mode.SHED, Mode.SHED], 503, 2),
        ("/safe/x", [Mode.RESET, Mode.SHED], 502, 2),
        ("/safe/x", [Mode.SHED, Mode.RESET], 502, 2),
        ("/safe/x", [Mode.ERROR, Mode.SHED], 502, 2),
        ("/safe/x", [Mode.ERROR, Mode.OTHER_INSTANCE], 502, 2),
        ("/resumable/x", [Mode.RESET, Mode.SHED], 502, 2),
        ("/resumable/x", [Mode.SHED, Mode.SHED], 503, 2),
        ("/unsafe/x", [Mode.COMPLETE], 200, 1),
        ("/unsafe/x", [Mode.SHED, Mode.COMPLETE], 200, 2),
        ("/unsafe/x", [Mode.OTHER_INSTANCE, Mode.COMPLETE], 200, 2),
        ("/unsafe/x", [Mode.EARLIER_RESPONSE], 200, 1),
        ("/unsafe/x", [Mode.ERROR], 500, 1),
        ("/unsafe/x", [Mode.RESET], 502, 1),
        ("/unsafe/x", [Mode.CLOSE], 502, 1),
        ("/unsafe/x", [Mode.TRUNCATED], 502, 1),
        ("/unsafe/x", [Mode.NOT_HTTP], 502, 1),
        ("/unsafe/x", [Mode.NO_SEAL], 502, 1),
        ("/unsafe/x", [Mode.CLOSE_DELIMITED_RESET], 502, 1),
        ("/turns/x", [Mode.STREAM], 200, 1),
        ("/turns/x", [Mode.SHED, Mode.STREAM], 200, 2),
        ("/turns/x", [Mode.RESET], 502, 1),
        ("/resumable/x", [Mode.RESET, Mode.STREAM], 200, 2),
        ("/nowhere/x", [Mode.COMPLETE], 404, 0),
    ],
)
async def test_each_failure_of_a_server_gets_its_answer(path, modes, status, runs):
    async with running_fleet(servers=2) as fleet:
        remaining_modes = list(modes)
        for server in fleet.servers:
            server.next_modes = remaining_modes
        response = await fleet.call(path)
        assert response.status == status
        assert sum(len(server.received) for server in fleet.servers) == runs
        is_sealed = "Server-Seal" in response.headers
        assert is_sealed == (status in (200, 500))
        if status in (429, 503):
            assert float(response.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    ("sent", "declined", "kind"),
    [
        (0, 0, ErrorKind.OVERLOADED),
        (1, 1, ErrorKind.OVERLOADED),
        (1, 0, ErrorKind.DEADLINE_PASSED),
        (2, 1, ErrorKind.DEADLINE_PASSED),
    ],
)
def test_deadline_refusal_says_not_run_only_if_confirmed(sent, declined, kind):
    attempts = Attempts(["server"] * sent, declined)
    refusal = attempts.deadline_refusal("too late")
    assert refusal.kind is kind
    is_not_run = refusal.run is RunState.NOT_RUN
    assert is_not_run == (sent == declined)


async def test_stream_resumes_on_another_server_after_the_last_event():
    async with running_fleet(servers=2) as fleet:
        remaining_modes = [Mode.RESET_WITHIN_EVENT, Mode.STREAM]
        for server in fleet.servers:
            server.next_modes = remaining_modes
        response = await fleet.call("/resumable/x")
        assert (response.status, response.complete) == (200, True)
        assert response.body == EVENTS
        resumed = [
            request.headers.get("last-event-id")
            for server in fleet.servers
            for request in server.received
        ]
        assert sorted(resumed, key=str) == ["2", None]


@pytest.mark.parametrize(
    "second_mode",
    [
        *(Mode.ERROR, Mode.SHED, Mode.OTHER_INSTANCE, Mode.NO_SEAL, Mode.NOT_HTTP),
        *(Mode.RESET, Mode.CLOSE, Mode.TRUNCATED, Mode.COMPLETE, Mode.CLOSE_DELIMITED),
    ],
)
async def test_error_of_the_next_server_becomes_part_of_a_broken_stream(second_mode):
    async with running_fleet(servers=2) as fleet:
        modes = [Mode.RESET_WITHIN_EVENT, second_mode]
        for server in fleet.servers:
            server.next_modes = modes
        status, raw = await _read_raw_response(fleet, "/resumable/x")
        assert status == 200
        assert raw.count(b"HTTP/1.1") == 1
        assert not raw.endswith(b"0\r\n\r\n")
        events = b"".join(raw.partition(b"\r\n\r\n")[2].split(b"\r\n")[1::2])
        assert events == EVENTS[: len(EVENTS) // 2]


async def _read_raw_response(fleet: Fleet, path: str) -> tuple[int, bytes]:
    """Return the status and all bytes of a response until its connection closes."""
    address = fleet.hosts[0].settings.caller_address
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    head = f"POST {path} HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: raw\r\n"
    head += f"Api-Key: {API_KEY}\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    writer.write(head.encode())
    raw = b""
    with suppress(ConnectionError):
        while data := await asyncio.wait_for(reader.read(65_536), 5.0):
            raw += data
    writer.close()
    return int(raw.split()[1]), raw


async def test_stream_that_stalls_within_an_event_is_never_resumed():
    async with running_fleet(servers=2) as fleet:
        modes = [Mode.HANG_WITHIN_EVENT, Mode.STREAM]
        for server in fleet.servers:
            server.next_modes = modes
        response = await fleet.call("/resumable/x")
        assert response.complete
        assert response.body == EVENTS


async def test_stream_that_may_not_resume_never_looks_complete():
    async with running_fleet(servers=2) as fleet:
        for server in fleet.servers:
            server.mode = Mode.RESET_WITHIN_EVENT
        response = await fleet.call("/turns/x")
        assert not response.complete
        assert sum(len(server.received) for server in fleet.servers) == 1


@pytest.mark.parametrize("mode", [Mode.EXTRA_RESPONSE, Mode.EARLIER_RESPONSE])
async def test_extra_answers_belong_to_no_later_request(mode):
    async with running_fleet() as fleet:
        fleet.servers[0].mode = mode
        for number in range(4):
            body = b"body %d" % number
            response = await fleet.call("/unsafe/x", body=body)
            assert response.body == b"the answer of " + body


@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
@pytest.mark.parametrize(
    ("modes", "first_status"),
    [
        ([Mode.SHED, Mode.REPEATED_REFUSAL], 503),
        ([Mode.SHED, Mode.NAMELESS_REFUSAL], 503),
        ([Mode.COMPLETE, Mode.NAMELESS_REFUSAL], 200),
    ],
)
async def test_earlier_refusal_says_that_a_later_request_has_not_run(
    path, modes, first_status
):
    """A caller that tries again may keep the identifier of its request."""
    async with running_fleet() as fleet:
        fleet.servers[0].next_modes = list(modes)
        headers = {"Request-Id": "same"}
        first = await fleet.call(path, headers=headers)
        assert first.status == first_status
        second = await fleet.call(path, body=b"again", headers=headers)
        assert (second.status, second.body) == (200, b"the answer of again")
        assert len(fleet.servers[0].received) == 2


async def test_headers_of_the_system_are_its_own():
    async with running_fleet() as fleet:
        headers = {
            "Tenant": "another",
            "Expect-Instance": "another",
            "Request-Priority": "0",
            "Hold": "7",
            "Pin-Ms": "9000",
            "Kv-From": "10.0.0.1:1/2",
            "Kv-Backup": "10.0.0.1:1",
            "Connection": "X-Own",
            "X-Own": "of this connection",
            "X-Passed": "on",
        }
        response = await fleet.call("/unsafe/x?a=b%20c", headers=headers)
        assert response.status == 200
        request = fleet.servers[0].received[0]
        assert request.request_line == "POST /unsafe/x?a=b%20c HTTP/1.1"
        assert request.body == b"hello"
        assert request.headers["tenant"] == "kiosks"
        assert request.headers["expect-instance"] == "server-0"
        assert request.headers["x-passed"] == "on"
        assert int(request.headers["deadline-ms"]) <= 1_500
        for name in ("api-key", "hold", "pin-ms", "kv-from", "kv-backup", "x-own"):
            assert name not in request.headers
        assert "request-priority" not in request.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/safe/x", "no-such-key", 401),
        ("/safe/x", "", 401),
        ("/open/x", "", 200),
        ("/open/x", "no-such-key", 200),
    ],
)
async def test_routes_require_keys_unless_public(path, key, status):
    async with running_fleet() as fleet:
        response = await fleet.call(path, headers={"Api-Key": key})
        assert response.status == status
        received = fleet.servers[0].received
        assert len(received) == (1 if status == 200 else 0)
        assert all("tenant" not in each.headers for each in received)


async def test_disconnected_caller_cancels_the_server_request():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        fleet.servers[0].event_interval_s = 0.05
        fleet.servers[0].event_count = 1_000
        task = asyncio.create_task(fleet.call("/turns/x"))
        await wait_until(lambda: fleet.servers[0].received)
        task.cancel()
        await wait_until(lambda: fleet.servers[0].client_disconnects == 1)


async def test_unresponsive_server_times_out_at_the_deadline():
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.HANG
        response = await fleet.call("/unsafe/x", headers={"Deadline-Ms": "200"})
        assert response.status == 504


@pytest.mark.parametrize(
    ("path", "status", "runs"),
    [("/safe/x", 200, 2), ("/resumable/x", 200, 2), ("/unsafe/x", 504, 1)],
)
async def test_request_to_a_stalled_server_is_retried_if_allowed(path, status, runs):
    async with running_fleet(servers=2) as fleet:
        remaining_modes = [Mode.HANG, Mode.STREAM]
        for server in fleet.servers:
            server.next_modes = remaining_modes
        response = await fleet.call(path, headers={"Deadline-Ms": "1400"})
        assert response.status == status
        assert sum(len(server.received) for server in fleet.servers) == runs


@pytest.mark.parametrize("field", ["state", "service", "addr", "slots", "seq"])
async def test_invalid_server_entry_is_ignored(field):
    async with running_fleet() as fleet:
        directory = fleet.hosts[0].directory
        fleet.register(fleet.servers[0], **{field: {"odd": 1}})
        fleet.store.put("servers/other", b"\xff not json")
        fleet.put_state(desired_state(version=2))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 2)
        assert (await fleet.call("/safe/x")).status == 200
        assert list(directory.servers) == ["server-0"]


async def test_leaving_server_gets_no_new_work():
    async with running_fleet(servers=2) as fleet:
        fleet.register(fleet.servers[0], state="draining")
        directory = fleet.hosts[0].directory
        await wait_until(lambda: len(directory.of_service("engines")) == 1)
        for _ in range(6):
            assert (await fleet.call("/safe/x")).status == 200
        assert len(fleet.servers[0].received) == 0


async def test_older_version_never_comes_back():
    async with running_fleet() as fleet:
        fleet.put_state(desired_state(version=5))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 5)
        fleet.put_state(desired_state(version=3, routes=[]))
        fleet.put_state(desired_state(version=6))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 6)
        fleet.store.put("op/config", b"not a desired state")
        fleet.store.compact_history()
        fleet.put_state(desired_state(version=7))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 7)
        assert (await fleet.call("/safe/x")).status == 200


async def test_version_without_a_watch_event_is_applied():
    """A store that has dropped its history may send watches no events for a while."""
    async with running_fleet() as fleet:
        fleet.store.faults.suppress_watch_events = True
        fleet.put_state(desired_state(version=2, tenants=[]))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 2)


async def test_first_watch_after_an_outage_returns_at_once():
    async with running_fleet() as fleet:
        host = fleet.hosts[0]
        fleet.store.faults.error_status = 503
        followers = (host.desired_state.follower, host.directory.follower)
        await wait_until(lambda: all(each.is_store_unavailable for each in followers))
        fleet.store.watch_waits_ms.clear()
        fleet.store.faults.error_status = 0
        await wait_until(lambda: fleet.store.watch_waits_ms.count(1) >= len(followers))


async def test_host_that_is_not_ready_sends_callers_to_other_hosts():
    async with running_fleet() as fleet, aiohttp.ClientSession() as session:
        host = fleet.hosts[0]
        fleet.session = session
        await wait_until(lambda: host._was_ready)
        assert "Connection" not in (await fleet.call("/open/x")).headers
        host.directory.servers.clear()
        await wait_until(lambda: not host._was_ready)
        response = await fleet.call("/open/x")
        assert (response.status, response.headers["Connection"]) == (503, "close")
        # The load balancer removes a host after two failed probes, one second apart.
        assert float(response.headers["Retry-After"]) > 2.0


async def test_keys_are_not_trusted_beyond_the_age_bound():
    async with running_fleet() as fleet:
        host = fleet.hosts[0]
        host.forwarder.admission.stale_after_ms = 300.0
        fleet.store.faults.hang = True
        await wait_until(lambda: host.desired_state.age_ms() > 300.0)
        refused = await fleet.call("/safe/x")
        assert (refused.status, len(fleet.servers[0].received)) == (503, 0)
        assert (await fleet.call("/open/x")).status == 200
        fleet.store.faults.hang = False
        await wait_until(lambda: host.desired_state.age_ms() < 300.0)
        host.forwarder.admission.stale_after_ms = 3_800.0
        assert (await fleet.call("/safe/x")).status == 200


async def test_host_without_store_and_quorum_is_not_ready():
    async with running_fleet(hosts=3) as fleet:
        host = fleet.hosts[0]
        host.datagrams.addresses.clear()
        host.datagrams.addresses["host-0"] = ("127.0.0.1", 1)
        host.datagrams.addresses["host-8"] = ("127.0.0.1", 2)
        host.datagrams.addresses["host-9"] = ("127.0.0.1", 3)
        assert host.is_ready()
        fleet.store.faults.error_status = 503
        await wait_until(lambda: host.desired_state.confirmer.is_store_unavailable)
        assert not host.is_ready()
        assert fleet.hosts[1].is_ready()


async def test_host_that_leaves_cuts_no_request(monkeypatch):
    """Requests on persistent connections are served until the host closes them."""
    monkeypatch.setattr(fleet_host, "_LEAVE_BALANCER_MS", 300.0)
    async with running_fleet() as fleet:
        fleet.servers[0].mode = Mode.STREAM
        fleet.servers[0].event_interval_s = 0.05
        host = fleet.hosts[0]
        responses = []

        async def call_again() -> None:
            while True:
                try:
                    responses.append(await fleet.call("/turns/x"))
                except aiohttp.ClientError:
                    return

        callers = [asyncio.create_task(call_again()) for _ in range(8)]
        await wait_until(lambda: len(responses) > 8)
        await host.leave()
        await asyncio.gather(*callers)
        assert all((each.status, each.complete) == (200, True) for each in responses)
        assert len(fleet.servers[0].received) == len(responses)


@pytest.mark.parametrize(("size", "status"), [(1_000, 200), (1_001, 413)])
async def test_body_above_the_operators_limit_is_refused(size, status):
    state = desired_state(limits={"maxBodyBytes": 1_000})
    async with running_fleet(state=state) as fleet:
        response = await fleet.call("/safe/x", body=b"x" * size)
        assert response.status == status
        assert len(fleet.servers[0].received) == (1 if status == 200 else 0)
