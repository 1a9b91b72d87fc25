"""Engines that are gone get requests after the channels to the store went silent."""

import asyncio
from pathlib import Path

import aiohttp

from review.harness_3 import (
    CONTACT_S,
    DRAIN_S,
    Deployment,
    Engine,
    Sent,
    has_trouble,
    route,
    run_case,
)

_ZONES = ["zone-a", "zone-b", "zone-c"]
_KEY = "k0"
_REQUESTERS = 36
_PAUSE_S = 0.05
_WORK_S = 0.15
_CALM_S = 6.0
_REMOVED_AFTER_S = 0.3
_LINGER_S = 3.1  # drainMs and a little longer
_REST_S = 5.0


async def _request_often(
    deployment: Deployment, zone: str, until_s: float, sent: dict[str, Sent]
) -> None:
    async with aiohttp.ClientSession() as session:
        while deployment.record.now_s() < until_s:
            answer = await deployment.request(
                session,
                "POST",
                "/orders/issue",
                {"Api-Key": _KEY},
                b"one token",
                deployment.pick_edge(zone),
            )
            sent[answer.request_id] = answer
            await asyncio.sleep(_PAUSE_S)


async def _start(deployment: Deployment) -> None:
    deployment.put_state(
        {
            "version": 1,
            "routes": [route("orders", "/orders/", "orders", type="non_idempotent")],
            "services": [{"name": "orders"}],
            "limits": {},
            "tenants": [{"name": "t", "apiKeys": [_KEY], "ratePerS": 0, "burst": 0}],
        }
    )
    for zone in _ZONES:
        for name in ("first", "second"):
            engine = await deployment.add_engine(f"{name}-{zone}", "orders", zone)
            engine.work_s = _WORK_S
    for zone in _ZONES:
        await deployment.add_machine(f"store-{zone}", "store", zone)
        await deployment.add_machine(f"edge-{zone}", "edge", zone)
    await deployment.wait_ready()


def _count_late(
    deployment: Deployment,
    gone: Engine,
    sent: dict[str, Sent],
    silent_s: float,
    removed_s: float,
) -> int:
    """Count the requests that reached the engine too late, at machines in touch."""
    late = 0
    for at_s, request_id, _ in gone.run_log:
        request = sent[request_id]
        if request.sent_s < silent_s + CONTACT_S or at_s < removed_s + DRAIN_S:
            continue
        late += 1
        deployment.record.write(
            f"broken: {request_id} reached {gone.name} {at_s - removed_s:.2f} s after "
            f"it was gone and {at_s - silent_s:.2f} s after the silence, "
            f"and was answered {request.status}"
        )
    return late


async def _case(deployment: Deployment) -> bool:
    record = deployment.record
    await _start(deployment)
    sent: dict[str, Sent] = {}
    until_s = record.now_s() + _CALM_S + _REMOVED_AFTER_S + _LINGER_S + _REST_S
    requesters = [
        asyncio.create_task(
            _request_often(deployment, _ZONES[number % 3], until_s, sent)
        )
        for number in range(_REQUESTERS)
    ]
    await asyncio.sleep(_CALM_S)
    silent_s = record.now_s()
    if has_trouble():
        counts = {n: p.silence_open() for n, p in deployment.proxies.items()}
        record.write(f"silent from now on: open channels to the store {counts}")
    await asyncio.sleep(_REMOVED_AFTER_S)
    gone = deployment.engines[0]
    gone.remove_entry()
    removed_s = record.write(f"acknowledged: the entry of {gone.name} is removed")
    await asyncio.sleep(_LINGER_S)
    record.write(f"{gone.name} exits with {gone.active} requests under way")
    gone.stop()
    await asyncio.gather(*requesters)
    late = _count_late(deployment, gone, sent, silent_s, removed_s)
    cut = [
        request_id
        for at_s, request_id, _ in gone.run_log
        if at_s > removed_s + DRAIN_S and sent[request_id].status != 200
    ]
    record.write(f"begun there, cut off by its exit and lost to callers: {cut}")
    answered = sum(each.status == 200 for each in sent.values())
    record.write(
        f"{len(sent)} requests, {answered} answered 200; "
        f"{late} reached {gone.name} too late"
    )
    assert answered > len(sent) / 2, "the deployment did not serve"
    return late == 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case, _ZONES)
