"""The soak test: real processes under load and a seeded schedule of faults.

It ends with a summary of the measures and of the promises that were checked.
"""

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
from celerypulley.stand_ins.invalid_responses import INVALID_RESPONSES
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
    "invalid responses",
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
    """One fault of the schedule.

    `target_draw` is a random number from 0 to 1 that selects the target when the
    fault starts.
    """

    kind: str
    starts_s: float
    duration_s: float
    target_draw: float


def plan_faults(
    seed: int, seconds: float, kinds: tuple[str, ...] = _FAULT_KINDS
) -> list[PlannedFault]:
    """Return the faults of a run; each kind occurs once before any occurs again."""
    rng = random.Random(seed)
    planned = []
    at_s = _FIRST_FAULT_S
    remaining_kinds: list[str] = []
    while at_s < seconds:
        if not remaining_kinds:
            remaining_kinds = list(kinds)
            rng.shuffle(remaining_kinds)
            if not planned:
                # Short runs have versions to check, too.
                remaining_kinds.sort(key=lambda kind: kind == "operators race")
        planned.append(
            PlannedFault(
                remaining_kinds.pop(),
                at_s,
                rng.uniform(*_FAULT_DURATION_S),
                rng.random(),
            )
        )
        at_s += rng.uniform(*_FAULT_INTERVAL_S)
    return planned


class Soak:
    """One run: the cluster, its load, its faults and the observed versions."""

    def __init__(
        self, cluster: Cluster, seed: int, greedy_organisation: str = ""
    ) -> None:
        """Run on `cluster`; `greedy_organisation` sends above its rate limit.

        With a greedy organisation no host is frozen, since the calls of a frozen host
        reach the stand-in long after the meter admitted them, which would fail the
        check of the rate.
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
        """Run load and faults; return the ledger of the callers and the summary."""
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
        version_watch = asyncio.create_task(self._watch_versions())
        faults = asyncio.create_task(self._run_faults(seconds))
        greedy = asyncio.create_task(self._send_above_rate(seconds))
        await run_on_cluster(cluster, planned, ledger, show_progress=False)
        await faults
        await greedy
        await asyncio.sleep(_SETTLE_S)
        version_watch.cancel()
        summary = await check_promises(cluster, ledger)
        checks = [
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
            checks.append(await self._check_rate())
        return ledger, attrs.evolve(summary, checks=[*summary.checks, *checks])

    async def _run_faults(self, seconds: float) -> None:
        begun_ms = self.clock.now_ms()
        tasks = []
        for fault in plan_faults(self.seed, seconds, self.fault_kinds):
            wait_s = fault.starts_s - (self.clock.now_ms() - begun_ms) / 1_000
            await asyncio.sleep(max(0.0, wait_s))
            tasks.append(asyncio.create_task(self._inject_fault(fault)))
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
        assert session is not None, "the cluster has not been started"
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
        arrivals_ms: dict[str, list[float]] = {}
        for process in self.cluster.plain_services:
            arrivals_ms.update(
                await self.cluster.read_json(process.address, "/arrivals")
            )
        limits = Configuration(1, self.cluster.declaration, ()).organisation_limits(
            self.greedy_organisation
        )
        rates = {self.greedy_organisation: (limits.rate_per_s, float(limits.burst))}
        return check_rate(arrivals_ms, rates, _GREEDY_MAX_DELAY_MS)

    async def _inject_fault(self, fault: PlannedFault) -> None:
        actions = {
            "kill host": self._kill_host,
            "freeze host": self._freeze_host,
            "cut domain": self._cut_domain,
            "cut host from platform": self._cut_from_platform,
            "platform outage": self._platform_outage,
            "platform slow": self._platform_slow,
            "platform loses answers": self._platform_loses_responses,
            "kill engine": self._kill_engine,
            "leaving engine": self._mark_engine_leaving,
            "invalid responses": self._send_invalid_responses,
            "restart host gracefully": self._restart_host,
            "operators race": self._change_keys_concurrently,
        }
        try:
            await actions[fault.kind](fault)
            self.fault_counts[fault.kind] += 1
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            print(f"fault {fault.kind} failed to complete: {error!r}", file=sys.stderr)

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
        targets = {*domains, "platform"} - {domain}
        hosts = [host for host in self.cluster.hosts if host.domain == domain]
        for host in hosts:
            await self._add_cut(host, targets)
        await asyncio.sleep(fault.duration_s)
        for host in hosts:
            await self._remove_cut(host, targets)

    async def _cut_from_platform(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        await self._add_cut(host, {"platform"})
        await asyncio.sleep(fault.duration_s)
        await self._remove_cut(host, {"platform"})

    async def _add_cut(self, host: Process, names: set[str]) -> None:
        if not host.is_running:
            return
        cuts = self._active_cuts.setdefault(host.name, set())
        cuts |= names
        await self.cluster.set_cuts(host, sorted(cuts))

    async def _remove_cut(self, host: Process, names: set[str]) -> None:
        cuts = self._active_cuts.get(host.name)
        if cuts is None:
            return
        cuts -= names
        for _ in range(40):
            try:
                if host.is_running:
                    await self.cluster.set_cuts(host, sorted(cuts))
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

    async def _send_invalid_responses(self, fault: PlannedFault) -> None:
        """Let a plain service run its operations and send invalid responses."""
        service = self._pick_running(self.cluster.plain_services, fault.target_draw)
        names = list(INVALID_RESPONSES)
        name = names[int(fault.target_draw * len(names)) % len(names)]
        await self._set_service_faults(service, {"invalid_response": name})
        await asyncio.sleep(fault.duration_s)
        await self._set_service_faults(service, {})

    async def _set_service_faults(self, service: Process, faults: dict) -> None:
        session = self.cluster.session
        assert session is not None, "the cluster has not been started"
        url = f"http://{service.address}/faults"
        async with session.post(url, json=faults) as response:
            response.raise_for_status()

    async def _restart_host(self, fault: PlannedFault) -> None:
        host = self._pick_running(self.cluster.hosts, fault.target_draw)
        self.cluster.terminate(host)
        assert host.popen is not None, "the process has not been started"
        for _ in range(400):
            if host.popen.poll() is not None:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.cluster.launch(host)

    async def _change_keys_concurrently(self, fault: PlannedFault) -> None:
        """Let ten operators change keys at once; no two may get the same version."""
        store = self.cluster.configuration_store()
        names = [each.name for each in self.cluster.declaration.organisations]

        async def change(number: int) -> int | None:
            try:
                lines = await commands.give_key(store, names[number % len(names)])
            except (ChangeRefusedError, PlatformUnavailableError, OSError):
                return None
            return int(lines[0].split()[1])

        results = await asyncio.gather(*(change(number) for number in range(10)))
        versions = [version for version in results if version is not None]
        self.concurrent_changes += len(versions)
        if len(set(versions)) != len(versions):
            self.duplicate_versions.append(
                f"two operators created the same version: {versions}"
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
                f"{member} reverted from {self.host_versions[member]} to {version}"
            )
        self.host_versions[member] = version

    async def _check_newest_version(self) -> Check:
        newest = await self.cluster.configuration_store().newest()
        assert newest is not None, "no declaration has been applied"
        outdated = []
        for host in self.cluster.hosts:
            status = await self.cluster.read_json(host.admin_address, "/status")
            if status.get("configuration_version") != newest.head.version:
                outdated.append(f"{host.name}: {status.get('configuration_version')}")
        return Check(
            "newest version in force", len(self.cluster.hosts), tuple(outdated)
        )

    async def _check_engine_memory(self) -> Check:
        """Check that no engine holds cache, since all programs are closed."""
        leftovers = []
        cases = 0
        for engine in self.cluster.engines:
            sessions = await self.cluster.read_json(engine.address, "/sessions")
            cases += 1
            for name in sessions:
                if name:
                    leftovers.append(f"{engine.name} holds {name}")
        return Check("no engine memory held", cases, tuple(leftovers))


def soak(
    deployment: str = "aguapunto",
    seed: int = 1,
    seconds: float = 60.0,
    programs_per_s: float = 3.0,
    json: bool = False,
    keep: str = "",
    greedy: str = "",
) -> None:
    """Run the soak test; exit with status 0 if every promise held, else with 1.

    `keep` is a folder for the logs and the history of the run; `greedy` names an
    organisation that sends requests at five times its rate limit.
    """
    logging.set_verbosity(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="celerypulley-soak-") as temporary:
        folder = Path(keep or temporary)
        options = ClusterOptions(deployment=DEPLOYMENTS[deployment], folder=folder)
        cluster = Cluster(options)
        run = Soak(cluster, seed, greedy)

        async def run_and_stop() -> tuple[Ledger, Summary]:
            try:
                return await run.run(seconds, programs_per_s)
            finally:
                await cluster.stop()

        ledger, summary = asyncio.run(run_and_stop())
        ledger.save(folder / "history.jsonl")
    violations = sum(len(check.broken) for check in summary.checks)
    unproved = summary.unproved_promises()
    report = {
        "deployment": deployment,
        "seed": seed,
        "seconds": seconds,
        "operations": len(ledger.operations),
        "faults": dict(sorted(run.fault_counts.items())),
        "violations": violations,
        "unproved": unproved,
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
        print(f"violations {violations}, promises not proved {unproved or 'none'}")
    sys.stdout.flush()
    os._exit(1 if unproved else 0)


def main() -> None:
    """Run the command line of the soak."""
    fire.Fire(soak)


if __name__ == "__main__":
    main()
