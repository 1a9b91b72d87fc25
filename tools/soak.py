"""The soak: real processes, a seeded schedule of faults, and every promise checked."""

import asyncio
import os
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import aiohttp
import attrs
import fire
import orjson
from absl import logging

from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.links.platform_link import PlatformUnavailableError
from celerypulley.load.checks import Check, check_rate
from celerypulley.load.ledger import Ledger
from celerypulley.load.summary import Summary, format_summary, percentile
from celerypulley.load.workload import MIXES, plan_programs
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ChangeRefusedError
from tools.cluster import DEPLOYMENTS, Cluster, ClusterOptions, Process
from tools.demo import check_promises, run_on_cluster

__all__ = ["PlannedFault", "Soak", "main", "plan_faults"]

_FAULT_KINDS = (
    "kill host",
    "freeze host",
    "cut domain",
    "cut host from platform",
    "platform outage",
    "platform slow",
    "platform loses answers",
    "kill engine",
    "leaving engine",
    "restart host gracefully",
    "operators race",
)
_FIRST_FAULT_S = 3.0
_FAULT_INTERVAL_S = (4.0, 8.0)
_FAULT_DURATION_S = (1.0, 9.0)
_SETTLE_S = 20.0
_POLL_INTERVAL_S = 0.25
_GREEDY_FACTOR = 5.0
_GREEDY_MAX_DELAY_MS = 500.0
_GREEDY_PATH = "/catalogue/filters"


@attrs.frozen
class PlannedFault:
    """One fault: when it begins, how long it lasts, and a draw for its target."""

    kind: str
    starts_s: float
    duration_s: float
    target_draw: float


def plan_faults(
    seed: int, seconds: float, kinds: tuple[str, ...] = _FAULT_KINDS
) -> list[PlannedFault]:
    """Return the faults of a run; every kind comes once before any comes again."""
    draws = random.Random(seed)
    planned = []
    at_s = _FIRST_FAULT_S
    bag: list[str] = []
    while at_s < seconds:
        if not bag:
            bag = list(kinds)
            draws.shuffle(bag)
        planned.append(
            PlannedFault(
                bag.pop(), at_s, draws.uniform(*_FAULT_DURATION_S), draws.random()
            )
        )
        at_s += draws.uniform(*_FAULT_INTERVAL_S)
    return planned


class Soak:
    """One run: the cluster, the load, the faults and the watching of versions."""

    def __init__(
        self, cluster: Cluster, seed: int, greedy_organisation: str = ""
    ) -> None:
        """Run on `cluster`; `greedy` is an organisation that sends too much.

        With a greedy organisation no host is frozen, since a frozen host's calls
        reach the stand-in long after their meter let them pass.
        """
        self.greedy_organisation = greedy_organisation
        self.fault_kinds = tuple(
            k for k in _FAULT_KINDS if not (greedy_organisation and k == "freeze host")
        )
        self.greedy_sent = 0
        self.greedy_granted = 0
        self.cluster = cluster
        self.seed = seed
        self.clock = Clock()
        self.fault_counts: Counter[str] = Counter()
        self.host_versions: dict[str, int] = {}
        self.version_reads = 0
        self.version_regressions: list[str] = []
        self.concurrent_changes = 0
        self.duplicate_versions: list[str] = []
        self.recovery_ms: list[float] = []
        self._restarted = 0
        self._active_cuts: dict[str, set[str]] = {}

    async def run(
        self, seconds: float, programs_per_s: float
    ) -> tuple[Ledger, Summary]:
        """Run load and faults; return what callers saw and the summary."""
        cluster = self.cluster
        await cluster.start()
        declaration = cluster.declaration
        models = sorted({m for route in declaration.routes for m in route.models})
        planned = plan_programs(
            MIXES[cluster.options.deployment.name],
            self.seed,
            [each.name for each in declaration.organisations],
            models,
            programs_per_s,
            seconds * 1_000,
        )
        ledger = Ledger()
        watching = asyncio.create_task(self._watch_versions())
        faults = asyncio.create_task(self._run_faults(seconds))
        greedy = asyncio.create_task(self._send_above_rate(seconds))
        await run_on_cluster(cluster, planned, ledger, show_progress=False)
        await faults
        await greedy
        await asyncio.sleep(_SETTLE_S)
        watching.cancel()
        summary = await check_promises(cluster, ledger)
        extra = [
            Check(
                "configuration never reverts",
                self.version_reads,
                tuple(self.version_regressions),
            ),
            Check(
                "one order of versions",
                self.concurrent_changes,
                tuple(self.duplicate_versions),
            ),
            await self._check_newest_version(),
            await self._check_engine_memory(),
        ]
        if self.greedy_organisation:
            extra.append(await self._check_rate())
        return ledger, attrs.evolve(summary, checks=[*summary.checks, *extra])

    async def _run_faults(self, seconds: float) -> None:
        begun_ms = self.clock.now_ms()
        tasks = []
        for plan in plan_faults(self.seed, seconds, self.fault_kinds):
            wait_s = plan.starts_s - (self.clock.now_ms() - begun_ms) / 1_000
            await asyncio.sleep(max(0.0, wait_s))
            tasks.append(asyncio.create_task(self._inject_fault(plan)))
        await asyncio.gather(*tasks)

    async def _send_above_rate(self, seconds: float) -> None:
        if not self.greedy_organisation:
            return
        limits = Configuration(1, self.cluster.declaration, ()).organisation_limits(
            self.greedy_organisation
        )
        pause_s = 1.0 / (limits.rate_per_s * _GREEDY_FACTOR)
        begun_ms = self.clock.now_ms()
        tasks = set()
        while self.clock.now_ms() - begun_ms < seconds * 1_000:
            task = asyncio.create_task(self._send_greedy_request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause_s)
        await asyncio.gather(*tasks)

    async def _send_greedy_request(self) -> None:
        session = self.cluster.session
        assert session is not None, "the cluster has been started"
        host = self._pick_running(self.cluster.hosts, random.random())
        headers = {
            "Authorization": f"Bearer {self.cluster.keys[self.greedy_organisation]}"
        }
        self.greedy_sent += 1
        body = {
            "id": f"greedy-{self.greedy_sent}",
            "organisation": self.greedy_organisation,
        }
        try:
            async with session.post(
                f"http://{host.address}{_GREEDY_PATH}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=20.0),
            ) as response:
                self.greedy_granted += response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _check_rate(self) -> Check:
        arrivals: dict[str, list[float]] = {}
        for process in self.cluster.plain_services:
            arrivals.update(await self.cluster.read_json(process.address, "/arrivals"))
        limits = Configuration(1, self.cluster.declaration, ()).organisation_limits(
            self.greedy_organisation
        )
        allowed = {self.greedy_organisation: (limits.rate_per_s, float(limits.burst))}
        return check_rate(arrivals, allowed, _GREEDY_MAX_DELAY_MS)

    async def _inject_fault(self, fault: PlannedFault) -> None:
        steps = {
            "kill host": self._kill_host,
            "freeze host": self._freeze_host,
            "cut domain": self._cut_domain,
            "cut host from platform": self._cut_from_platform,
            "platform outage": self._platform_outage,
            "platform slow": self._platform_slow,
            "platform loses answers": self._platform_loses_responses,
            "kill engine": self._kill_engine,
            "leaving engine": self._mark_engine_leaving,
            "restart host gracefully": self._restart_host,
            "operators race": self._change_keys_concurrently,
        }
        try:
            await steps[fault.kind](fault)
            self.fault_counts[fault.kind] += 1
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            print(f"fault {fault.kind} not done: {error!r}", file=sys.stderr)

    def _pick_running(self, processes: list[Process], draw: float) -> Process:
        running = [each for each in processes if each.is_running]
        return running[int(draw * len(running)) % len(running)]

    async def _kill_host(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        self.cluster.kill(host)
        await asyncio.sleep(fault.duration_s)
        self._active_cuts.pop(host.name, None)
        self.cluster.launch(host)

    async def _freeze_host(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        self.cluster.freeze(host)
        await asyncio.sleep(fault.duration_s)
        self.cluster.thaw(host)

    async def _cut_domain(self, fault: PlannedFault) -> None:
        domains = self.cluster.declaration.failure_domains
        domain = domains[int(fault.target_draw * len(domains)) % len(domains)]
        outside = {*domains, "platform"} - {domain}
        inside = [host for host in self.cluster.hosts if host.domain == domain]
        for host in inside:
            await self._add_cut(host, outside)
        await asyncio.sleep(fault.duration_s)
        for host in inside:
            await self._remove_cut(host, outside)

    async def _cut_from_platform(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        await self._add_cut(host, {"platform"})
        await asyncio.sleep(fault.duration_s)
        await self._remove_cut(host, {"platform"})

    async def _add_cut(self, host: Process, names: set[str]) -> None:
        if not host.is_running:
            return
        cut = self._active_cuts.setdefault(host.name, set())
        cut |= names
        await self.cluster.set_cuts(host, sorted(cut))

    async def _remove_cut(self, host: Process, names: set[str]) -> None:
        cut = self._active_cuts.get(host.name)
        if cut is None:
            return
        cut -= names
        for _ in range(40):
            try:
                if host.is_running:
                    await self.cluster.set_cuts(host, sorted(cut))
                return
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _platform_outage(self, fault: PlannedFault) -> None:
        await self.cluster.set_kv_faults(down=True)
        await asyncio.sleep(fault.duration_s)
        await self.cluster.set_kv_faults()

    async def _platform_slow(self, fault: PlannedFault) -> None:
        await self.cluster.set_kv_faults(delay_ms=400.0)
        await asyncio.sleep(fault.duration_s)
        await self.cluster.set_kv_faults()

    async def _platform_loses_responses(self, fault: PlannedFault) -> None:
        await self.cluster.set_kv_faults(lose_answer_share=0.5)
        await asyncio.sleep(fault.duration_s)
        await self.cluster.set_kv_faults()

    async def _kill_engine(self, fault: PlannedFault) -> None:
        engine = self._pick_running(self.cluster.engines, fault.target_draw)
        self.cluster.kill(engine)
        await asyncio.sleep(fault.duration_s)
        self.cluster.launch(engine)

    async def _mark_engine_leaving(self, fault: PlannedFault) -> None:
        engine = self._pick_running(self.cluster.engines, fault.target_draw)
        await self.cluster.set_server_state(engine.name, "leaving")
        await asyncio.sleep(fault.duration_s)
        await self.cluster.set_server_state(engine.name, "live")

    async def _restart_host(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        self.cluster.terminate(host)
        assert host.popen is not None, "only a started process is restarted"
        for _ in range(400):
            if host.popen.poll() is not None:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.cluster.launch(host)

    async def _change_keys_concurrently(self, fault: PlannedFault) -> None:
        """Let ten operators change keys at once; each success is one version."""
        store = self.cluster.configuration_store()
        names = [each.name for each in self.cluster.declaration.organisations]

        async def change(number: int) -> int | None:
            try:
                lines = await commands.give_key(store, names[number % len(names)])
            except (ChangeRefusedError, PlatformUnavailableError, OSError):
                return None
            return int(lines[0].split()[1])

        made = await asyncio.gather(*(change(number) for number in range(10)))
        versions = [version for version in made if version is not None]
        self.concurrent_changes += len(versions)
        if len(set(versions)) != len(versions):
            self.duplicate_versions.append(
                f"two operators made one version: {versions}"
            )

    async def _watch_versions(self) -> None:
        while True:
            for host in self.cluster.hosts:
                await self._watch_version(host)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _watch_version(self, host: Process) -> None:
        if not host.is_running:
            return
        status = await self.cluster.read_json(host.admin_address, "/status")
        if not status:
            return
        member, version = status["member"], status["configuration_version"]
        self.version_reads += 1
        if version < self.host_versions.get(member, 0):
            self.version_regressions.append(
                f"{member} went from {self.host_versions[member]} to {version}"
            )
        self.host_versions[member] = version

    async def _check_newest_version(self) -> Check:
        newest = await self.cluster.configuration_store().newest()
        assert newest is not None, "a declaration has been applied"
        behind = []
        for host in self.cluster.hosts:
            status = await self.cluster.read_json(host.admin_address, "/status")
            if status.get("configuration_version") != newest.head.version:
                behind.append(f"{host.name}: {status.get('configuration_version')}")
        return Check("newest version in force", len(self.cluster.hosts), tuple(behind))

    async def _check_engine_memory(self) -> Check:
        """Every program of the run is closed, so no engine may hold anything."""
        held = []
        cases = 0
        for engine in self.cluster.engines:
            sessions = await self.cluster.read_json(engine.address, "/sessions")
            cases += 1
            for name in sessions:
                if name:
                    held.append(f"{engine.name} holds {name}")
        return Check("no engine memory held", cases, tuple(held))


def soak(
    deployment: str = "aguapunto",
    seed: int = 1,
    seconds: float = 60.0,
    programs_per_s: float = 3.0,
    json: bool = False,
    keep: str = "",
    greedy: str = "",
) -> None:
    """Run the soak; exit with 0 only if there was no violation.

    `keep` is a folder for logs and the history of the run; `greedy` names an
    organisation that sends five times its rate.
    """
    logging.set_verbosity(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="celerypulley-soak-") as temporary:
        folder = Path(keep or temporary)
        options = ClusterOptions(deployment=DEPLOYMENTS[deployment], folder=folder)
        cluster = Cluster(options)
        run = Soak(cluster, seed, greedy)

        async def whole() -> tuple[Ledger, Summary]:
            try:
                return await run.run(seconds, programs_per_s)
            finally:
                await cluster.stop()

        ledger, summary = asyncio.run(whole())
        ledger.save(folder / "history.jsonl")
    violations = sum(len(check.broken) for check in summary.checks)
    report = {
        "deployment": deployment,
        "seed": seed,
        "seconds": seconds,
        "operations": len(ledger.operations),
        "faults": dict(sorted(run.fault_counts.items())),
        "violations": violations,
        "greedy_sent": run.greedy_sent,
        "greedy_granted": run.greedy_granted,
        "turn_p50_ms": percentile([each for _, each in ledger.turn_latencies_ms], 50),
        "turn_worst_ms": max(
            (each for _, each in ledger.turn_latencies_ms), default=0.0
        ),
        **summary.as_data(),
    }
    if json:
        print(orjson.dumps(report).decode())
    else:
        print(f"deployment {deployment}, seed {seed}, {seconds:.0f} s")
        print(f"operations {report['operations']}, faults {report['faults']}")
        print(format_summary(summary))
        print(f"turn p50 {report['turn_p50_ms']:.0f} ms, ", end="")
        print(f"worst {report['turn_worst_ms']:.0f} ms")
        if greedy:
            print(f"{greedy} sent {run.greedy_sent}, granted {run.greedy_granted}")
        print(f"violations {violations}")
    sys.stdout.flush()
    os._exit(1 if violations else 0)


def main() -> None:
    """Run the command line of the soak."""
    fire.Fire(soak)


if __name__ == "__main__":
    main()
