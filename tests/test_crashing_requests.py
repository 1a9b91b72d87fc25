"""Requests that crash servers, and those that a host may mistake for one."""

import asyncio
import hashlib
from functools import partial

import pytest

from celerypulley.hosts.fleet_host import FleetHost
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import Fleet, Response, desired_state, running_fleet
from tests.harness import wait_until

OTHER_KEY = "key-of-others"
STATE = desired_state(
    tenants=[
        {"name": "kiosks", "apiKeys": ["key-of-kiosks"], "ratePerS": 0, "burst": 0},
        {"name": "others", "apiKeys": [OTHER_KEY], "ratePerS": 0, "burst": 0},
    ]
)


def counts(host: FleetHost) -> dict[str, int]:
    """Return the crashes that a host knows of, by request and group."""
    crashes = host.crash_counts
    return {each: crashes.count(each) for each in crashes._crashes}


def request_counts(host: FleetHost) -> dict[str, int]:
    """Return the crashes that a host knows of, by request."""
    return {each: count for each, count in counts(host).items() if "-" in each}


def knows_start(host: FleetHost, server: str, started_ms: int) -> bool:
    entry = host.directory._entries.get(f"servers/{server}")
    return entry is not None and entry.started_ms == started_ms


async def restart_crashed(fleet: Fleet) -> None:
    """Start the servers that have ended again, each as a new instance."""
    for server in fleet.servers:
        if server.is_listening:
            continue
        await server.start()
        started_ms = 1_000 + server.crash_count
        fleet.register(server, born=started_ms)
        for host in fleet.hosts:
            await wait_until(partial(knows_start, host, server.name, started_ms))


def _total_crashes(fleet: Fleet) -> int:
    return sum(server.crash_count for server in fleet.servers)


async def send_crashing(
    fleet: Fleet,
    number: int,
    path: str,
    body: bytes = b"hello",
    method: str = "POST",
    **headers: str,
) -> int:
    """Send a request while it crashes servers; return the status once all agree."""
    crashes = -_total_crashes(fleet)
    counted = [sum(request_counts(host).values()) for host in fleet.hosts]
    for server in fleet.servers:
        server.mode = Mode.CRASH
    host = number % len(fleet.hosts)
    response = await fleet.call(path, host, method, body, headers)
    crashes += _total_crashes(fleet)
    await wait_until(
        lambda: all(
            sum(request_counts(host).values()) == before + crashes
            for host, before in zip(fleet.hosts, counted, strict=True)
        )
    )
    await restart_crashed(fleet)
    return response.status


async def send_whole(fleet: Fleet, path: str, **fields: object) -> Response:
    for server in fleet.servers:
        server.mode = Mode.COMPLETE
    return await fleet.call(path, **fields)


@pytest.mark.parametrize(
    ("path", "header"),
    [
        ("/unsafe/x", ""),
        ("/unsafe/x", "Request-Id"),
        ("/unsafe/x", "Program-Id"),
        ("/unsafe/x", "Previous-Turn"),
        ("/unsafe/x", "Session-Id"),
        ("/unsafe/x?again={}", ""),
    ],
)
async def test_request_comes_back_after_three_crashes_and_is_sent(path, header):
    """It comes back with the same path, caller and body; the rest may differ."""
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        statuses = []
        for number in range(6):
            headers = {header: f"value-{number}"} if header else {}
            statuses.append(
                await send_crashing(fleet, number, path.format(number), **headers)
            )
        assert statuses == [502, 502, 502, 503, 503, 503]
        assert sum(server.crash_count for server in fleet.servers) == 3


@pytest.mark.parametrize(
    ("path", "fields"),
    [
        ("/unsafe/x", {"body": b"another"}),
        ("/unsafe/x", {"headers": {"Api-Key": OTHER_KEY}}),
        ("/unsafe/x", {"method": "PUT"}),
        ("/unsafe/y", {}),
        ("/unsafe/x?meter=1", {}),
    ],
)
async def test_request_is_mistaken_for_one_that_crashes_servers(path, fields):
    async with running_fleet(servers=2, state=STATE) as fleet:
        for number in range(3):
            await send_crashing(fleet, number, "/unsafe/x")
        assert (await send_whole(fleet, "/unsafe/x")).status == 503
        assert (await send_whole(fleet, path, **fields)).status == 200


@pytest.mark.parametrize("starts", [1, 3])
async def test_crashing_request_is_sent_again_after_all_hosts_were_killed(starts):
    async with running_fleet(hosts=3, servers=2, state=STATE) as fleet:
        for number in range(3):
            await send_crashing(fleet, number, "/unsafe/x")
        await asyncio.sleep(0.3)
        for _ in range(starts):
            await fleet.replace_all_hosts()
        for server in fleet.servers:
            server.received.clear()
        for host in range(3):
            refused = await fleet.call("/unsafe/x", host)
            assert (refused.status, b"quarantined" in refused.body) == (503, True)
        assert not any(server.received for server in fleet.servers)
        assert (await send_whole(fleet, "/unsafe/x", body=b"other")).status == 200


async def test_cleared_request_is_refused_after_all_hosts_were_killed():
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        for number in range(2):
            await send_crashing(fleet, number, "/unsafe/x")
        await asyncio.sleep(0.3)
        assert (await send_whole(fleet, "/unsafe/x", host=1)).status == 200
        await asyncio.sleep(0.3)
        await fleet.replace_all_hosts()
        assert [counts(host) for host in fleet.hosts] == [{}, {}]


@pytest.mark.parametrize(
    ("path", "method", "body"),
    [("/unsafe/x", "GET", b""), ("/unsafe/x", "POST", b"b"), ("/turns/x", "POST", b"")],
)
async def test_request_beside_the_culprit_is_refused_after_it_has_run_whole(
    path, method, body
):
    """Its servers crash by other causes, and it runs whole in between."""
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        for number in range(4):
            await send_crashing(fleet, number, path, body, method)
            mode = Mode.STREAM if path.startswith("/turns/") else Mode.COMPLETE
            for server in fleet.servers:
                server.mode = mode
            response = await fleet.call(path, host=1, body=body, method=method)
            assert response.status == 200
            await wait_until(
                lambda: all(set(counts(host).values()) == {0} for host in fleet.hosts)
            )
        assert sum(server.crash_count for server in fleet.servers) == 4


@pytest.mark.parametrize(
    ("previous", "body", "status"),
    [
        ("first", b"yes", 503),
        ("same text", b"yes", 503),
        ("other text", b"yes", 200),
        ("", b"yes", 200),
        ("first", b"no", 200),
    ],
)
async def test_common_text_is_refused_after_three_crashes_elsewhere(
    previous, body, status
):
    """A turn is known by its input and all that it continues, whatever its name."""
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        texts = {"first": b"one", "same text": b"one", "other text": b"two"}
        for server in fleet.servers:
            server.mode = Mode.STREAM
        for name, text in texts.items():
            first = await fleet.call(
                "/turns/x", body=text, headers={"Request-Id": name}
            )
            assert (first.status, first.complete) == (200, True)
        for number in range(6):
            headers = {"Previous-Turn": "first"}
            await send_crashing(fleet, number, "/turns/x", body=b"yes", **headers)
        assert sum(server.crash_count for server in fleet.servers) == 3
        for server in fleet.servers:
            server.mode = Mode.STREAM
        headers = {"Previous-Turn": previous} if previous else {}
        again = await fleet.call("/turns/x", host=1, body=body, headers=headers)
        assert again.status == status


@pytest.mark.parametrize(
    "mode",
    [
        Mode.RESET,
        Mode.CLOSE,
        Mode.TRUNCATED,
        Mode.CLOSE_DELIMITED_RESET,
        Mode.NOT_HTTP,
        Mode.NO_SEAL,
        Mode.HANG,
    ],
)
async def test_request_whose_responses_are_lost_is_refused(mode):
    """The server goes on, so the request has not crashed it."""
    async with running_fleet(servers=2) as fleet:
        for _ in range(4):
            for server in fleet.servers:
                server.mode = mode
            await fleet.call("/safe/x", headers={"Deadline-Ms": "700"})
        await asyncio.sleep(0.1)
        assert (await send_whole(fleet, "/safe/x")).status == 200
        assert counts(fleet.hosts[0]) == {}


@pytest.mark.parametrize(
    ("path", "mode"), [("/turns/x", Mode.STREAM), ("/unsafe/x", Mode.COMPLETE)]
)
@pytest.mark.parametrize("ended", [3, 5])
async def test_equal_requests_are_refused_after_their_servers_end_together(
    path, mode, ended
):
    """Some of them run whole on other servers, and were sent before the crashes."""
    async with running_fleet(hosts=2, servers=9) as fleet:
        for server in fleet.servers:
            server.mode = mode
            server.response_delay_s = 0.8
        calls = [
            asyncio.create_task(
                fleet.call(path, number % 2, headers={"Token-Usage": "1000,200"})
            )
            for number in range(18)
        ]
        await wait_until(lambda: all(server.received for server in fleet.servers))
        await asyncio.sleep(0.4)
        for server in fleet.servers[:ended]:
            server.crash()
        responses = await asyncio.gather(*calls)
        is_whole = [each.status == 200 and each.complete for each in responses]
        assert any(is_whole)
        assert not all(is_whole)
        await restart_crashed(fleet)
        await wait_until(lambda: not any(sum(counts(h).values()) for h in fleet.hosts))
        for number in range(4):
            assert (await fleet.call(path, host=number % 2)).status == 200


async def _end_all_servers(fleet: Fleet, path: str) -> None:
    """End all servers at once while equal requests run there, and start them again."""
    for server in fleet.servers:
        server.mode = Mode.HANG
    calls = [
        asyncio.create_task(fleet.call(path, host=number % len(fleet.hosts)))
        for number in range(4 * len(fleet.servers))
    ]
    await wait_until(lambda: all(server.received for server in fleet.servers))
    for server in fleet.servers:
        server.crash()
    await asyncio.gather(*calls)
    await wait_until(
        lambda: all(list(request_counts(h).values()) == [3] for h in fleet.hosts)
    )
    await restart_crashed(fleet)


@pytest.mark.parametrize(
    ("first_mode", "statuses"),
    [
        (Mode.COMPLETE, [503, 503, 200, 200, 200]),
        (Mode.SHED, [503, 503, 503, 200, 200]),
    ],
)
async def test_common_request_is_refused_for_good_after_all_its_servers_ended(
    first_mode, statuses
):
    """It gets a trial run, which clears it; one that was not run is repeated."""
    async with running_fleet(hosts=2, servers=3) as fleet:
        for host in fleet.hosts:
            host.crash_trials.delays_ms = (1_000.0, 60_000.0)
        await _end_all_servers(fleet, "/unsafe/x")
        for server in fleet.servers:
            server.mode = Mode.COMPLETE
        seen = []
        for number in range(5):
            if number == 2:
                for server in fleet.servers:
                    server.next_modes = [first_mode]
                await asyncio.sleep(1.0)
            if number == 3:
                for server in fleet.servers:
                    server.next_modes = []
                await asyncio.sleep(1.2)
            response = await fleet.call("/unsafe/x", host=number % 2)
            seen.append(response.status)
            if number < 2:
                assert float(response.headers["Retry-After"]) <= 1.0
        assert seen == statuses
        await wait_until(lambda: not any(sum(counts(h).values()) for h in fleet.hosts))


async def test_crashing_request_gets_trial_runs_on_every_host():
    """All hosts share two, also those that start after a kill of all hosts."""
    async with running_fleet(hosts=3, servers=3) as fleet:

        async def call_everywhere() -> set[int]:
            calls = [fleet.call("/safe/x", host=number % 3) for number in range(9)]
            return {response.status for response in await asyncio.gather(*calls)}

        for host in fleet.hosts:
            host.crash_trials.delays_ms = (200.0, 500.0)
        await _end_all_servers(fleet, "/safe/x")
        for server in fleet.servers:
            server.mode = Mode.CRASH
        for _ in range(12):
            assert await call_everywhere() <= {502, 503}
            await restart_crashed(fleet)
            await asyncio.sleep(0.1)
        assert _total_crashes(fleet) == 5
        await fleet.replace_all_hosts()
        for host in fleet.hosts:
            host.crash_trials.delays_ms = (0.0, 0.0)
        for _ in range(5):
            assert await call_everywhere() == {503}
        assert _total_crashes(fleet) == 5


async def test_one_crash_counts_for_each_call_that_it_ended():
    async with running_fleet(hosts=2, servers=1) as fleet:
        (server,) = fleet.servers
        server.mode = Mode.HANG
        calls = [
            asyncio.create_task(fleet.call("/unsafe/x", host=number % 2))
            for number in range(4)
        ]
        await wait_until(lambda: len(server.received) == 4)
        server.crash()
        assert [call.status for call in await asyncio.gather(*calls)] == [502] * 4
        await wait_until(lambda: all(counts(host) for host in fleet.hosts))
        await asyncio.sleep(0.5)  # two gossip periods
        assert [list(request_counts(host).values()) for host in fleet.hosts] == [
            [1],
            [1],
        ]


async def test_admitted_request_is_sent_after_the_third_crash():
    """Other hosts learn of the third crash while the first attempt is under way."""
    async with running_fleet(servers=2) as fleet:
        (host,) = fleet.hosts
        for server in fleet.servers:
            server.mode = Mode.HANG
        call = asyncio.create_task(fleet.call("/safe/x"))
        await wait_until(lambda: any(server.received for server in fleet.servers))
        crashed = next(server for server in fleet.servers if server.received)
        crashed.crash()
        await wait_until(lambda: counts(host))
        (fingerprint,) = request_counts(host)
        await call
        await restart_crashed(fleet)
        for server in fleet.servers:
            server.received.clear()
        call = asyncio.create_task(fleet.call("/safe/x"))
        await wait_until(lambda: any(server.received for server in fleet.servers))
        marks = [(b"1234", 0, False), (b"5678", 0, False)]
        host.crash_counts.merge({fingerprint: marks})
        next(server for server in fleet.servers if server.received).crash()
        assert (await call).status == 502
        assert sum(len(server.received) for server in fleet.servers) == 1


@pytest.mark.parametrize(
    ("mode", "event_interval_s", "is_examined"),
    [(Mode.HANG, 0.0, True), (Mode.STREAM, 0.02, False)],
)
@pytest.mark.parametrize("deadline_ms", ["600", "5000"])
async def test_silent_server_is_not_examined_when_the_caller_leaves(
    mode, event_interval_s, is_examined, deadline_ms
):
    """A server that went dark is silent; the deadline or the caller ends the call."""
    async with running_fleet(servers=1) as fleet:
        examined = []
        fleet.hosts[0].crash_detector.examine = lambda *call: examined.append(call)
        (server,) = fleet.servers
        server.mode = mode
        server.event_interval_s = event_interval_s
        server.event_count = 1_000
        call = asyncio.create_task(
            fleet.call("/turns/x", headers={"Deadline-Ms": deadline_ms})
        )
        await asyncio.sleep(0.8)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.2)
        assert bool(examined) == is_examined


LONG_QUERY = "?meter=" + "6" * 600


@pytest.mark.parametrize(
    ("fatal", "sound"),
    [
        ("?meter=66", "?meter={}"),
        (LONG_QUERY, LONG_QUERY + "{}"),
        ("?meter=", ""),
        ("", "?meter={}"),
        ("?meter=1&again=1", "?again=1&meter=1&number={}"),
    ],
)
@pytest.mark.parametrize("hosts", [1, 2])
async def test_sound_requests_clear_one_with_another_query(fatal, sound, hosts):
    """Guards against a fatal request that runs on, as others of its path run whole."""
    async with running_fleet(hosts=hosts, servers=2, state=STATE) as fleet:
        statuses = []
        for number in range(5):
            path = "/unsafe/x" + sound.format(number)
            assert (await send_whole(fleet, path, host=number % hosts)).status == 200
            status = await send_crashing(fleet, number, f"/unsafe/x{fatal}")
            statuses.append(status)
        assert statuses == [502, 502, 502, 503, 503]
        assert _total_crashes(fleet) == 3


async def test_crashes_of_a_query_that_differs_each_time_end_with_the_hosts():
    async with running_fleet(hosts=2, servers=2, state=STATE) as fleet:
        for number in range(3):
            await send_crashing(fleet, number, f"/unsafe/x?again={number}")
        await asyncio.sleep(0.3)
        await fleet.replace_all_hosts()
        refused = await fleet.call("/unsafe/x?again=3")
        assert (refused.status, b"quarantined" in refused.body) == (503, True)


def _fingerprint_without_query() -> str:
    """Return the fingerprint that earlier versions give to each of these requests."""
    hasher = hashlib.blake2b(digest_size=8)
    for part in ("POST", "/unsafe/x", "kiosks"):
        hasher.update(part.encode() + b"\0")
    hasher.update(b"hello")
    return hasher.hexdigest()


async def test_marks_of_an_earlier_version_refuse_sound_requests():
    """Guards against marks that a request with another query may have caused."""
    async with running_fleet(servers=2, state=STATE) as fleet:
        (host,) = fleet.hosts
        rows = [(bytes([mark] * 4), 100, False) for mark in range(3)]
        host.crash_counts.merge({_fingerprint_without_query(): rows})
        assert counts(host) == {_fingerprint_without_query(): 3}
        for query in ("", "?meter=1"):
            response = await send_whole(fleet, f"/unsafe/x{query}")
            assert response.status == 200
