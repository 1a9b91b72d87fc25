"""Gossip of hundreds of hosts, over links that drop what they cannot queue."""

import pytest

from tools.emulated_fleet import EmulatedFleet

MAX_BURST_BYTES = 3_750  # what a link of 15 Mbit/s carries in 2 ms


@pytest.mark.parametrize("hosts", [10, 60, 171])
def test_started_hosts_never_hear_each_other(hosts):
    """Messages that list unreachable hosts by name fill the links, and get lost."""
    fleet = EmulatedFleet(hosts, has_callers=False)
    fleet.run(8_000.0)
    assert all(host.gossip.has_quorum() for host in fleet.hosts)
    for host in fleet.hosts:
        unheard = [
            each for each in fleet.addresses if not host.gossip.is_reachable(each)
        ]
        assert unheard == []


@pytest.mark.parametrize("hosts", [10, 60, 171])
def test_message_to_all_hosts_blocks_the_link(hosts):
    fleet = EmulatedFleet(hosts, has_callers=False)
    fleet.run(4_000.0)
    bursts = [host.traffic.max_burst_bytes for host in fleet.hosts]
    assert max(bursts) <= MAX_BURST_BYTES
