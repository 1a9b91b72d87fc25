"""The latency and CPU time that the system adds between a caller and an engine.

The same calls go alternately to an engine directly and through two hosts, entry and
owner, within one run. CPU time is that of the hosts alone.
"""

import asyncio
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp
import attrs
import fire
import orjson
from absl import logging

from benchmarks.process_costs import read_cost
from celerypulley.load.summary import percentile
from tools.cluster import DEPLOYMENTS, Cluster, ClusterOptions

__all__ = ["main"]

_ROUNDS = 3
_STREAM_COUNT = 120
_TOKENS_PER_STREAM = 150
_SHORT_CALLS = 60
_PARALLEL_CALLS = 200
_MAX_CONCURRENCY = 16
_IDLE_S = 5.0
_TARGET_TOKENS_PER_CORE_S = 3 * 4_250


@attrs.define
class CallTimings:
    """The latencies, in ms, and token count of calls over one path."""

    name: str
    call_ms: list[float] = attrs.Factory(list)
    first_token_ms: list[float] = attrs.Factory(list)
    stream_tokens: int = 0
    stream_s: float = 0.0


async def _time_call(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict,
    tokens: int,
    timings: CallTimings,
) -> None:
    body = {
        "model": "agent-70b",
        "messages": [{"role": "user", "content": "one two three"}],
        "max_tokens": tokens,
        "stream": True,
    }
    begun = time.monotonic()
    first = None
    async with session.post(
        url + "/v1/chat/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            raise RuntimeError(await response.text())
        async for data in response.content.iter_any():
            first = first or time.monotonic()
            timings.stream_tokens += data.count(b'"content"')
    ended = time.monotonic()
    timings.call_ms.append((ended - begun) * 1_000)
    timings.first_token_ms.append(((first or ended) - begun) * 1_000)


async def _short_calls(
    session: aiohttp.ClientSession, url: str, make_headers: object, timings: CallTimings
) -> None:
    for number in range(_SHORT_CALLS):
        await _time_call(session, url, make_headers(number), 1, timings)


async def _run_benchmark(folder: Path) -> dict:
    options = ClusterOptions(
        deployment=DEPLOYMENTS["aguapunto"],
        folder=folder,
        engine_speed=2.0,
        lift_rate_limits=True,
    )
    cluster = Cluster(options)
    try:
        await cluster.start()
        return await _compare_paths(cluster)
    finally:
        await cluster.stop()


async def _open_programs(cluster: Cluster, url: str, key: str, count: int) -> list:
    """Open programs on the second host, so that the first relays their calls."""
    assert cluster.session is not None, "the cluster has not been started"
    program_ids = []
    for _ in range(count):
        async with cluster.session.post(
            url + "/v1/programs", headers={"Authorization": f"Bearer {key}"}
        ) as response:
            report = orjson.loads(await response.read())
            program_ids.append(report["id"])
            await asyncio.sleep(0.02)
    return program_ids


async def _compare_paths(cluster: Cluster) -> dict:
    session = cluster.session
    assert session is not None, "the cluster has not been started"
    key = cluster.keys["kiosks-north"]
    authorized = {"Authorization": f"Bearer {key}"}
    entry_url = f"http://{cluster.hosts[0].address}"
    owner_url = f"http://{cluster.hosts[1].address}"
    engine_url = f"http://{cluster.engines[0].address}"
    meter = CpuMeter(cluster)
    await meter.measure_idle()
    direct, through, concurrent = (
        CallTimings("direct"),
        CallTimings("through"),
        CallTimings("at once"),
    )
    streams = CallTimings("streams")
    for _ in range(_ROUNDS):
        names = await _open_programs(
            cluster, owner_url, key, _SHORT_CALLS + _STREAM_COUNT + _PARALLEL_CALLS
        )
        program_ids = iter(names)

        def headers(program_ids: object = program_ids) -> dict:
            return {**authorized, "X-Celerypulley-Program": next(program_ids)}

        for _ in range(_SHORT_CALLS):
            await _time_call(session, engine_url, {}, 1, direct)
            await _time_call(session, entry_url, headers(), 1, through)
        semaphore = asyncio.Semaphore(_MAX_CONCURRENCY)

        async def call(
            semaphore: object = semaphore, headers: object = headers
        ) -> None:
            async with semaphore:
                await _time_call(session, entry_url, headers(), 1, concurrent)

        with meter.measure("calls"):
            await asyncio.gather(*(call() for _ in range(_PARALLEL_CALLS)))
        with meter.measure("streams"):
            await asyncio.gather(
                *(
                    _time_call(
                        session, entry_url, headers(), _TOKENS_PER_STREAM, streams
                    )
                    for _ in range(_STREAM_COUNT)
                )
            )
    calls = _ROUNDS * _PARALLEL_CALLS
    tokens_per_core = streams.stream_tokens / meter.cpu_s["streams"]
    return {
        "direct_call_p50_ms": percentile(direct.call_ms, 50),
        "direct_call_p99_ms": percentile(direct.call_ms, 99),
        "added_p50_ms": percentile(through.call_ms, 50)
        - percentile(direct.call_ms, 50),
        "added_p99_ms": percentile(through.call_ms, 99)
        - percentile(direct.call_ms, 99),
        "peer_delay_ms": cluster.options.deployment.peer_delay_ms,
        "calls_per_core_s": calls / meter.cpu_s["calls"],
        "relayed_tokens": streams.stream_tokens,
        "relayed_tokens_per_core_s": tokens_per_core,
        "target_tokens_per_core_s": _TARGET_TOKENS_PER_CORE_S,
        "ratio_to_target": tokens_per_core / _TARGET_TOKENS_PER_CORE_S,
        "idle_percent_of_a_core_per_host": meter.idle_share / len(meter.pids) * 100,
    }


class CpuMeter:
    """A meter of the CPU time that all hosts use beyond their idle load."""

    def __init__(self, cluster: Cluster) -> None:
        """Measure the running hosts of `cluster`."""
        self.pids = [h.popen.pid for h in cluster.hosts if h.popen is not None]
        self.idle_share = 0.0
        self.cpu_s: dict[str, float] = {}

    def _read(self) -> float:
        return sum(read_cost(pid).cpu_s for pid in self.pids)

    async def measure_idle(self) -> None:
        """Measure the CPU time used without callers."""
        before = self._read()
        await asyncio.sleep(_IDLE_S)
        self.idle_share = (self._read() - before) / _IDLE_S

    @contextmanager
    def measure(self, name: str) -> Iterator[None]:
        """Add the CPU time used within the block to `cpu_s[name]`."""
        before, begun = self._read(), time.monotonic()
        yield
        idle_s = (time.monotonic() - begun) * self.idle_share
        used_s = self._read() - before - idle_s
        self.cpu_s[name] = self.cpu_s.get(name, 0.0) + used_s


def bench() -> None:
    """Print the results as JSON.

    Engines run at twice their speed, at which tokens still arrive one by one.
    """
    logging.set_verbosity(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="celerypulley-bench-") as folder:
        results = asyncio.run(_run_benchmark(Path(folder)))
    print(orjson.dumps(results, option=orjson.OPT_INDENT_2).decode())


def main() -> None:
    """Run the command line."""
    fire.Fire(bench)


if __name__ == "__main__":
    main()
