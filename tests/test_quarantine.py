"""A request that takes engines down is refused; one that was nearby is not."""

import asyncio

import pytest

from celerypulley.hosts.quarantine import fingerprint_of
from celerypulley.stand_ins.engine import EngineOptions
from tests.harness import running_deployment, wait_until

LONG = "x" * 300
POISON = "poison-request " + LONG

FINGERPRINTS = [
    ("same messages, other history", b"a", LONG, b"b", LONG, True),
    ("other messages", b"a", LONG, b"a", LONG + "y", False),
    ("short messages count with their history", b"a", "yes", b"b", "yes", False),
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
    async with running_deployment(engine_options=options, engines=4) as made:
        nearby = await made.open_program(made.hosts[1])
        waiting = asyncio.create_task(made.send_turn(made.hosts[1], nearby, "z" * 300))
        program = await made.open_program(made.hosts[0])
        status, _, answer = await made.send_turn(made.hosts[0], program, POISON)
        assert (status, answer["error"]["type"]) == (422, "quarantined"), answer
        assert (await waiting)[0] == 200
        await wait_until(
            lambda: all(host.view.quarantine for host in made.hosts),
            "every host to know",
        )
        for host in made.hosts:
            again = await made.open_program(host)
            status, _, answer = await made.send_turn(host, again, POISON)
            assert (status, answer["error"]["type"]) == (422, "quarantined"), answer
            status, _, answer = await made.send_turn(host, again, "an ordinary request")
            assert status == 200, answer
        loads = [
            await made.read_json(address, "/counts")
            for address in made.engine_addresses
        ]
        assert sum(load["dead"] for load in loads) == 2
