"""After a storage host was replaced, the loss of one disk loses turns."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from harness import ZONES, Deployment, is_trouble, run_case  # noqa: E402

_EDGES_PER_ZONE = 2
_TURNS = 40
# The bounds of the sheet: the core is stable `contactMs` after the replacement, and
# the successor counts as lost for `catchUpS` from then on.
_CONTACT_S = 3.0
_CATCH_UP_S = 4.5
_MARGIN_S = 2.5
_LEASES_ENDED_S = 28.0


async def play(deployment: Deployment) -> str:
    """Return how the rule LOST was broken, or an empty text."""
    edges = await deployment.start_all(_EDGES_PER_ZONE)
    kept = await deployment.first_turns(edges[:4], _TURNS)
    if is_trouble():
        await deployment.kill("store-zone-a", lose_disk=True)
        await asyncio.sleep(1)
        await deployment.start_process("store-zone-a-new", "store", ZONES[0], False)
        await asyncio.sleep(_CONTACT_S + _CATCH_UP_S + _MARGIN_S)
    # Within the tolerance: one disk, after the successor has had its time.
    await deployment.kill("store-zone-b", lose_disk=True)
    await asyncio.sleep(1)
    await deployment.start_process("store-zone-b", "store", ZONES[1], False)
    await asyncio.sleep(_LEASES_ENDED_S)
    return await deployment.check_kept(kept, edges[4:])


if __name__ == "__main__":
    run_case(FOLDER, play)
