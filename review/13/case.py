"""A tenant's usage cap while all processes are killed at the same moment."""

import asyncio
import signal
from pathlib import Path

import aiohttp

from review.harness_3 import (
    Deployment,
    Machine,
    Sent,
    has_trouble,
    most_in_window,
    route,
    run_case,
)

_ZONES = ["zone-a", "zone-b", "zone-c"]
_KEY = "k0"
_RATE_PER_S = 60
_BURST = 10
_WINDOW_S = 5.0
# quotaOverrun is 0.1, quotaSlack 20.
_ALLOWED = (_RATE_PER_S * _WINDOW_S + _BURST) * 1.1 + 20
# A usual rate of the limit / 1.6 (quota_x), and hot_tenant with x = 7.5 for 6.5 s.
_HOT_PER_S = _RATE_PER_S / 1.6 * 7.5
_HOT_S = 6.5
_KILL_AFTER_S = 1.3
_DOWN_S = 0.8
_QUIET_S = 7.0


async def _restart(deployment: Deployment, machine: Machine) -> None:
    machine.send(signal.SIGKILL)
    await machine.process.wait()
    await asyncio.sleep(_DOWN_S)
    text = machine.settings.read_text(encoding="utf-8")
    text = text.replace("bootstrap=true", "bootstrap=false")
    machine.settings.write_text(text, encoding="utf-8")
    await machine.start(deployment.folder / f"{machine.name}.log")


async def _send_hot(deployment: Deployment) -> list[Sent]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        for number in range(int(_HOT_PER_S * _HOT_S)):
            edge = deployment.edges[number % len(deployment.edges)]
            work = deployment.request(
                session, "GET", "/check/x", {"Api-Key": _KEY}, edge=edge, deadline_s=1.2
            )
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(1 / _HOT_PER_S)
        return await asyncio.gather(*tasks)


async def _case(deployment: Deployment) -> bool:
    record = deployment.record
    deployment.put_state(
        {
            "version": 1,
            "routes": [route("check", "/check/", "checks", timeoutMs=1_200)],
            "services": [{"name": "checks"}],
            "limits": {},
            "tenants": [
                {
                    "name": "t",
                    "apiKeys": [_KEY],
                    "ratePerS": _RATE_PER_S,
                    "burst": _BURST,
                }
            ],
        }
    )
    for zone in _ZONES:
        await deployment.add_engine(f"engine-{zone}", "checks", zone)
    for zone in _ZONES:
        await deployment.add_machine(f"store-{zone}", "store", zone)
        await deployment.add_machine(f"edge-{zone}", "edge", zone)
    await deployment.wait_ready()
    await asyncio.sleep(_QUIET_S)
    hot = asyncio.create_task(_send_hot(deployment))
    await asyncio.sleep(_KILL_AFTER_S)
    if has_trouble():
        record.write("SIGKILL to all processes")
        machines = (*deployment.edges, *deployment.stores)
        await asyncio.gather(*(_restart(deployment, each) for each in machines))
        record.write("all processes are started again")
    sent = {each.request_id: each for each in await hot}
    runs = [
        (sent[request_id].sent_s, at_s)
        for engine in deployment.engines
        for at_s, request_id, _ in engine.run_log
    ]
    most = most_in_window(runs, _WINDOW_S)
    record.write(
        f"{len(sent)} sent, {len(runs)} run, {most} in one window, "
        f"{_ALLOWED:.0f} are allowed"
    )
    assert len(runs) > _RATE_PER_S * _WINDOW_S / 2, "the deployment did not serve"
    return most <= _ALLOWED


if __name__ == "__main__":
    run_case(Path(__file__).parent, _case, _ZONES)
