"""Gossip of hundreds of hosts, over links that drop what they cannot queue."""

import pytest

from tools.emulated_fleet import EmulatedFleet


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
