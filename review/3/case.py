"""Turns stored while a storage host is replaced as planned are left with one copy."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from harness import ZONES, Deployment, is_trouble, run_case  # noqa: E402

_EDGES_PER_ZONE = 2
_TURNS = 40
_STARTED_S = 3.0
# The bounds of the sheet: the core is stable `contactMs` after the removal, and the
# successor, which started long before, has had `catchUpS` again.
_CONTACT_S = 3.0
_CATCH_UP_S = 4.5
_LEASE_S = 21.0


async def play(deployment: Deployment) -> str:
    """Return how the rule LOST was broken, or an empty text."""
    edges = await deployment.start_all(_EDGES_PER_ZONE)
    if is_trouble():
        await deployment.start_process("store-zone-a-new", "store", ZONES[0], False)
    await asyncio.sleep(_STARTED_S)
    kept = await deployment.first_turns(edges[:4], _TURNS)
    if is_trouble():
        await deployment.terminate("store-zone-a", lose_disk=True)
        # So long that also the lease of the removed process has ended.
        await asyncio.sleep(max(_LEASE_S, _CONTACT_S + _CATCH_UP_S))
    # Within the tolerance: one disk, after the successor has had its time.
    await deployment.kill("store-zone-b", lose_disk=True)
    await asyncio.sleep(1)
    await deployment.start_process("store-zone-b", "store", ZONES[1], False)
    await asyncio.sleep(_CONTACT_S + _CATCH_UP_S)
    return await deployment.check_kept(kept, edges[4:])


if __name__ == "__main__":
    run_case(FOLDER, play)
