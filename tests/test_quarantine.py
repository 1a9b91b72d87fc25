"""A request that crashes engines is refused; others on those engines are not."""

import asyncio

import pytest

from celerypulley.hosts.quarantine import fingerprint_of
from celerypulley.stand_ins.engine import EngineOptions
from tests.harness import running_deployment, wait_until

LONG = "x" * 300
POISON = "poison-request " + LONG

FINGERPRINTS = [
    ("same messages, another history", b"a", LONG, b"b", LONG, True),
    ("other messages", b"a", LONG, b"a", LONG + "y", False),
    ("short messages, another history", b"a", "yes", b"b", "yes", False),
    ("short messages, same history", b"a", "yes", b"a", "yes", True),
]


@pytest.mark.parametrize(("name", "h1", "m1", "h2", "m2", "same"), FINGERPRINTS)
def test_fingerprint(
    name: str, h1: bytes, m1: str, h2: bytes, m2: str, same: bool
) -> None:
    one, two = fingerprint_of(h1, m1.encode()), fingerprint_of(h2, m2.encode())
    assert (one == two) == same


async def test_poison_request_is_refused_everywhere_after_two_engines() -> None:
    options = EngineOptions(models=("m",), speed=1.0, load_lag_ms=0)
    async with running_deployment(engine_options=options, engines=4) as deployment:
        other_program = await deployment.open_program(deployment.hosts[1])
        other_turn = asyncio.create_task(
            deployment.send_turn(deployment.hosts[1], other_program, "z" * 300)
        )
        program = await deployment.open_program(deployment.hosts[0])
        status, _, response = await deployment.send_turn(
            deployment.hosts[0], program, POISON
        )
        assert (status, response["error"]["type"]) == (422, "quarantined"), response
        assert (await other_turn)[0] == 200
        await wait_until(
            lambda: all(host.view.quarantine for host in deployment.hosts),
            "the quarantine on all hosts",
        )
        for host in deployment.hosts:
            new_program = await deployment.open_program(host)
            status, _, response = await deployment.send_turn(host, new_program, POISON)
            assert (status, response["error"]["type"]) == (422, "quarantined"), response
            status, _, response = await deployment.send_turn(
                host, new_program, "an ordinary request"
            )
            assert status == 200, response
        counts = [
            await deployment.read_json(address, "/counts")
            for address in deployment.engine_addresses
        ]
        assert sum(load["dead"] for load in counts) == 2
