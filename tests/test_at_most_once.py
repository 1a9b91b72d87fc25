"""Non-repeatable calls: what ran, what did not, and what is not known."""

import asyncio

import pytest

from tests.harness import Deployment, deployment, until


async def call(
    made: Deployment, number: int, key: str, body: object = None, **headers: str
) -> tuple[int, dict, object]:
    sent = body if body is not None else {"id": key}
    return await made.post(
        made.hosts[number], "/tokens/issue", sent, Idempotency_Key=key, **headers
    )


async def runs(made: Deployment) -> dict[str, int]:
    return (await made.read_json(made.plain, "/counts"))["runs"]


FAULTS = [
    ("the server answers", {}, 200, "ran", 200, 1),
    ("the server dies after it ran", {"fail_after_run": True}, 504, "unknown", 504, 1),
    ("the server fails fast", {"fail_fast": True}, 500, "ran", 500, 0),
    ("the server hangs", {"hang": True}, 504, "unknown", 504, 1),
]


@pytest.mark.parametrize(("name", "faults", "status", "run", "again", "count"), FAULTS)
async def test_call_is_sent_once_whatever_the_server_does(
    name: str, faults: dict, status: int, run: str, again: int, count: int
) -> None:
    async with deployment(turn_timeout_s=1.0) as made:
        await made.set_faults(made.plain, **faults)
        found, headers, _ = await call(made, 0, "k")
        assert (found, headers["X-Celerypulley-Run"]) == (status, run)
        await made.set_faults(made.plain)
        for number in range(3):
            found, headers, _ = await call(made, number, "k")
            assert (found, headers["X-Celerypulley-Run"]) == (again, run)
        assert (await runs(made)).get("k", 0) == count


async def test_refused_connection_is_truly_not_run_and_may_be_sent_again() -> None:
    async with deployment() as made:
        declared = made.declaration
        plain = made.plain
        gone = [
            server for server in declared.backend_servers if server.route == "tokens"
        ]
        moved = type(gone[0])(
            name="tokens-0", route="tokens", domain="north", address="127.0.0.1:1"
        )
        for host in made.hosts:
            host.servers.plain_servers["tokens"] = [moved]
        status, headers, answer = await call(made, 1, "k")
        assert (status, answer["error"]["type"]) == (503, "no_backend_server")
        assert headers["X-Celerypulley-Run"] == "not-run"
        for host in made.hosts:
            host.servers.plain_servers["tokens"] = gone
        assert (await call(made, 2, "k"))[0] == 200
        assert (await made.read_json(plain, "/counts"))["runs"] == {"k": 1}


async def test_same_key_at_every_host_at_once_runs_once() -> None:
    async with deployment() as made:
        await made.set_faults(made.plain, delay_ms=100.0)
        answers = await asyncio.gather(
            *(call(made, number % 3, "k") for number in range(9))
        )
        assert {each[0] for each in answers} == {200}
        assert (await runs(made)) == {"k": 1}
        replayed = [each for each in answers if "X-Celerypulley-Replayed" in each[1]]
        assert len(replayed) == 8
        status, _, answer = await call(made, 0, "k", {"id": "other"})
        assert (status, answer["error"]["type"]) == (422, "idempotency_key_reused")


async def test_caller_that_left_finds_its_outcome() -> None:
    async with deployment() as made:
        await made.set_faults(made.plain, delay_ms=300.0)
        first = asyncio.create_task(call(made, 0, "k"))
        await until(
            lambda: any(host.call_runner.active for host in made.hosts),
            "a call under way",
        )
        first.cancel()
        status, headers, answer = await call(made, 1, "k")
        assert status == 200 and answer == {"id": "k", "run": 1}
        assert headers["X-Celerypulley-Replayed"] == "true"


@pytest.mark.parametrize("point", ["before the dispatch", "after the dispatch"])
async def test_owner_cut_off_in_the_middle_never_doubles_a_call(point: str) -> None:
    async with deployment(turn_timeout_s=5.0) as made:
        program = await made.open(made.hosts[0])
        owner = made.owner_of(program)
        other = next(host for host in made.hosts if host is not owner)
        number = made.hosts.index(other)
        header = {"X_Celerypulley_Program": program}
        sent = asyncio.Event()
        released = asyncio.Event()
        real = owner.backend_link.call_plain

        async def hold(*words: object, **named: object) -> object:
            sent.set()
            if point == "before the dispatch":
                await released.wait()
                return await real(*words, **named)
            answer = await real(*words, **named)
            await released.wait()
            return answer

        owner.backend_link.call_plain = hold
        first = asyncio.create_task(call(made, number, "k", **header))
        await sent.wait()
        if point == "after the dispatch":
            while not await runs(made):
                await asyncio.sleep(0.02)
        made.isolate(owner)
        status, headers, answer = await call(made, number, "k", **header)
        assert (status, headers["X-Celerypulley-Run"]) == (504, "unknown"), answer
        released.set()
        status, headers, _ = await first
        assert headers["X-Celerypulley-Run"] == "unknown"
        await until(lambda: not owner.call_runner.active, "the old owner's call to end")
        assert (await runs(made)) == {"k": 1}
