"""The demo: a complete deployment on the loopback interface, under load.

It ends with a summary of the measures and of the promises that were checked.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

import fire
import orjson
from absl import logging
from tqdm import tqdm

from celerypulley.load.checks import check_headers, check_history, check_orders
from celerypulley.load.client import Balancer
from celerypulley.load.ledger import Ledger
from celerypulley.load.runner import run_programs
from celerypulley.load.summary import Summary, format_summary, summarize
from celerypulley.load.workload import MIXES, PlannedProgram, plan_programs
from tools.cluster import DEPLOYMENTS, Cluster, ClusterOptions

__all__ = ["check_promises", "main", "run_on_cluster"]


async def run_on_cluster(
    cluster: Cluster, planned: list[PlannedProgram], ledger: Ledger, show_progress: bool
) -> None:
    """Run planned programs on the hosts of a cluster."""
    assert cluster.session is not None, "the cluster has not been started"
    balancer = Balancer(cluster.caller_addresses(), cluster.session, seed=1)
    order_path = cluster.options.deployment.order_path
    with tqdm(total=len(planned), unit="program", disable=not show_progress) as bar:
        await run_programs(
            planned, cluster.keys, balancer, ledger, order_path, bar.update
        )


async def check_promises(cluster: Cluster, ledger: Ledger) -> Summary:
    """Read the counts of the stand-ins, check the promises and return the summary."""
    runs: dict[str, int] = {}
    header_names: set[str] = set()
    counts = []
    for process in cluster.plain_services:
        report = await cluster.read_json(process.address, "/counts")
        runs.update(report.get("runs", {}))
        header_names.update(report.get("headers", []))
    for process in cluster.engines:
        report = await cluster.read_json(process.address, "/counts")
        if report:
            counts.append(report)
            header_names.update(report["headers"])
    checks = [
        *check_history(ledger),
        *check_orders(ledger, runs),
        check_headers(header_names),
    ]
    return summarize(ledger, checks, counts)


async def run_demo(
    deployment: str,
    seed: int,
    seconds: float,
    programs_per_s: float,
    show_progress: bool,
) -> Summary:
    """Start a deployment, run seeded programs on it and return the summary."""
    with tempfile.TemporaryDirectory(prefix="celerypulley-demo-") as folder:
        options = ClusterOptions(
            deployment=DEPLOYMENTS[deployment], folder=Path(folder)
        )
        cluster = Cluster(options)
        try:
            await cluster.start()
            declaration = cluster.declaration
            models = sorted({m for route in declaration.routes for m in route.models})
            planned = plan_programs(
                MIXES[deployment],
                seed,
                [each.name for each in declaration.organisations],
                models,
                programs_per_s,
                seconds * 1_000,
            )
            ledger = Ledger()
            await run_on_cluster(cluster, planned, ledger, show_progress)
            return await check_promises(cluster, ledger)
        finally:
            await cluster.stop()


def demo(
    deployment: str = "aguapunto",
    seed: int = 1,
    seconds: float = 20.0,
    programs_per_s: float = 4.0,
    json: bool = False,
) -> None:
    """Run the demo; exit with status 0 if every promise held, else with 1."""
    logging.set_verbosity(logging.WARNING)
    show_progress = sys.stderr.isatty() and not json
    summary = asyncio.run(
        run_demo(deployment, seed, seconds, programs_per_s, show_progress)
    )
    if json:
        print(orjson.dumps(summary.as_data()).decode())
    else:
        print(f"deployment {deployment}, seed {seed}")
        print(format_summary(summary))
    sys.stdout.flush()
    os._exit(0 if summary.holds() else 1)


def main() -> None:
    """Run the command line of the demo."""
    fire.Fire(demo)


if __name__ == "__main__":
    main()
