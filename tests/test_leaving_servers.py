"""Servers that announce in their responses that they leave."""

import asyncio

import attrs
import pytest

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.stand_ins.opaque_server import Mode, OpaqueServer
from tests.fleet import Fleet, desired_state, route, running_fleet
from tests.harness import ManualClock, wait_until

ANNOUNCEMENT = ("Server-Leaving: 1",)
# All routes allow two attempts, and the resumable one lets a stream go on elsewhere.
STATE = desired_state(
    routes=[
        route("safe", "/safe/", type="idempotent"),
        route("unsafe", "/unsafe/"),
        route("turns", "/turns/", type="stream", serverHistory=True, retainS=60.0),
        route("resumable", "/resumable/", type="stream", resumable=True, attempts=3),
    ]
)


async def announce(fleet: Fleet, number: int = 0) -> OpaqueServer:
    """Let a server announce that it leaves, and forward its response."""
    server = fleet.servers[number]
    server.added_headers = ANNOUNCEMENT
    others = [each for each in fleet.servers if each is not server]
    for each in others:
        fleet.hosts[0].directory.servers[each.name].backoff_until_ms = float("inf")
    assert (await fleet.call("/safe/announce")).status == 200
    for each in others:
        fleet.hosts[0].directory.servers[each.name].record_success()
    server.received.clear()
    return server


def shift_announcement(server: EngineState, by_ms: float) -> None:
    if server.announcement is not None:
        learned_ms = server.announcement.learned_ms + by_ms
        server.announcement = attrs.evolve(server.announcement, learned_ms=learned_ms)


def pass_drain_time(fleet: Fleet) -> None:
    """Let the announcements be older than the time for which a server drains."""
    for host in fleet.hosts:
        for server in host.directory.servers.values():
            shift_announcement(server, -host.directory.drain_ms)


@pytest.mark.parametrize("is_store_away", [False, True])
@pytest.mark.parametrize(
    ("mode", "path"),
    [
        (Mode.COMPLETE, "/unsafe/x"),
        (Mode.STREAM, "/turns/x"),
        (Mode.RESET_WITHIN_EVENT, "/resumable/x"),
        (Mode.SHED, "/unsafe/x"),
        (Mode.ERROR, "/safe/x"),
    ],
)
async def test_server_gets_requests_after_it_announced_that_it_leaves(
    mode, path, is_store_away
):
    async with running_fleet(servers=2, state=STATE) as fleet:
        if is_store_away:
            fleet.store.faults.error_status = 503
        leaving, other = fleet.servers
        leaving.added_headers = ANNOUNCEMENT
        other.mode = Mode.STREAM if mode is not Mode.COMPLETE else Mode.COMPLETE
        while not leaving.received:
            leaving.mode = mode
            await fleet.call(path)
        # By load alone, every request would be sent to the server that leaves.
        fleet.hosts[0].directory.servers[other.name].in_flight_on_others = 50
        for _ in range(8):
            assert (await fleet.call("/safe/x")).status == 200
        assert len(leaving.received) == 1


@pytest.mark.parametrize("is_late", [False, True])
async def test_request_is_served_or_refused_where_all_servers_leave(is_late):
    """Until the time to drain has passed, a server that leaves is the last resort."""
    async with running_fleet(servers=1, state=STATE) as fleet:
        server = await announce(fleet)
        if is_late:
            pass_drain_time(fleet)
        response = await fleet.call("/unsafe/x")
        assert response.status == (503 if is_late else 200)
        assert len(server.received) == (0 if is_late else 1)
        if is_late:
            assert response.headers["X-Celerypulley-Run"] == "not-run"
            assert float(response.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    ("mode", "path"),
    [
        (Mode.RESET, "/safe/x"),
        (Mode.SHED, "/unsafe/x"),
        (Mode.ERROR, "/safe/x"),
        (Mode.HANG, "/safe/x"),
        (Mode.RESET_WITHIN_EVENT, "/resumable/x"),
        (Mode.HANG_WITHIN_EVENT, "/resumable/x"),
    ],
)
async def test_late_request_is_sent_on_to_a_leaving_server(mode, path):
    """Its first attempt breaks off; the only other server leaves."""
    async with running_fleet(servers=2, state=STATE) as fleet:
        leaving = await announce(fleet)
        pass_drain_time(fleet)
        fleet.servers[1].mode = mode
        response = await fleet.call(path)
        assert response.status != 200 or not response.complete
        assert leaving.received == []


@pytest.mark.parametrize("is_late", [False, True])
async def test_request_that_came_before_is_kept_from_a_leaving_server(is_late):
    """Whether it is late depends on when it came, not on when it is sent."""
    async with running_fleet(servers=2, state=STATE) as fleet:
        other = fleet.servers[1]
        leaving = await announce(fleet)
        if is_late:
            pass_drain_time(fleet)
        other.mode = Mode.HANG
        call = asyncio.create_task(fleet.call("/safe/x"))
        await wait_until(lambda: other.received)
        if not is_late:
            pass_drain_time(fleet)
            for server in fleet.hosts[0].directory.servers.values():
                shift_announcement(server, 50.0)  # the request came before that
        other.crash()
        assert (await call).status == (502 if is_late else 200)
        assert len(leaving.received) == (0 if is_late else 1)


@pytest.mark.parametrize(
    "headers",
    [
        ("Server-Leaving: 0",),
        ("Server-Leaving: 2",),
        ("Server-Leaving: true",),
        ("Server-Leaving:",),
        ("Server-Leaving: 1, 1",),
        ("Server-Leaving: 1", "Server-Leaving: 1"),
        ("Server-Leaving: 1", "Server-Leaving: 0"),
    ],
)
async def test_other_value_is_taken_for_an_announcement(headers):
    async with running_fleet(servers=1, state=STATE) as fleet:
        fleet.servers[0].added_headers = headers
        assert (await fleet.call("/unsafe/x")).status == 200
        directory = fleet.hosts[0].directory
        assert directory.servers["server-0"].announcement is None
        assert directory.invalid_announcements == 1


async def test_name_of_the_header_is_spelt_in_one_way():
    async with running_fleet(servers=1, state=STATE) as fleet:
        fleet.servers[0].added_headers = ("sErVeR-lEaViNg: 1",)
        assert (await fleet.call("/unsafe/x")).status == 200
        directory = fleet.hosts[0].directory
        assert directory.servers["server-0"].announcement is not None


@pytest.mark.parametrize(
    "mode",
    [
        Mode.OTHER_INSTANCE,
        Mode.NO_SEAL,
        Mode.EARLIER_ANNOUNCEMENT,
        Mode.EXTRA_ANNOUNCEMENT,
    ],
)
async def test_response_to_nobody_announces(mode):
    """Another instance, an unsealed one, an earlier or an additional response."""
    async with running_fleet(servers=1, state=STATE) as fleet:
        (server,) = fleet.servers
        if mode in (Mode.OTHER_INSTANCE, Mode.NO_SEAL):
            server.added_headers = ANNOUNCEMENT
        server.next_modes = [mode]
        await fleet.call("/unsafe/x")
        server.added_headers = ()
        assert (await fleet.call("/unsafe/x")).status == 200
        known = fleet.hosts[0].directory.servers["server-0"]
        assert known.announcement is None


@pytest.mark.parametrize(
    ("name", "fields", "is_leaving"),
    [
        ("server-0", {"born": 9}, False),
        ("server-0", {"seq": 2}, True),
        ("server-0", {"slots": 3}, True),
        ("another", {}, False),
    ],
)
async def test_announcement_passes_to_another_start(name, fields, is_leaving):
    """It belongs to one start of a server, and not to its address."""
    async with running_fleet(servers=1, state=STATE) as fleet:
        server = await announce(fleet)
        server.added_headers = ()
        server.name = name
        fleet.register(server, **fields)
        directory = fleet.hosts[0].directory
        await wait_until(
            lambda: (
                directory.follower._revision >= fleet.store.revision
                and name in directory.servers
            )
        )
        is_announced = directory.servers[name].announcement is not None
        assert is_announced == is_leaving


async def test_announcement_is_logged_for_each_request(monkeypatch):
    lines = []
    async with running_fleet(servers=2, state=STATE) as fleet:
        monkeypatch.setattr(
            "celerypulley.hosts.server_directory._log.write",
            lambda decision, *_reason, **fields: lines.append(decision),
        )
        await announce(fleet)
        for _ in range(5):
            await fleet.call("/safe/x")
        assert lines == ["announced that it leaves", "request kept from a leaving one"]
        directory = fleet.hosts[0].directory
        assert directory.count_leaving() == {"entry": 0, "response": 1, "peer": 0}


@pytest.mark.parametrize(("born", "is_known"), [(0, True), (9, False)])
async def test_other_hosts_do_not_learn_of_an_announcement(born, is_known):
    """What a host learned counts for the same start of the server only."""
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        first, second = (host.directory for host in fleet.hosts)
        await announce(fleet)
        if not is_known:
            second.servers["server-0"].started_ms = born
        await wait_until(lambda: fleet.hosts[1].gossip.peers["host-0"].leaving)
        assert first.count_leaving() == {"entry": 0, "response": 1, "peer": 0}
        assert second.count_leaving() == {"entry": 0, "response": 0, "peer": is_known}
        assert second.announced_leaving() == {}


def test_server_that_leaves_is_named_for_good():
    clock = ManualClock()
    directory = ServerDirectory(None, "", None, None, "a", 2_000.0, clock.clock)
    server = EngineState("s", "a", "", frozenset(), started_ms=7)
    directory.servers["s"] = server
    directory.record_announcement(server, leaving=True)
    assert directory.announced_leaving() == {"s": 7}
    clock.advance(10_000.0)
    assert directory.announced_leaving() == {}
