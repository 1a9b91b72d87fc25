"""Servers that send bytes without end, in a head or a body, until the host closes."""

import asyncio
from collections import Counter

import pytest

from celerypulley.client_limits.head_budget import HeadBudget, HeadCharge
from celerypulley.stand_ins.opaque_server import Mode
from tests.fleet import running_fleet
from tests.harness import wait_until

# An eighth of the memory of the smallest host, 128 MB.
MAX_BYTES_TAKEN = 16 * 1024 * 1024
ENDLESS = [
    mode
    for mode in Mode
    if mode.name.startswith("ENDLESS") and mode is not Mode.ENDLESS_AFTERWARDS
]


@pytest.mark.parametrize("mode", ENDLESS)
@pytest.mark.parametrize(
    ("path", "status", "servers_tried"),
    [("/safe/x", 200, 2), ("/unsafe/x", 502, 1), ("/resumable/x", 200, 2)],
)
async def test_endless_response_fills_the_memory_of_a_host(
    mode, path, status, servers_tried
):
    async with running_fleet(servers=2) as fleet:
        other_mode = Mode.STREAM if path == "/resumable/x" else Mode.COMPLETE
        modes = [mode, other_mode]
        for server in fleet.servers:
            server.next_modes = modes
        response = await fleet.call(path)
        received = sum(len(server.received) for server in fleet.servers)
        assert (response.status, received) == (status, servers_tried)
        await wait_until(
            lambda: sum(server.client_disconnects for server in fleet.servers) == 1
        )
        sent = sum(server.endless_bytes_sent for server in fleet.servers)
        assert sent <= MAX_BYTES_TAKEN


async def test_endless_answers_on_an_idle_connection_fill_the_memory_of_a_host():
    async with running_fleet() as fleet:
        (server,) = fleet.servers
        server.next_modes = [Mode.ENDLESS_AFTERWARDS]
        response = await fleet.call("/unsafe/x")
        assert (response.status, response.body) == (200, b"right")
        await wait_until(lambda: server.client_disconnects == 1)
        assert server.endless_bytes_sent <= MAX_BYTES_TAKEN
        assert (await fleet.call("/unsafe/x")).status == 200


@pytest.mark.parametrize("mode", [Mode.ENDLESS_HEADER, Mode.ENDLESS_HEADERS])
@pytest.mark.parametrize(
    ("path", "allowed"),
    [("/safe/x", {200, 503}), ("/unsafe/x", {200, 502, 503})],
)
async def test_endless_server_takes_callers_of_a_sound_one_along(mode, path, allowed):
    """Requests that got 503 have reached no server, and later ones are served."""
    async with running_fleet(servers=2) as fleet:
        fleet.servers[0].mode = mode
        responses = await asyncio.gather(
            *(fleet.call(f"{path}{number}") for number in range(100))
        )
        statuses = Counter(each.status for each in responses)
        assert set(statuses) <= allowed
        received = sum(len(server.received) for server in fleet.servers)
        assert statuses[200] == len(fleet.servers[1].received)
        if path == "/unsafe/x":
            assert statuses[200] + statuses[502] == received
        assert (await fleet.call("/safe/x")).status == 200


@pytest.mark.parametrize(
    ("heads", "fits"),
    [
        ([(16_000, 10)] * 400, False),
        ([(1_000, 4)] * 10_000, True),
        ([(3_000, 128)] * 100, False),
    ],
)
def test_heads_of_many_responses_fill_the_memory_of_a_host(heads, fits):
    """Heads of ordinary size have room beside any others."""
    budget = HeadBudget()
    charges = [HeadCharge(budget) for _ in heads]
    grown = [charge.grow_to(*head) for charge, head in zip(charges, heads, strict=True)]
    assert all(grown) is fits
    assert budget.held_bytes <= budget.limit_bytes
    assert HeadCharge(budget).grow_to(1_000, 4)
    for charge in charges:
        charge.release()
    assert budget.held_bytes == 0


async def test_charge_of_a_head_outlives_its_response():
    async with running_fleet(servers=2) as fleet:
        (host,) = fleet.hosts
        for mode in (*ENDLESS, Mode.COMPLETE):
            for server in fleet.servers:
                server.mode = mode
            await fleet.call("/unsafe/x")
        await wait_until(lambda: not host.links.heads.held_bytes)
