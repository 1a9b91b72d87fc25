"""The `load` command: seeded traffic with bounded rate and time for running hosts."""

import asyncio
from pathlib import Path

import aiohttp
from tqdm import tqdm

from celerypulley.load.checks import check_history
from celerypulley.load.client import Balancer
from celerypulley.load.ledger import Ledger
from celerypulley.load.runner import load_plan, run_programs, save_plan
from celerypulley.load.summary import format_summary, summarize
from celerypulley.load.workload import MIXES, PlannedProgram, plan_programs

__all__ = ["run_load"]

_MAX_SECONDS = 3_600.0
_MAX_PROGRAMS_PER_S = 1_000.0


def _load_or_plan(
    replay: str,
    mix: str,
    seed: int,
    organisations: list[str],
    model: str,
    programs_per_s: float,
    seconds: float,
) -> list[PlannedProgram]:
    if replay:
        return load_plan(Path(replay))
    return plan_programs(
        MIXES[mix],
        seed,
        organisations,
        [model],
        min(programs_per_s, _MAX_PROGRAMS_PER_S),
        min(seconds, _MAX_SECONDS) * 1_000,
    )


def run_load(
    hosts: list[str],
    keys: dict[str, str],
    model: str,
    order_path: str,
    mix: str,
    seed: int,
    programs_per_s: float,
    seconds: float,
    record: str,
    replay: str,
) -> tuple[str, bool]:
    """Run the load; return its summary as text and whether every promise held.

    `keys` gives a key for each organisation. `record` names a file to which the
    planned programs are written, `replay` one from which they are read; both may be
    empty.
    """
    planned = _load_or_plan(
        replay, mix, seed, sorted(keys), model, programs_per_s, seconds
    )
    if record:
        save_plan(planned, Path(record))
    ledger = Ledger()

    async def run() -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            balancer = Balancer(hosts, session, seed)
            with tqdm(total=len(planned), unit="program", disable=None) as bar:
                await run_programs(
                    planned, keys, balancer, ledger, order_path, bar.update
                )

    asyncio.run(run())
    summary = summarize(ledger, check_history(ledger), [])
    return format_summary(summary), summary.holds()
