"""Gossip of hundreds of hosts, over links that drop what they cannot queue."""

import pytest

from celerypulley.contracts.desired_state import OrganisationRule
from tools.emulated_fleet import WINDOW_MS, EmulatedFleet

MAX_BURST_BYTES = 3_750  # what a link of 15 Mbit/s carries in 2 ms
MAX_BYTES_PER_S = 8_192  # control of one host, of which gossip is a part


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


@pytest.mark.parametrize("hosts", [60, 171, 300])
def test_bytes_between_domains_grow_with_the_fleet(hosts):
    """Links between domains are the most expensive part of what control sends."""
    fleet = EmulatedFleet(hosts)
    fleet.run(6_000.0)
    fleet.reset_traffic()
    fleet.run(4_000.0)
    sent = [host.traffic.bytes_between_domains for host in fleet.hosts]
    assert sum(sent) / len(sent) / 4.0 <= MAX_BYTES_PER_S / 4


@pytest.mark.parametrize(("hosts", "cut_share"), [(60, 0.2), (171, 0.2), (171, 0.35)])
def test_cut_hosts_take_others_with_them(hosts, cut_share):
    """Messages that cut hosts should have relayed must come another way."""
    fleet = EmulatedFleet(hosts, has_callers=False)
    fleet.run(8_000.0)
    fleet.cut = set(fleet.draws.sample(list(fleet.addresses), round(cut_share * hosts)))
    rest = [host for host in fleet.hosts if host.name not in fleet.cut]
    fleet.run(8 * rest[0].gossip.period_ms())
    for host in rest:
        unheard = {
            each for each in fleet.addresses if not host.gossip.is_reachable(each)
        }
        assert unheard == fleet.cut
    lone = next(host for host in fleet.hosts if host.name in fleet.cut)
    assert not lone.gossip.has_quorum()


@pytest.mark.parametrize("serving_hosts", [5, 17])
@pytest.mark.parametrize(
    ("hosts", "unheard_ms"), [(17, 0.0), (17, 300.0), (60, 0.0), (60, 800.0)]
)
def test_burst_exceeds_the_rate_if_the_first_messages_were_lost(
    hosts, unheard_ms, serving_hosts
):
    """Hosts start before they know each other, and idle for longer than a window."""
    rule = OrganisationRule(name="org0", rate_per_s=4.0, burst=10.0)
    fleet = EmulatedFleet(
        hosts,
        has_callers=False,
        overloaded=rule,
        serving_hosts=serving_hosts,
        overload=20.0,
    )
    fleet.cut = set(fleet.addresses)
    fleet.run(unheard_ms)
    fleet.cut = set()
    fleet.run(WINDOW_MS + 500.0)
    fleet.has_callers = True
    fleet.run(WINDOW_MS)
    # Rate and burst, with the overrun of 10% and the slack of 20 of the site sheets.
    assert len(fleet.admitted) <= (4.0 * WINDOW_MS / 1000 + 10.0) * 1.1 + 20.0
