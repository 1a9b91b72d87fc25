"""Costs of host processes: overhead by number of hosts, and CPU time by load."""

import asyncio
import tempfile
import time
from pathlib import Path

import attrs
import yaml

from benchmarks.fit import Series
from benchmarks.process_costs import read_cost
from celerypulley.load.ledger import Ledger
from celerypulley.load.workload import MIXES, plan_programs
from celerypulley.operators import commands
from tools.cluster import DEPLOYMENTS, Cluster, ClusterOptions, Deployment
from tools.demo import run_on_cluster

__all__ = ["measure_calls", "measure_engine_reports", "measure_hosts"]

_IDLE_S = 12.0
_SETTLE_S = 12.0
_SHARDS_PER_HOST = 5
_DOMAINS = 3
_ENGINES_PER_DOMAIN = 20


@attrs.frozen
class IdleCost:
    """The costs of an idle cluster.

    CPU share and memory are per host; bytes, platform calls and watch events per host
    and s. `start_writes` are the writes per host up to the measurement, and
    `in_force_s` is the time until all hosts apply a changed key.
    """

    cpu_percent: float
    memory_mb: float
    peer_bytes: float
    platform_reads: float
    platform_writes: float
    watch_events: float
    start_writes: float
    in_force_s: float


def _one_domain(folder: Path) -> Deployment:
    """Return a deployment of one failure domain with 20 engines."""
    data = yaml.safe_load(DEPLOYMENTS["aguapunto"].declaration_path.read_text())
    data["failure_domains"] = data["failure_domains"][:1]
    domain = data["failure_domains"][0]
    plain_servers = [s for s in data["backend_servers"] if s["route"] != "assistant"]
    data["backend_servers"] = [
        {
            "name": f"engine-{number}",
            "route": "assistant",
            "domain": domain,
            "address": f"127.0.0.1:{number + 1}",
        }
        for number in range(_ENGINES_PER_DOMAIN)
    ]
    data["backend_servers"] += [
        {**server, "domain": domain} for server in plain_servers
    ]
    path = folder / "one-domain.yaml"
    path.write_text(yaml.safe_dump(data, sort_keys=False))
    return attrs.evolve(DEPLOYMENTS["aguapunto"], declaration_path=path)


async def _measure_idle(hosts: int, one_domain: bool = False) -> IdleCost:
    with tempfile.TemporaryDirectory(prefix="celerypulley-slopes-") as folder:
        options = ClusterOptions(
            deployment=(
                _one_domain(Path(folder)) if one_domain else DEPLOYMENTS["aguapunto"]
            ),
            folder=Path(folder),
            hosts=hosts,
            shards_per_domain=max(4, hosts * _SHARDS_PER_HOST // _DOMAINS),
            promise_ms=3_000,
            lease_ttl_ms=15_000,
        )
        cluster = Cluster(options)
        try:
            await cluster.start()
            await asyncio.sleep(_SETTLE_S)
            return await _idle_cost(cluster, hosts)
        finally:
            await cluster.stop()


async def _idle_cost(cluster: Cluster, hosts: int) -> IdleCost:
    pids = [host.popen.pid for host in cluster.hosts if host.popen is not None]
    kv_before = await cluster.read_json(cluster.kv_address, "/counts")
    bytes_before = await _peer_bytes(cluster)
    before = [read_cost(pid) for pid in pids]
    await asyncio.sleep(_IDLE_S)
    after = [read_cost(pid) for pid in pids]
    bytes_after = await _peer_bytes(cluster)
    kv_after = await cluster.read_json(cluster.kv_address, "/counts")
    host_seconds = hosts * _IDLE_S
    in_force_s = await _measure_change_s(cluster)
    cpu_s = sum(b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True))
    return IdleCost(
        cpu_percent=cpu_s / host_seconds * 100,
        memory_mb=sum(each.memory_mb for each in after) / hosts,
        peer_bytes=(bytes_after - bytes_before) / host_seconds,
        platform_reads=(kv_after["reads"] - kv_before["reads"]) / host_seconds,
        platform_writes=(kv_after["writes"] - kv_before["writes"]) / host_seconds,
        watch_events=(kv_after["watch_events"] - kv_before["watch_events"])
        / host_seconds,
        start_writes=kv_before["writes"] / hosts,
        in_force_s=in_force_s,
    )


async def _measure_change_s(cluster: Cluster) -> float:
    """Return the time in s from an operator's change until all hosts apply it."""
    lines = await commands.give_key(
        cluster.configuration_store(), next(iter(cluster.keys))
    )
    version = int(lines[0].split()[1])
    begun = time.monotonic()
    for host in cluster.hosts:
        while True:
            status = await cluster.read_json(host.admin_address, "/status")
            if status["configuration_version"] >= version:
                break
            await asyncio.sleep(0.01)
    return time.monotonic() - begun


async def _peer_bytes(cluster: Cluster) -> int:
    """Return the bytes sent and received by all hosts; both sides of a link count."""
    total = 0
    for host in cluster.hosts:
        status = await cluster.read_json(host.admin_address, "/status")
        total += sum(status["peer_bytes"])
    return total


def measure_hosts(sizes: tuple[int, ...] = (6, 12, 24, 48)) -> list[Series]:
    """Measure idle clusters with these numbers of hosts, one after the other."""
    idle_costs = [asyncio.run(_measure_idle(size)) for size in sizes]

    def series(name: str, unit: str, field: str, note: str = "") -> Series:
        costs = tuple(getattr(each, field) for each in idle_costs)
        return Series(name, "hosts", unit, sizes, costs, note)

    return [
        series(
            "control, processor",
            "% of a core a host",
            "cpu_percent",
            "4 engines polled twice a second by each host",
        ),
        series("memory of an idle host", "MB", "memory_mb"),
        series(
            "control, bytes between hosts",
            "bytes/s a host",
            "peer_bytes",
            "sent and received",
        ),
        series("platform reads", "1/s a host", "platform_reads"),
        series("platform writes", "1/s a host", "platform_writes"),
        series("platform writes of a first start", "a host", "start_writes"),
        series("a changed key in force on every host", "s", "in_force_s"),
    ]


def measure_engine_reports(sizes: tuple[int, ...] = (3, 6, 12, 24)) -> list[Series]:
    """Measure the sharing of 20 engines' reports by the hosts of one domain."""
    idle_costs = [asyncio.run(_measure_idle(size, one_domain=True)) for size in sizes]

    def series(name: str, unit: str, field: str) -> Series:
        costs = tuple(getattr(each, field) for each in idle_costs)
        return Series(name, "hosts of a domain", unit, sizes, costs, "20 engines")

    return [
        series("shared engine reports, processor", "% of a core a host", "cpu_percent"),
        series("shared engine reports, bytes", "bytes/s a host", "peer_bytes"),
    ]


async def _measure_load(programs_per_s: float) -> tuple[float, float, float]:
    with tempfile.TemporaryDirectory(prefix="celerypulley-slopes-") as folder:
        options = ClusterOptions(
            deployment=DEPLOYMENTS["aguapunto"],
            folder=Path(folder),
            engine_speed=4.0,
            lift_rate_limits=True,
        )
        cluster = Cluster(options)
        try:
            await cluster.start()
            names = [each.name for each in cluster.declaration.organisations]
            planned = plan_programs(
                MIXES["aguapunto"], 5, names, ["agent-70b"], programs_per_s, 15_000.0
            )
            pids = [host.popen.pid for host in cluster.hosts if host.popen is not None]
            before = [read_cost(pid) for pid in pids]
            ledger = Ledger()
            begun = asyncio.get_running_loop().time()
            await run_on_cluster(cluster, planned, ledger, show_progress=False)
            seconds = asyncio.get_running_loop().time() - begun
            after = [read_cost(pid) for pid in pids]
            cpu_s = sum(b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True))
            calls = len(ledger.operations) / seconds
            tokens = sum(turn.max_tokens for plan in planned for turn in plan.turns)
            return calls, cpu_s / seconds * 100, tokens / seconds
        finally:
            await cluster.stop()


def measure_calls(rates: tuple[float, ...] = (2.0, 6.0, 12.0, 20.0)) -> list[Series]:
    """Measure the CPU time of six hosts at these rates of programs per s."""
    loads = [asyncio.run(_measure_load(rate)) for rate in rates]
    calls = tuple(round(each[0], 1) for each in loads)
    tokens = ", ".join(f"{each[2]:.0f}" for each in loads)
    return [
        Series(
            "all six hosts under load",
            "calls/s",
            "% of a core",
            calls,
            tuple(each[1] for each in loads),
            f"relaying {tokens} tokens/s",
        ),
    ]
