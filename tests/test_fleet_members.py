"""Membership while many hosts join, without a call to the store for each of them."""

import asyncio

import pytest

from celerypulley.fleet.fleet_members import HOST, FleetMember, FleetMembers
from tests.harness import run_clock, wait_until
from tests.test_key_value_store import running_client


@pytest.mark.parametrize(("hosts", "max_watches"), [(3, 4), (60, 10), (171, 10)])
async def test_each_host_that_joins_wakes_all_others(hosts, max_watches):
    """Each of n hosts would make n calls while the fleet starts."""
    async with running_client() as (kv, store):
        own_member = FleetMember("host-0", HOST, "a", "127.0.0.1", 1)
        members = FleetMembers(own_member, kv, run_clock())
        await members.follower.start()
        await wait_until(lambda: kv.calls["kv-watch"])
        for number in range(1, hosts):
            joined = FleetMember(f"host-{number}", HOST, "a", "127.0.0.1", number)
            store.put(f"members/{joined.name}", joined.pack())
            await asyncio.sleep(0.005)
        await wait_until(lambda: len(members.addresses) == hosts)
        await members.follower.stop()
        assert kv.calls["kv-watch"] <= max_watches
