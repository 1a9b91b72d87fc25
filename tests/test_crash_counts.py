"""Requests that crash servers, while the hosts that saw it restart."""

import pytest

from celerypulley.errors import CallRefusedError
from celerypulley.fleet.crash_counts import CrashCounts
from tests.harness import ManualClock

PERIOD_MS = 250.0


def _is_refused(counts: CrashCounts, fingerprint: str = "f") -> bool:
    try:
        counts.check(fingerprint)
    except CallRefusedError:
        return True
    return False


def _announce(hosts: list[CrashCounts], clock: ManualClock, messages: int = 1) -> None:
    for _ in range(messages):
        clock.advance(PERIOD_MS)
        for host in hosts:
            table = host.to_announce()
            for other in hosts:
                if other is not host:
                    other.merge(table)


@pytest.mark.parametrize("crashes_seen_by", [(0, 0, 0), (0, 1, 2), (0, 0, 1)])
@pytest.mark.parametrize("restarted", [(0,), (0, 1), (2, 1, 0)])
def test_crashes_are_forgotten_with_the_host_that_saw_them(crashes_seen_by, restarted):
    """Hosts restart one after the other, and the last one to know tells the next."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    for start, index in enumerate(crashes_seen_by):
        hosts[index].record_crash("f", "server", start, "")
        _announce(hosts, clock)
    for index in restarted:
        hosts[index] = CrashCounts(clock.clock)
        _announce(hosts, clock, messages=2)
    assert all(_is_refused(host) for host in hosts)


def test_relayed_crash_is_counted_twice():
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    hosts[0].record_crash("f", "server", 1, "")
    hosts[1].record_crash("f", "server", 2, "")
    _announce(hosts, clock, messages=5)
    assert [host.count("f") for host in hosts] == [2, 2, 2]
    assert not any(_is_refused(host) for host in hosts)


def test_crash_counts_for_each_host_that_saw_it():
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    for host in hosts:
        for _ in range(2):
            host.record_crash("f", "server", 1, "")
    _announce(hosts, clock, messages=5)
    assert [host.count("f") for host in hosts] == [1, 1, 1]


def test_crash_of_a_large_server_pushes_out_the_request_that_matters():
    """A server that crashes counts for every request that was in flight on it."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(2)]
    for start in range(3):
        hosts[0].record_crash("f", "server", start, "")
    for number in range(2_000):
        hosts[0].record_crash(f"other-{number}", "server", 2, "")
    _announce(hosts, clock)
    assert all(_is_refused(host) for host in hosts)


@pytest.mark.parametrize(
    ("crashes", "age_ms", "own", "relayed"),
    [(1, 0.0, 16, 0), (1, 60_000.0, 4, 0), (2, 0.0, 16, 16), (2, 60_000.0, 4, 4)],
)
def test_messages_grow_with_all_crashes_ever_seen(crashes, age_ms, own, relayed):
    """Hosts that only heard of a crash relay it if its request crashed two servers."""
    clock = ManualClock()
    host, other = CrashCounts(clock.clock), CrashCounts(clock.clock)
    for number in range(900):
        for start in range(crashes):
            host.record_crash(f"other-{number}", "server", start, "")
    other.merge({each: sorted(c.marks) for each, c in host._crashes.items()})
    clock.advance(age_ms)
    assert len(host.to_announce()) == own
    assert len(other.to_announce()) == relayed


def test_started_host_never_hears_of_older_crashes():
    clock = ManualClock()
    host, started = CrashCounts(clock.clock), CrashCounts(clock.clock)
    for number in range(900):
        host.record_crash(f"other-{number}", "server", 1, "")
    clock.advance(60_000.0)
    _announce([host, started], clock, messages=240)
    assert all(started.count(f"other-{number}") == 1 for number in range(900))


@pytest.mark.parametrize("marks", [["text"], [b"abc"], [b"abcde"], [7], [None]])
def test_mark_of_another_form_is_counted(marks):
    counts = CrashCounts(ManualClock().clock)
    with pytest.raises(ValueError, match="marks"):
        counts.merge({"f": marks})
    assert counts.count("f") == 0
