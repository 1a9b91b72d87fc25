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
from celerypulley.contracts.effective import Configuration
from celerypulley.links.platform import PlatformUnavailableError
from celerypulley.load.checks import Check, check_rate
from celerypulley.load.ledger import Ledger
from celerypulley.load.summary import Summary, percentile, table
from celerypulley.load.workload import MIXES, plan_programs
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ChangeRefusedError
from tools.cluster import DEPLOYMENTS, Cluster, ClusterOptions, Process
from tools.demo import drive_cluster, judge

__all__ = ["FaultPlan", "Soak", "main", "plan_faults"]

_KINDS = (
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
_FIRST_S = 3.0
_GAP_S = (4.0, 8.0)
_LENGTH_S = (1.0, 9.0)
_QUIET_END_S = 20.0
_PROBE_S = 0.25
_GREEDY_FACTOR = 5.0
_GREEDY_SLACK_MS = 500.0
_GREEDY_PATH = "/catalogue/filters"


@attrs.frozen
class FaultPlan:
    """One fault: when it begins, how long it lasts, and a draw for its target."""

    kind: str
    at_s: float
    length_s: float
    draw: float


def plan_faults(
    seed: int, seconds: float, kinds: tuple[str, ...] = _KINDS
) -> list[FaultPlan]:
    """Return the faults of a run; every kind comes once before any comes again."""
    draws = random.Random(seed)
    planned = []
    at_s = _FIRST_S
    bag: list[str] = []
    while at_s < seconds:
        if not bag:
            bag = list(kinds)
            draws.shuffle(bag)
        planned.append(
            FaultPlan(bag.pop(), at_s, draws.uniform(*_LENGTH_S), draws.random())
        )
        at_s += draws.uniform(*_GAP_S)
    return planned


class Soak:
    """One run: the cluster, the load, the faults and the watching of versions."""

    def __init__(self, cluster: Cluster, seed: int, greedy: str = "") -> None:
        """Run on `cluster`; `greedy` is an organisation that sends too much.

        With a greedy organisation no host is frozen, since a frozen host's calls
        reach the stand-in long after their meter let them pass.
        """
        self.greedy = greedy
        self.kinds = tuple(k for k in _KINDS if not (greedy and k == "freeze host"))
        self.greedy_sent = 0
        self.greedy_granted = 0
        self.cluster = cluster
        self.seed = seed
        self.clock = Clock()
        self.done: Counter[str] = Counter()
        self.versions: dict[str, int] = {}
        self.version_reads = 0
        self.version_breaks: list[str] = []
        self.races = 0
        self.race_breaks: list[str] = []
        self.recovery_ms: list[float] = []
        self._restarted = 0
        self._cut_hosts: dict[str, set[str]] = {}

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
        greedy = asyncio.create_task(self._send_too_much(seconds))
        await drive_cluster(cluster, planned, ledger, show=False)
        await faults
        await greedy
        await asyncio.sleep(_QUIET_END_S)
        watching.cancel()
        summary = await judge(cluster, ledger)
        extra = [
            Check(
                "configuration never reverts",
                self.version_reads,
                tuple(self.version_breaks),
            ),
            Check("one order of versions", self.races, tuple(self.race_breaks)),
            await self._check_in_force(),
            await self._check_engine_memory(),
        ]
        if self.greedy:
            extra.append(await self._check_rate())
        return ledger, attrs.evolve(summary, checks=[*summary.checks, *extra])

    async def _run_faults(self, seconds: float) -> None:
        begun_ms = self.clock.now_ms()
        tasks = []
        for plan in plan_faults(self.seed, seconds, self.kinds):
            wait_s = plan.at_s - (self.clock.now_ms() - begun_ms) / 1_000
            await asyncio.sleep(max(0.0, wait_s))
            tasks.append(asyncio.create_task(self._inject(plan)))
        await asyncio.gather(*tasks)

    async def _send_too_much(self, seconds: float) -> None:
        if not self.greedy:
            return
        limits = Configuration(1, self.cluster.declaration, ()).limits(self.greedy)
        pause_s = 1.0 / (limits.rate_per_s * _GREEDY_FACTOR)
        begun_ms = self.clock.now_ms()
        tasks = set()
        while self.clock.now_ms() - begun_ms < seconds * 1_000:
            task = asyncio.create_task(self._send_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause_s)
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        session = self.cluster.session
        assert session is not None, "the cluster has been started"
        host = self._pick(self.cluster.hosts, random.random())
        headers = {"Authorization": f"Bearer {self.cluster.keys[self.greedy]}"}
        self.greedy_sent += 1
        body = {"id": f"greedy-{self.greedy_sent}", "organisation": self.greedy}
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
        for process in self.cluster.plain:
            arrivals.update(await self.cluster.read(process.address, "/arrivals"))
        limits = Configuration(1, self.cluster.declaration, ()).limits(self.greedy)
        allowed = {self.greedy: (limits.rate_per_s, float(limits.burst))}
        return check_rate(arrivals, allowed, _GREEDY_SLACK_MS)

    async def _inject(self, plan: FaultPlan) -> None:
        steps = {
            "kill host": self._kill_host,
            "freeze host": self._freeze_host,
            "cut domain": self._cut_domain,
            "cut host from platform": self._cut_from_platform,
            "platform outage": self._platform_outage,
            "platform slow": self._platform_slow,
            "platform loses answers": self._platform_loses_answers,
            "kill engine": self._kill_engine,
            "leaving engine": self._leaving_engine,
            "restart host gracefully": self._restart_host,
            "operators race": self._operators_race,
        }
        try:
            await steps[plan.kind](plan)
            self.done[plan.kind] += 1
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            print(f"fault {plan.kind} not done: {error!r}", file=sys.stderr)

    def _pick(self, processes: list[Process], draw: float) -> Process:
        running = [each for each in processes if each.running]
        return running[int(draw * len(running)) % len(running)]

    async def _kill_host(self, plan: FaultPlan) -> None:
        host = self._pick(self.cluster.hosts, plan.draw)
        self.cluster.kill(host)
        await asyncio.sleep(plan.length_s)
        self._cut_hosts.pop(host.name, None)
        self.cluster.launch(host)

    async def _freeze_host(self, plan: FaultPlan) -> None:
        host = self._pick(self.cluster.hosts, plan.draw)
        self.cluster.freeze(host)
        await asyncio.sleep(plan.length_s)
        self.cluster.thaw(host)

    async def _cut_domain(self, plan: FaultPlan) -> None:
        domains = self.cluster.declaration.failure_domains
        domain = domains[int(plan.draw * len(domains)) % len(domains)]
        outside = {*domains, "platform"} - {domain}
        inside = [host for host in self.cluster.hosts if host.domain == domain]
        for host in inside:
            await self._add_cut(host, outside)
        await asyncio.sleep(plan.length_s)
        for host in inside:
            await self._remove_cut(host, outside)

    async def _cut_from_platform(self, plan: FaultPlan) -> None:
        host = self._pick(self.cluster.hosts, plan.draw)
        await self._add_cut(host, {"platform"})
        await asyncio.sleep(plan.length_s)
        await self._remove_cut(host, {"platform"})

    async def _add_cut(self, host: Process, names: set[str]) -> None:
        if not host.running:
            return
        cut = self._cut_hosts.setdefault(host.name, set())
        cut |= names
        await self.cluster.cut(host, sorted(cut))

    async def _remove_cut(self, host: Process, names: set[str]) -> None:
        cut = self._cut_hosts.get(host.name)
        if cut is None:
            return
        cut -= names
        for _ in range(40):
            try:
                if host.running:
                    await self.cluster.cut(host, sorted(cut))
                return
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(_PROBE_S)

    async def _platform_outage(self, plan: FaultPlan) -> None:
        await self.cluster.kv_faults(down=True)
        await asyncio.sleep(plan.length_s)
        await self.cluster.kv_faults()

    async def _platform_slow(self, plan: FaultPlan) -> None:
        await self.cluster.kv_faults(delay_ms=400.0)
        await asyncio.sleep(plan.length_s)
        await self.cluster.kv_faults()

    async def _platform_loses_answers(self, plan: FaultPlan) -> None:
        await self.cluster.kv_faults(lose_answer_share=0.5)
        await asyncio.sleep(plan.length_s)
        await self.cluster.kv_faults()

    async def _kill_engine(self, plan: FaultPlan) -> None:
        engine = self._pick(self.cluster.engines, plan.draw)
        self.cluster.kill(engine)
        await asyncio.sleep(plan.length_s)
        self.cluster.launch(engine)

    async def _leaving_engine(self, plan: FaultPlan) -> None:
        engine = self._pick(self.cluster.engines, plan.draw)
        await self.cluster.list_server(engine.name, "leaving")
        await asyncio.sleep(plan.length_s)
        await self.cluster.list_server(engine.name, "live")

    async def _restart_host(self, plan: FaultPlan) -> None:
        host = self._pick(self.cluster.hosts, plan.draw)
        self.cluster.terminate(host)
        assert host.popen is not None, "only a started process is restarted"
        for _ in range(400):
            if host.popen.poll() is not None:
                break
            await asyncio.sleep(_PROBE_S)
        self.cluster.launch(host)

    async def _operators_race(self, plan: FaultPlan) -> None:
        """Let ten operators change keys at once; each success is one version."""
        store = self.cluster.store()
        names = [each.name for each in self.cluster.declaration.organisations]

        async def change(number: int) -> int | None:
            try:
                lines = await commands.give(store, names[number % len(names)])
            except (ChangeRefusedError, PlatformUnavailableError, OSError):
                return None
            return int(lines[0].split()[1])

        made = await asyncio.gather(*(change(number) for number in range(10)))
        versions = [version for version in made if version is not None]
        self.races += len(versions)
        if len(set(versions)) != len(versions):
            self.race_breaks.append(f"two operators made one version: {versions}")

    async def _watch_versions(self) -> None:
        while True:
            for host in self.cluster.hosts:
                await self._watch_version(host)
            await asyncio.sleep(_PROBE_S)

    async def _watch_version(self, host: Process) -> None:
        if not host.running:
            return
        status = await self.cluster.read(host.admin_address, "/status")
        if not status:
            return
        member, version = status["member"], status["configuration_version"]
        self.version_reads += 1
        if version < self.versions.get(member, 0):
            self.version_breaks.append(
                f"{member} went from {self.versions[member]} to {version}"
            )
        self.versions[member] = version

    async def _check_in_force(self) -> Check:
        newest = await self.cluster.store().newest()
        assert newest is not None, "a declaration has been applied"
        behind = []
        for host in self.cluster.hosts:
            status = await self.cluster.read(host.admin_address, "/status")
            if status.get("configuration_version") != newest.head.version:
                behind.append(f"{host.name}: {status.get('configuration_version')}")
        return Check("newest version in force", len(self.cluster.hosts), tuple(behind))

    async def _check_engine_memory(self) -> Check:
        """Every program of the run is closed, so no engine may hold anything."""
        held = []
        cases = 0
        for engine in self.cluster.engines:
            sessions = await self.cluster.read(engine.address, "/sessions")
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
        "faults": dict(sorted(run.done.items())),
        "violations": violations,
        "greedy_sent": run.greedy_sent,
        "greedy_granted": run.greedy_granted,
        "turn_p50_ms": percentile([each for _, each in ledger.turn_ms], 50),
        "turn_worst_ms": max((each for _, each in ledger.turn_ms), default=0.0),
        **summary.as_data(),
    }
    if json:
        print(orjson.dumps(report).decode())
    else:
        print(f"deployment {deployment}, seed {seed}, {seconds:.0f} s")
        print(f"operations {report['operations']}, faults {report['faults']}")
        print(table(summary))
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
