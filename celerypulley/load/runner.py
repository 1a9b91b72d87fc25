"""Run planned programs against hosts; save and load plans."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import cattrs
import orjson

from celerypulley.clock import Clock
from celerypulley.load.client import Balancer, ProgramClient
from celerypulley.load.ledger import Ledger
from celerypulley.load.workload import PlannedProgram

__all__ = ["load_plan", "run_programs", "save_plan"]

_DRAIN_TIMEOUT_S = 90.0


async def run_programs(
    planned: Sequence[PlannedProgram],
    keys: Mapping[str, str],
    balancer: Balancer,
    ledger: Ledger,
    order_path: str,
    on_program_end: Callable[[], object],
) -> None:
    """Start each program at its planned time and wait until all have ended.

    `keys` gives a key for each organisation; `on_program_end` is called once for each
    program. A program that has not ended within 90 s after the last start is cancelled
    and counts as unfinished.
    """
    clock = Clock()
    begun_ms = clock.now_ms()

    async def run_program(plan: PlannedProgram) -> None:
        key = keys[plan.organisation]
        client = ProgramClient(plan, key, balancer, ledger, clock, order_path)
        try:
            await client.run()
        finally:
            on_program_end()

    tasks = []
    for plan in planned:
        wait_ms = begun_ms + plan.starts_ms - clock.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1_000)
        tasks.append(asyncio.create_task(run_program(plan)))
    if not tasks:
        return
    done, unfinished = await asyncio.wait(tasks, timeout=_DRAIN_TIMEOUT_S)
    for task in unfinished:
        task.cancel()
        ledger.unfinished_programs += 1
    for task in done:
        task.result()


def save_plan(planned: Sequence[PlannedProgram], path: Path) -> None:
    """Write planned programs to a JSON file."""
    path.write_bytes(orjson.dumps(cattrs.unstructure(planned)))


def load_plan(path: Path) -> list[PlannedProgram]:
    """Return the planned programs stored in a JSON file."""
    return cattrs.structure(orjson.loads(path.read_bytes()), list[PlannedProgram])
