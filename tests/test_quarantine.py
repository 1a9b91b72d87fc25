"""A request that crashes engines is refused; others on those engines are not."""

import asyncio

import orjson
import pytest

from celerypulley.hosts.engine_runner import chat_fingerprint
from celerypulley.hosts.host import Host
from celerypulley.programs.chat import ChatRequest, read_chat_request
from celerypulley.stand_ins.engine import EngineOptions
from tests.harness import running_deployment, wait_until

LONG = "x" * 300
POISON = "poison-request " + LONG


def _chat(text: str) -> ChatRequest:
    messages = [{"role": "user", "content": text}]
    return read_chat_request(orjson.dumps({"model": "m", "messages": messages}))


def _counts(host: Host) -> list[int]:
    counts = host.crash_counts
    return [counts.count(each) for each in counts._crashes]


@pytest.mark.parametrize(
    ("organisation", "history", "text", "is_same"),
    [
        ("kiosk", b"a", LONG, True),
        ("kiosk", b"b", LONG, False),
        ("kiosk", b"a", LONG + "y", False),
        ("other", b"a", LONG, False),
    ],
)
def test_request_is_mistaken_for_one_that_crashes_engines(
    organisation, history, text, is_same
):
    crashing = chat_fingerprint(_chat(LONG), "kiosk", b"a")
    assert (chat_fingerprint(_chat(text), organisation, history) == crashing) == is_same


async def test_common_text_is_counted_on_all_hosts_after_it_has_run_whole() -> None:
    async with running_deployment(engines=2) as deployment:
        now_ms = deployment.hosts[0].clock.now_ms()
        common = chat_fingerprint(_chat("yes"), "kiosk", b"")
        deployment.hosts[0].crash_counts.record_crash(common, "engine-0", 1, now_ms, "")
        await wait_until(
            lambda: all(_counts(host) == [1] for host in deployment.hosts),
            "the crash on all hosts",
        )
        program = await deployment.open_program(deployment.hosts[1])
        status, _, _ = await deployment.send_turn(deployment.hosts[1], program, "yes")
        assert status == 200
        await wait_until(
            lambda: not any(sum(_counts(host)) for host in deployment.hosts),
            "the clearing on all hosts",
        )


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
            lambda: all(_counts(host) == [2] for host in deployment.hosts),
            "the crashes on all hosts",
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
