"""Calls that must not be repeated: run at most once, with a correct outcome."""

import asyncio

import pytest

from tests.harness import Deployment, running_deployment, wait_until


async def issue_token(
    deployment: Deployment, number: int, key: str, body: object = None, **headers: str
) -> tuple[int, dict, object]:
    request = body if body is not None else {"id": key}
    return await deployment.post(
        deployment.hosts[number],
        "/tokens/issue",
        request,
        Idempotency_Key=key,
        **headers,
    )


async def run_counts(deployment: Deployment) -> dict[str, int]:
    return (await deployment.read_json(deployment.plain_address, "/counts"))["runs"]


FAULTS = [
    ("the server responds", {}, 200, "ran", 200, 1),
    (
        "the server fails after the run",
        {"fail_after_run": True},
        504,
        "unknown",
        504,
        1,
    ),
    ("the server responds with an error", {"fail_fast": True}, 500, "ran", 500, 0),
    ("the server hangs", {"hang": True}, 504, "unknown", 504, 1),
]


@pytest.mark.parametrize(
    ("name", "faults", "status", "run", "second_status", "count"), FAULTS
)
async def test_call_is_sent_once_whatever_the_server_does(
    name: str, faults: dict, status: int, run: str, second_status: int, count: int
) -> None:
    async with running_deployment(turn_timeout_s=1.0) as deployment:
        await deployment.set_faults(deployment.plain_address, **faults)
        found_status, headers, _ = await issue_token(deployment, 0, "k")
        assert (found_status, headers["X-Celerypulley-Run"]) == (status, run)
        await deployment.set_faults(deployment.plain_address)
        for number in range(3):
            found_status, headers, _ = await issue_token(deployment, number, "k")
            assert (found_status, headers["X-Celerypulley-Run"]) == (second_status, run)
        assert (await run_counts(deployment)).get("k", 0) == count


async def test_refused_connection_is_not_run_and_can_be_retried() -> None:
    """A refused connection proves that the server did not receive the call."""
    async with running_deployment() as deployment:
        declaration = deployment.declaration
        plain_address = deployment.plain_address
        real_servers = [
            server for server in declaration.backend_servers if server.route == "tokens"
        ]
        refusing_server = type(real_servers[0])(
            name="tokens-0", route="tokens", domain="north", address="127.0.0.1:1"
        )
        for host in deployment.hosts:
            host.servers.plain_servers["tokens"] = [refusing_server]
        status, headers, response = await issue_token(deployment, 1, "k")
        assert (status, response["error"]["type"]) == (503, "no_backend_server")
        assert headers["X-Celerypulley-Run"] == "not-run"
        for host in deployment.hosts:
            host.servers.plain_servers["tokens"] = real_servers
        assert (await issue_token(deployment, 2, "k"))[0] == 200
        assert (await deployment.read_json(plain_address, "/counts"))["runs"] == {
            "k": 1
        }


async def test_same_key_at_every_host_at_once_runs_once() -> None:
    async with running_deployment() as deployment:
        await deployment.set_faults(deployment.plain_address, delay_ms=100.0)
        responses = await asyncio.gather(
            *(issue_token(deployment, number % 3, "k") for number in range(9))
        )
        assert {each[0] for each in responses} == {200}
        assert (await run_counts(deployment)) == {"k": 1}
        replayed = [each for each in responses if "X-Celerypulley-Replayed" in each[1]]
        assert len(replayed) == 8
        status, _, response = await issue_token(deployment, 0, "k", {"id": "other"})
        assert (status, response["error"]["type"]) == (422, "idempotency_key_reused")


async def test_disconnected_caller_can_fetch_its_outcome() -> None:
    async with running_deployment() as deployment:
        await deployment.set_faults(deployment.plain_address, delay_ms=300.0)
        first_call = asyncio.create_task(issue_token(deployment, 0, "k"))
        await wait_until(
            lambda: any(host.call_runner.active for host in deployment.hosts),
            "an active call",
        )
        first_call.cancel()
        status, headers, response = await issue_token(deployment, 1, "k")
        assert status == 200 and response == {"id": "k", "run": 1}
        assert headers["X-Celerypulley-Replayed"] == "true"


@pytest.mark.parametrize("point", ["before the dispatch", "after the dispatch"])
async def test_owner_cut_off_in_the_middle_never_doubles_a_call(point: str) -> None:
    """The next owner cannot know whether the call ran, and must not send it again."""
    async with running_deployment(turn_timeout_s=5.0) as deployment:
        program = await deployment.open_program(deployment.hosts[0])
        owner = deployment.owner_of(program)
        other = next(host for host in deployment.hosts if host is not owner)
        number = deployment.hosts.index(other)
        header = {"X_Celerypulley_Program": program}
        sent = asyncio.Event()
        released = asyncio.Event()
        call_plain = owner.backend_link.call_plain

        async def delayed_call(*args: object, **kwargs: object) -> object:
            sent.set()
            if point == "before the dispatch":
                await released.wait()
                return await call_plain(*args, **kwargs)
            response = await call_plain(*args, **kwargs)
            await released.wait()
            return response

        owner.backend_link.call_plain = delayed_call
        first_call = asyncio.create_task(issue_token(deployment, number, "k", **header))
        await sent.wait()
        if point == "after the dispatch":
            while not await run_counts(deployment):
                await asyncio.sleep(0.02)
        deployment.isolate(owner)
        status, headers, response = await issue_token(deployment, number, "k", **header)
        assert (status, headers["X-Celerypulley-Run"]) == (504, "unknown"), response
        released.set()
        status, headers, _ = await first_call
        assert headers["X-Celerypulley-Run"] == "unknown"
        await wait_until(
            lambda: not owner.call_runner.active, "the old owner's call to end"
        )
        assert (await run_counts(deployment)) == {"k": 1}
