"""A request that crashes engines beside sound ones that differ in the query only."""

import asyncio
import time

import attrs
from harness_2 import (
    API_KEY,
    HTTP_HOST,
    IS_TROUBLE,
    ZONES,
    Deployment,
    Engine,
    Received,
    run_case,
    send,
    token,
)

ENGINES = 4
SOUND_PER_S = 10.0
RETRY_PERIOD_S = 3.0
PLAY_S = 40.0
BACK_AFTER_S = 2.0  # "the engine is back after some seconds"
ENTRY_LIFE_S = 3.6  # three check-in intervals of 1,200 ms
CONTACT_S = 3.0
MAX_RETRIES = 3
POISON = "/check/2f?meter=66"

STATE = {
    "version": 7,
    "routes": [
        {
            "name": "token-check",
            "host": HTTP_HOST,
            "pathPrefix": "/check/",
            "service": "caja",
            "type": "idempotent",
            "timeoutMs": 1200,
            "sloMs": 101,
            "priority": 2,
            "attempts": 1,
        }
    ],
    "services": [{"name": "caja"}],
    "limits": {},
    "tenants": [
        {"name": "hule930", "apiKeys": [API_KEY], "ratePerS": 100, "burst": 100}
    ],
}


@attrs.define
class _Play:
    """The deployment, and the tasks that bring engines back."""

    deployment: Deployment
    tasks: set = attrs.Factory(set)
    is_over: bool = False

    def on_crash(self, engine: Engine) -> None:
        """Bring a crashed engine back under a new name, as the platform does."""
        self.deployment.record.write(f"engine {engine.name} crashes")
        task = asyncio.create_task(self._bring_back(engine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _bring_back(self, engine: Engine) -> None:
        platform = self.deployment.platform
        old_name = engine.name
        await asyncio.sleep(BACK_AFTER_S)
        engine.name = f"i-{token()}"
        await engine.start()
        platform.put(f"servers/{engine.name}", engine.entry())
        self.deployment.record.write(f"engine {old_name} is back as {engine.name}")
        await asyncio.sleep(ENTRY_LIFE_S - BACK_AFTER_S)
        platform.remove(f"servers/{old_name}")

    async def request(self, path: str, number: int) -> tuple[str, int]:
        """Send a request; return its identifier and status."""
        request_id = token()
        edge = self.deployment.edges[number % len(self.deployment.edges)]
        headers = {"Request-Id": request_id, "Deadline-Ms": "1200", "Api-Key": API_KEY}
        answer = await send(edge.front, "GET", path, headers, timeout_s=1.5)
        return request_id, answer.status

    async def send_sound_requests(self) -> None:
        """Ask for other meters all the while."""
        number = 0
        statuses: dict[int, int] = {}
        pending: set = set()
        while not self.is_over:
            number += 1
            path = f"/check/2f?meter={1000 + number % 500}"
            pending.add(asyncio.create_task(self.request(path, number)))
            await asyncio.sleep(1 / SOUND_PER_S)
        for _, status in await asyncio.gather(*pending):
            statuses[status] = statuses.get(status, 0) + 1
        self.deployment.record.write(f"answers to the sound requests: {statuses}")


def _is_fatal(request: Received) -> bool:
    return IS_TROUBLE and request.path == POISON


async def play(deployment: Deployment) -> str:
    """Send the fatal request again and again, as its caller does."""
    game = _Play(deployment)
    engines = [
        Engine(
            f"i-{token()}",
            "caja",
            ZONES[number % len(ZONES)],
            deployment.next_ip(),
            lambda _request: [],
            is_fatal=_is_fatal,
            on_crash=game.on_crash,
        )
        for number in range(ENGINES)
    ]
    await deployment.start(STATE, engines)
    await asyncio.sleep(6.0)
    sound = asyncio.create_task(game.send_sound_requests())
    until_s = time.monotonic() + PLAY_S
    crashes_s: list[float] = []
    late_retries = 0
    number = 0
    while time.monotonic() < until_s:
        await asyncio.sleep(RETRY_PERIOD_S)
        number += 1
        sent_s = time.monotonic()
        request_id, status = await game.request(POISON, number)
        ran_s = [row.at_s for row in deployment.ran() if row.request_id == request_id]
        is_late = len(crashes_s) >= 3 and sent_s > crashes_s[2] + CONTACT_S
        late_retries += bool(ran_s) and is_late
        if IS_TROUBLE:
            crashes_s += ran_s
        deployment.record.write(
            f"fatal request, attempt {number} {request_id}: {status}, "
            f"reached {len(ran_s)} engines, {late_retries} late retries so far"
        )
    game.is_over = True
    await sound
    while game.tasks:
        await asyncio.sleep(0.1)
    if late_retries <= MAX_RETRIES:
        return ""
    return (
        f"the request crashed {len(crashes_s)} engines; {late_retries} retries reached "
        f"one later than {CONTACT_S} s after the third crash, {MAX_RETRIES} are allowed"
    )


if __name__ == "__main__":
    run_case(__file__, play)
