"""Non-repeatable calls: what ran, what did not, and what is not known."""

import asyncio

import pytest

from tests.harness import Deployment, running_deployment, wait_until


async def issue_token(
    made: Deployment, number: int, key: str, body: object = None, **headers: str
) -> tuple[int, dict, object]:
    sent = body if body is not None else {"id": key}
    return await made.post(
        made.hosts[number], "/tokens/issue", sent, Idempotency_Key=key, **headers
    )


async def run_counts(made: Deployment) -> dict[str, int]:
    return (await made.read_json(made.plain_address, "/counts"))["runs"]


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
    async with running_deployment(turn_timeout_s=1.0) as made:
        await made.set_faults(made.plain_address, **faults)
        found, headers, _ = await issue_token(made, 0, "k")
        assert (found, headers["X-Celerypulley-Run"]) == (status, run)
        await made.set_faults(made.plain_address)
        for number in range(3):
            found, headers, _ = await issue_token(made, number, "k")
            assert (found, headers["X-Celerypulley-Run"]) == (again, run)
        assert (await run_counts(made)).get("k", 0) == count


async def test_refused_connection_is_not_run_and_can_be_retried() -> None:
    async with running_deployment() as made:
        declared = made.declaration
        plain = made.plain_address
        gone = [
            server for server in declared.backend_servers if server.route == "tokens"
        ]
        moved = type(gone[0])(
            name="tokens-0", route="tokens", domain="north", address="127.0.0.1:1"
        )
        for host in made.hosts:
            host.servers.plain_servers["tokens"] = [moved]
        status, headers, answer = await issue_token(made, 1, "k")
        assert (status, answer["error"]["type"]) == (503, "no_backend_server")
        assert headers["X-Celerypulley-Run"] == "not-run"
        for host in made.hosts:
            host.servers.plain_servers["tokens"] = gone
        assert (await issue_token(made, 2, "k"))[0] == 200
        assert (await made.read_json(plain, "/counts"))["runs"] == {"k": 1}


async def test_same_key_at_every_host_at_once_runs_once() -> None:
    async with running_deployment() as made:
        await made.set_faults(made.plain_address, delay_ms=100.0)
        answers = await asyncio.gather(
            *(issue_token(made, number % 3, "k") for number in range(9))
        )
        assert {each[0] for each in answers} == {200}
        assert (await run_counts(made)) == {"k": 1}
        replayed = [each for each in answers if "X-Celerypulley-Replayed" in each[1]]
        assert len(replayed) == 8
        status, _, answer = await issue_token(made, 0, "k", {"id": "other"})
        assert (status, answer["error"]["type"]) == (422, "idempotency_key_reused")


async def test_disconnected_caller_can_fetch_its_outcome() -> None:
    async with running_deployment() as made:
        await made.set_faults(made.plain_address, delay_ms=300.0)
        first = asyncio.create_task(issue_token(made, 0, "k"))
        await wait_until(
            lambda: any(host.call_runner.active for host in made.hosts),
            "a call under way",
        )
        first.cancel()
        status, headers, answer = await issue_token(made, 1, "k")
        assert status == 200 and answer == {"id": "k", "run": 1}
        assert headers["X-Celerypulley-Replayed"] == "true"


@pytest.mark.parametrize("point", ["before the dispatch", "after the dispatch"])
async def test_owner_cut_off_in_the_middle_never_doubles_a_call(point: str) -> None:
    async with running_deployment(turn_timeout_s=5.0) as made:
        program = await made.open_program(made.hosts[0])
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
        first = asyncio.create_task(issue_token(made, number, "k", **header))
        await sent.wait()
        if point == "after the dispatch":
            while not await run_counts(made):
                await asyncio.sleep(0.02)
        made.isolate(owner)
        status, headers, answer = await issue_token(made, number, "k", **header)
        assert (status, headers["X-Celerypulley-Run"]) == (504, "unknown"), answer
        released.set()
        status, headers, _ = await first
        assert headers["X-Celerypulley-Run"] == "unknown"
        await wait_until(
            lambda: not owner.call_runner.active, "the old owner's call to end"
        )
        assert (await run_counts(made)) == {"k": 1}
