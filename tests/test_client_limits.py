"""What a host holds for its clients: the account, and what it does at each limit."""

import asyncio

import pytest

from celerypulley.client_limits.byte_semaphore import ByteSemaphore
from celerypulley.client_limits.memory_account import (
    MemoryAccount,
    Progress,
    client_memory_bytes,
    connection_limit,
)
from celerypulley.hosts.stall_monitor import STALL_TIMEOUT_MS
from tests.fleet import desired_state, running_fleet, server_entry
from tests.harness import free_address, wait_until
from tests.real_hosts import ScriptedServer
from tests.test_kept_connections import connected, header_of, request_bytes
from tests.test_untrusted_clients import respond_slowly

_KB = 1024
_NO_DEADLINE_MS = 30_000  # longer than any test of this file
_INCOMPLETE, _UNTAKEN, _RUNNING = Progress


@pytest.mark.parametrize(
    ("charges_kb", "limit_kb", "closed"),
    [
        ([(_INCOMPLETE, 300), (_RUNNING, 50)], 500, []),
        ([(_INCOMPLETE, 100), (_INCOMPLETE, 300)], 300, [1]),
        ([(_RUNNING, 900), (_UNTAKEN, 300), (_INCOMPLETE, 100)], 950, [2, 1]),
        ([(_RUNNING, 900), (_RUNNING, 400)], 600, [0]),
        ([(_RUNNING, 200)] * 9, 2_000, []),
        ([(_RUNNING, 200 - n) for n in range(9)], 600, [0, 1, 2, 3, 4, 5, 6]),
        (
            [(_RUNNING, 100), *((_INCOMPLETE, 30 - n) for n in range(9))],
            350,
            [1, 2, 3, 4],
        ),
        ([(_RUNNING, 1)] * 60, 600, []),
        ([(_INCOMPLETE, 30), (_UNTAKEN, 40), (_RUNNING, 900)], 100, [2]),
    ],
    ids=[
        *("fits", "largest", "order", "running", "ordinary", "too many ordinary"),
        *("incomplete first", "smallest", "idle"),
    ],
)
def test_wrong_connection_is_closed_for_lack_of_memory(charges_kb, limit_kb, closed):
    account = MemoryAccount(limit_kb * _KB)
    charges = []
    for progress, kb in charges_kb:
        charge = account.open()
        charge.progress = progress
        account.change(charge, body_bytes=kb * _KB)
        charges.append(charge)
    assert [charges.index(each) for each in account.choose_evictions()] == closed
    for charge in charges:
        account.close(charge)
        account.change(charge, body_bytes=1)
    assert account.held_bytes == 0


async def test_cancelled_wait_for_bytes_keeps_its_place():
    semaphore = ByteSemaphore(10)
    await semaphore.acquire(8)
    waiting = [asyncio.create_task(semaphore.acquire(count)) for count in (8, 2)]
    await asyncio.sleep(0)
    waiting[0].cancel()
    semaphore.release(8)  # before the cancelled task runs
    await asyncio.gather(*waiting, return_exceptions=True)
    assert [each.cancelled() for each in waiting] == [True, False]
    assert semaphore.held_bytes == 2


@pytest.mark.parametrize(
    ("asked", "cancelled", "order"),
    [
        ([4, 4, 4], [], [[0, 1], [2]]),
        ([4, 20, 4], [], [[0], [1], [2]]),
        ([8, 8, 1], [1], [[0, 2]]),
        ([8, 8, 8, 2], [1], [[0], [2, 3]]),
    ],
    ids=["in turns", "more than the limit", "cancelled", "cancelled before others"],
)
async def test_bytes_are_held_out_of_turn_or_beyond_the_limit(asked, cancelled, order):
    semaphore = ByteSemaphore(10)
    tasks = [asyncio.create_task(semaphore.acquire(count)) for count in asked]
    await asyncio.sleep(0)
    for number in cancelled:
        tasks[number].cancel()
    held: list[int] = []
    for group in order:
        for number in held:
            semaphore.release(asked[number])
        for _ in range(3):
            await asyncio.sleep(0)
        held = [n for n in range(len(asked)) if tasks[n].done()]
        held = [n for n in held if n not in cancelled and n >= min(group)]
        assert held == group
        assert semaphore.held_bytes == sum(asked[number] for number in group)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "least_mb", "connections"),
    [(128, 1_024, 25, 360), (64, 160, 8, 16), (256, 4_096, 90, 1_900)],
)
def test_limits_leave_no_room_for_ordinary_clients(
    memory_mb, descriptors, least_mb, connections
):
    assert client_memory_bytes(memory_mb) >= least_mb * _KB * _KB
    assert client_memory_bytes(memory_mb) < memory_mb * _KB * _KB
    assert connection_limit(descriptors, memory_mb) >= connections


_HEAD = b"POST /safe/x HTTP/1.1\r\nHost: agents.example\r\n"
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_TINY_CHUNK = b"1\r\nx\r\n"


@pytest.mark.parametrize(
    ("sent", "status", "kind"),
    [
        (_HEAD + b"a:", b" 408 ", "head"),
        (_HEAD + b"Content-Length: 9\r\n\r\nbody", b" 408 ", "body"),
        (_HEAD + b"a: " + b"x" * 30_000, b" 431 ", "head"),
        (_HEAD + (b"a: " + b"x" * 9_000 + b"\r\n") * 3 + b"\r\n", b" 431 ", "head"),
        (_HEAD + b"a: \0\r\n\r\n", b" 400 ", "invalid"),
        (_HEAD + b"Transfer-Encoding: chunked\r\n\r\nx\r\n", b" 400 ", "invalid"),
        (_CHUNKED_HEAD + _TINY_CHUNK * 4_200, b" 400 ", "body"),
        (_CHUNKED_HEAD + b"1;e=" + b"e" * 30_000, b" 400 ", "body"),
    ],
    ids=[
        *("head", "body", "long line", "long head", "invalid", "chunk"),
        *("tiny chunks", "long extension"),
    ],
)
async def test_client_beyond_a_limit_is_not_refused(sent, status, kind):
    limits = {"headerTimeoutMs": 200, "idleTimeoutMs": 700}
    async with running_fleet(state=desired_state(limits=limits)) as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        async with connected(host) as client:
            client.writer.write(sent)
            response = await client.reader.read()
        assert status in response.partition(b"\r\n")[0]
        assert host.client_policy.closed[kind] == 1
        assert not server.received
        assert f"celerypulley_clients_refused_{kind} 1\n" in host.metrics.text()


async def test_pipelined_request_is_lost_or_served_before_its_turn():
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        server.response_delay_s = 0.1
        requests = [request_bytes("/safe/x", b"%d" % number) for number in range(4)]
        async with connected(host) as client:
            client.writer.write(b"".join(requests[:3])[:-1])
            await wait_until(lambda: server.received)
            client.writer.write(b"".join(requests)[len(b"".join(requests[:3])) - 1 :])
            for number in range(4):
                status, head, _ = await client.read_response()
                assert (status, header_of(head, b"Request-Id")) == (200, b"%d" % number)
                assert len(server.received) <= number + 2
        await wait_until(lambda: not host.server.connections.count)
        assert host.client_policy.account.held_bytes == 0


@pytest.mark.parametrize(
    ("chunk", "count"), [(_TINY_CHUNK, 3_000), (b"9;e=e\r\n123456789\r\n", 100_000)]
)
async def test_body_in_small_chunks_is_refused_in_calm(chunk, count):
    state = desired_state()
    for each in state["routes"]:
        each["timeoutMs"] = _NO_DEADLINE_MS
    async with running_fleet(state=state) as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        async with connected(host) as client:
            framing = b"Transfer-Encoding: chunked\r\n"
            body = chunk * count + b"0\r\n\r\n"
            deadline_ms = b"%d" % _NO_DEADLINE_MS
            client.writer.write(
                request_bytes("/safe/x", b"one", body, framing, b"", deadline_ms)
            )
            status, _, _ = await client.read_response()
        assert status == 200
        data = chunk.split(b"\r\n")[1]
        assert server.received[0].body == data * count


@pytest.mark.parametrize(
    ("length", "limit_kb", "status"),
    [(4_000_000, 40, 503), (5_000_000, 100_000, 413), (5, 40, 200)],
)
async def test_body_is_read_before_its_refusal(length, limit_kb, status):
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        host.client_policy.account.limit_bytes = limit_kb * _KB
        framing = b"Content-Length: %d\r\n" % length
        async with connected(host) as client:
            client.writer.write(request_bytes("/safe/x", framing=framing))
            answered, headers, _ = await client.read_response()
        assert answered == status
        assert (b"Retry-After" in headers) is (status == 503)
        assert len(server.received) == (status == 200)


async def test_request_that_finds_no_memory_runs():
    async with running_fleet() as fleet:
        (host,), (server,) = fleet.hosts, fleet.servers
        host.client_policy.account.limit_bytes = 10 * _KB
        async with connected(host) as client:
            client.writer.write(request_bytes("/safe/x"))
            status, headers, _ = await client.read_response()
        assert status == 503 and b"Retry-After" in headers
        assert not server.received
        assert host.client_policy.closed["memory"] == 1


async def test_slow_reader_of_a_stream_makes_its_server_count_as_stalled():
    async with running_fleet() as fleet:
        (host,) = fleet.hosts
        slow = ScriptedServer(free_address(), respond_slowly)
        await slow.start()
        fleet.store.put("servers/server-0", server_entry(addr=str(slow.address)))
        servers = host.directory.servers
        await wait_until(lambda: servers["server-0"].address == str(slow.address))
        server = servers["server-0"]
        async with connected(host, receive_buffer_bytes=4_096) as client:
            client.writer.write(request_bytes("/resumable/long", deadline_ms=b"9000"))
            await client.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * STALL_TIMEOUT_MS / 1000)
            assert server.consecutive_failures == 0
            assert not client.reader.at_eof()
        slow.stop()


async def test_connections_beyond_the_descriptors_are_lost():
    """They wait until others close, and are served then."""
    async with running_fleet(max_descriptors=1) as fleet:
        (host,) = fleet.hosts
        limit = connection_limit(1, 128)
        address = host.settings.caller_address
        idle = [
            await asyncio.open_connection(address.ip, address.port)
            for _ in range(limit)
        ]
        await wait_until(lambda: host.server.connections.count == limit)
        async with connected(host) as client:
            client.writer.write(request_bytes("/safe/x"))
            await asyncio.sleep(0.1)
            assert host.server.connections.count == limit
            idle[0][1].close()
            assert (await client.read_response())[0] == 200
        for _, writer in idle:
            writer.close()
