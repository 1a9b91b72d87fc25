"""What hosts ask of a store that is unavailable, until they notice its return."""

import asyncio

import pytest

from celerypulley.stand_ins.fleet_store import StoreFaults
from tests.fleet import running_fleet
from tests.harness import wait_until

OUTAGE_S = 3.0
# One read each 150 ms to learn that the store is back, and for each of three followers
# two watches before it is known to be unavailable and one each 2 s after that.
MAX_CALLS = OUTAGE_S / 0.15 + 3 * (2 + 2)


@pytest.mark.parametrize(
    "faults", [StoreFaults(error_status=503), StoreFaults(hang=True)]
)
async def test_each_follower_tries_again_on_its_own(faults):
    """Hundreds of hosts would keep a store busy that is about to come back."""
    async with running_fleet() as fleet:
        (host,) = fleet.hosts
        fleet.store.faults = faults
        for key in ("op/other", "members/other", "servers/other"):
            fleet.store.put(key, b"ends the watches that wait")
        before = host.store.calls.total()
        await asyncio.sleep(OUTAGE_S)
        calls = host.store.calls.total() - before
        assert calls <= MAX_CALLS
        fleet.store.faults = StoreFaults()
        followers = (host.desired_state.follower, host.directory.follower)
        await wait_until(lambda: not host.desired_state.confirmer.is_store_unavailable)
        await wait_until(lambda: not any(f.is_store_unavailable for f in followers))
        fleet.store.put("op/config", b"not a desired state")
        assert (await fleet.call("/safe/x")).status == 200
