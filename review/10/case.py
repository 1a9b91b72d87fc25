"""A desired state that takes away the keys of the only tenant, and the tenant too."""

import asyncio
import time

import orjson
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

REVOKE_S = 5.0
REQUESTS = 9
UNKNOWN_KEY = "9zunknown0zzzzzzzzzz"

_ROUTE = {
    "name": "refund-pay",
    "host": HTTP_HOST,
    "pathPrefix": "/refund/",
    "service": "caja",
    "type": "non_idempotent",
    "timeoutMs": 1500,
    "sloMs": 256,
    "priority": 2,
    "attempts": 1,
}
STATE = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [{"name": "caja"}],
    "limits": {},
    "tenants": [
        {"name": "hule930", "apiKeys": [API_KEY], "ratePerS": 100, "burst": 100}
    ],
}


async def _request(deployment: Deployment, number: int, key: str) -> str:
    """Send one request; return its identifier."""
    request_id = token()
    edge = deployment.edges[number % len(deployment.edges)]
    headers = {"Request-Id": request_id, "Deadline-Ms": "1500", "Api-Key": key}
    answer = await send(edge.front, "POST", "/refund/4b", headers, b"refund")
    ran = any(row.request_id == request_id for row in deployment.ran())
    deployment.record.write(
        f"{request_id} with the key {key} at {edge.name}: {answer.status}, "
        f"{'run' if ran else 'not run'}"
    )
    return request_id


async def play(deployment: Deployment) -> str:
    """Take the key away, wait for `revokeMs`, and send requests with it."""
    engines = [
        Engine(f"i-{token()}", "caja", zone, deployment.next_ip(), lambda _request: [])
        for zone in ZONES
    ]
    await deployment.start(STATE, engines)
    await asyncio.sleep(1.0)
    await _request(deployment, 0, API_KEY)
    await _request(deployment, 1, UNKNOWN_KEY)
    if IS_TROUBLE:
        state = {**STATE, "version": 9, "tenants": []}
        deployment.platform.put("op/config", orjson.dumps(state))
        deployment.record.write("version 9 is acknowledged: it has no tenant, no key")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(REVOKE_S + 1.0)
    withdrawn = [
        await _request(deployment, number, API_KEY) for number in range(REQUESTS)
    ]
    unknown = [
        await _request(deployment, number, UNKNOWN_KEY) for number in range(REQUESTS)
    ]
    ran = {row.request_id for row in deployment.ran()}
    with_withdrawn = sum(each in ran for each in withdrawn) if IS_TROUBLE else 0
    with_unknown = sum(each in ran for each in unknown)
    if not with_withdrawn and not with_unknown:
        return ""
    since_s = time.monotonic() - acknowledged_s
    return (
        f"{since_s:.0f} s after the acknowledgement {with_withdrawn} of {REQUESTS} "
        f"requests with the withdrawn key had run, and {with_unknown} with a key that "
        "no desired state ever held"
    )


if __name__ == "__main__":
    run_case(__file__, play)
