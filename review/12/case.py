"""Requests run by the old service after the channels to the store went silent."""

import asyncio
from pathlib import Path

import aiohttp

from review.harness_3 import (
    CONTACT_S,
    Deployment,
    has_trouble,
    route,
    run_case,
)

_ZONES = ["zone-a", "zone-b", "zone-c"]
_KEY = "k0"
_REQUESTERS = 15
_PAUSE_S = 0.15
_CONFIG_APPLY_S = 2.0
_CHANGED_AFTER_S = 0.2
_PROGRAMS_AT_ONCE = 24
_PROGRAMS_EVERY_S = 5.0
_SILENT_AFTER_S = 11.0  # a second after programs have begun


def _state(version: int, service: str) -> dict:
    return {
        "version": version,
        "routes": [
            route("lookup", "/lookup/", service),
            route(
                "turns",
                "/stream/",
                "models",
                type="stream",
                serverHistory=True,
                retainS=60.0,
                timeoutMs=3_000,
            ),
        ],
        "services": [
            {"name": "old"},
            {"name": "new"},
            {"name": "models", "engineId": {"slots": 8, "chunkTokens": 10}},
        ],
        "limits": {},
        "tenants": [{"name": "t", "apiKeys": [_KEY], "ratePerS": 0, "burst": 0}],
    }


async def _request_often(
    deployment: Deployment, zone: str, until_s: float, sent: dict
) -> None:
    async with aiohttp.ClientSession() as session:
        while deployment.record.now_s() < until_s:
            edge = deployment.pick_edge(zone)
            answer = await deployment.request(
                session, "GET", "/lookup/balance", {"Api-Key": _KEY}, edge=edge
            )
            sent[answer.request_id] = answer
            await asyncio.sleep(_PAUSE_S)


async def _run_program(
    deployment: Deployment, session: aiohttp.ClientSession, number: int
) -> None:
    previous = ""
    for _ in range(4):
        headers = {
            "Api-Key": _KEY,
            "Program-Id": f"program{number}",
            "Session-Id": f"session{number}",
            "Program-Deadline-Ms": "5000",
            "Token-Budget": "400",
            "Token-Usage": "200,100",
        }
        if previous:
            headers["Previous-Turn"] = previous
        answer = await deployment.request(
            session, "POST", "/stream/turn", headers, b"input\n", deadline_s=3.0
        )
        if answer.status != 200 or not answer.is_whole:
            return
        previous = answer.request_id
        await asyncio.sleep(0.15)


async def _run_programs(deployment: Deployment, until_s: float) -> None:
    """Begin programs together every few seconds, as many users do at once."""
    tasks = []
    number = 0
    async with aiohttp.ClientSession() as session:
        while deployment.record.now_s() < until_s:
            for _ in range(_PROGRAMS_AT_ONCE):
                number += 1
                tasks.append(
                    asyncio.create_task(_run_program(deployment, session, number))
                )
            await asyncio.sleep(_PROGRAMS_EVERY_S)
        await asyncio.wait(tasks)


async def _case(deployment: Deployment) -> bool:
    record = deployment.record
    deployment.store.faults.delay_ms = 4.0
    deployment.put_state(_state(1, "old"))
    for zone in _ZONES:
        for service in ("old", "new", "models"):
            await deployment.add_engine(f"{service}-{zone}", service, zone)
    for zone in _ZONES:
        await deployment.add_machine(f"store-{zone}", "store", zone)
        await deployment.add_machine(f"edge-{zone}", "edge", zone)
    await deployment.wait_ready()
    until_s = record.now_s() + 20.0
    sent: dict = {}
    tasks = [
        asyncio.create_task(_request_often(deployment, _ZONES[n % 3], until_s, sent))
        for n in range(_REQUESTERS)
    ]
    tasks.append(asyncio.create_task(_run_programs(deployment, until_s)))
    await asyncio.sleep(_SILENT_AFTER_S)
    silent_s = record.now_s()
    if has_trouble():
        counts = {n: p.silence_open() for n, p in deployment.proxies.items()}
        record.write(f"silent: open channels to the store {counts}")
    await asyncio.sleep(_CHANGED_AFTER_S)
    changed_s = deployment.put_state(_state(2, "new"))
    await asyncio.gather(*tasks)
    late = 0
    last_s = 0.0
    first_s = max(changed_s + _CONFIG_APPLY_S, silent_s + CONTACT_S)
    for engine in deployment.engines:
        if engine.service != "old":
            continue
        for at_s, request_id, _ in engine.run_log:
            request = sent.get(request_id)
            last_s = max(last_s, at_s - silent_s)
            if request is not None and request.sent_s > first_s:
                late += 1
                record.write(
                    f"broken: {request_id} was sent {request.sent_s - changed_s:.2f} s "
                    f"after version 2 and run by the old service"
                )
    answered = sum(each.status == 200 for each in sent.values())
    record.write(
        f"{len(sent)} requests, {answered} answered 200; {late} run by the old service "
        f"too late; the last {last_s:.2f} s after the silence"
    )
    assert answered > len(sent) / 2, "the deployment did not serve"
    return late == 0


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case, _ZONES)
