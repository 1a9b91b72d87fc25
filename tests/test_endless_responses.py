"""Servers that send bytes without end, in a head or a body, until the host closes."""

import pytest

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
