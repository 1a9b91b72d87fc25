"""A tenant's usage cap while all edge processes are killed at the same moment."""

import asyncio
import signal
import time

import attrs
from harness_2 import (
    API_KEY,
    HTTP_HOST,
    IS_TROUBLE,
    ZONES,
    Deployment,
    Engine,
    run_case,
    send,
    token,
)

RATE_PER_S = 60
BURST = 10
WINDOW_S = 5.0
LIMIT = RATE_PER_S * WINDOW_S + BURST
ALLOWED = LIMIT * 1.1 + 20  # quotaOverrun and quotaSlack of the site
QUIET_S = 7.0  # more than a window, so that every edge knows the last one
# The usual rate of a tenant is its limit / 1.6 (`quota_x`); hot_tenant has x = 7.5.
HOT_PER_S = RATE_PER_S / 1.6 * 7.5
KILL_AFTER_S = 1.3
HOT_S = 5.0

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
            "attempts": 2,
        }
    ],
    "services": [{"name": "caja"}],
    "limits": {},
    "tenants": [
        {
            "name": "hule930",
            "apiKeys": [API_KEY],
            "ratePerS": RATE_PER_S,
            "burst": BURST,
        }
    ],
}


@attrs.frozen
class _Sent:
    request_id: str
    at_s: float
    status: int


async def _request(deployment: Deployment, sent: list[_Sent], number: int) -> None:
    request_id = token()
    edge = deployment.edges[number % len(deployment.edges)]
    headers = {"Request-Id": request_id, "Deadline-Ms": "1200", "Api-Key": API_KEY}
    at_s = time.monotonic()
    try:
        answer = await send(edge.front, "GET", "/check/2f", headers, timeout_s=1.5)
        sent.append(_Sent(request_id, answer.sent_s, answer.status))
    except (OSError, TimeoutError):
        sent.append(_Sent(request_id, at_s, 0))


async def _kill_all(deployment: Deployment) -> None:
    await asyncio.sleep(KILL_AFTER_S)
    deployment.record.write("SIGKILL to all edge processes")
    for edge in deployment.edges:
        edge.signal(signal.SIGKILL)
    await asyncio.gather(*(edge.restart(signal.SIGKILL) for edge in deployment.edges))
    deployment.record.write("all edge processes are started again")


def _largest_window(
    sent: list[_Sent], arrived_s: dict[str, float]
) -> tuple[int, float]:
    """Return the most requests both sent and run in one window, and its start."""
    rows = [(row.at_s, arrived_s[row.request_id]) for row in sent]
    best = (0, 0.0)
    for start_s, _ in rows:
        end_s = start_s + WINDOW_S
        count = sum(start_s <= sent_s and run_s <= end_s for sent_s, run_s in rows)
        best = max(best, (count, start_s))
    return best


async def play(deployment: Deployment) -> str:
    """Send many times the tenant's usual, with a kill of all edges in between."""
    engines = [
        Engine(f"i-{token()}", "caja", zone, deployment.next_ip(), lambda _request: [])
        for zone in ZONES
    ]
    await deployment.start(STATE, engines)
    await asyncio.sleep(QUIET_S)
    sent: list[_Sent] = []
    tasks = []
    if IS_TROUBLE:
        tasks.append(asyncio.create_task(_kill_all(deployment)))
    began_s = time.monotonic()
    for number in range(int(HOT_PER_S * HOT_S)):
        due_s = began_s + number / HOT_PER_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.create_task(_request(deployment, sent, number)))
    await asyncio.gather(*tasks)
    arrived_s: dict[str, float] = {}
    for row in deployment.ran():
        arrived_s.setdefault(row.request_id, row.at_s)
    for row in sorted(sent, key=lambda each: each.at_s):
        ran_s = arrived_s.get(row.request_id)
        ran = "not run" if ran_s is None else f"run at {ran_s - began_s:.3f}"
        deployment.record.write(
            f"{row.request_id} sent at {row.at_s - began_s:.3f}, "
            f"answered {row.status or 'nothing'}, {ran}"
        )
    run = [row for row in sent if row.request_id in arrived_s]
    if len(run) < LIMIT / 2:
        return ""
    count, start_s = _largest_window(run, arrived_s)
    text = (
        f"{count} requests were sent and run in the {WINDOW_S} s from "
        f"{start_s - began_s:.3f}; {ALLOWED:.0f} are allowed, the limit is {LIMIT:.0f}"
    )
    deployment.record.write(text)
    return text if count > ALLOWED else ""


if __name__ == "__main__":
    run_case(__file__, play)
