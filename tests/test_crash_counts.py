"""Requests that crash servers, while the hosts that saw it restart."""

import itertools

import pytest

from celerypulley.fleet.crash_counts import CrashCounts
from tests.harness import ManualClock

PERIOD_MS = 250.0
LIFE_MS = 600_000.0


def _is_refused(counts: CrashCounts, fingerprint: str = "f") -> bool:
    return counts.find_refusal(fingerprint) is not None


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
        hosts[index].record_crash("f", "server", start, clock.now_ms, "")
        _announce(hosts, clock)
    for index in restarted:
        hosts[index] = CrashCounts(clock.clock)
        _announce(hosts, clock, messages=2)
    assert all(_is_refused(host) for host in hosts)


def test_relayed_crash_is_counted_twice():
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    hosts[0].record_crash("f", "server", 1, clock.now_ms, "")
    hosts[1].record_crash("f", "server", 2, clock.now_ms, "")
    _announce(hosts, clock, messages=5)
    assert [host.count("f") for host in hosts] == [2, 2, 2]
    assert not any(_is_refused(host) for host in hosts)


def test_crash_counts_for_each_host_that_saw_it():
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    for host in hosts:
        for _ in range(2):
            host.record_crash("f", "server", 1, clock.now_ms, "")
    _announce(hosts, clock, messages=5)
    assert [host.count("f") for host in hosts] == [1, 1, 1]


def test_crash_of_a_large_server_pushes_out_the_request_that_matters():
    """A server that crashes counts for every request that was in flight on it."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(2)]
    for start in range(3):
        hosts[0].record_crash("f", "server", start, clock.now_ms, "")
    for number in range(2_000):
        hosts[0].record_crash(f"other-{number}", "server", 2, clock.now_ms, "")
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
            host.record_crash(f"other-{number}", "server", start, clock.now_ms, "")
    other.merge({each: host._rows(c) for each, c in host._crashes.items()})
    clock.advance(age_ms)
    assert len(host.to_announce()) == own
    assert len(other.to_announce()) == relayed


def test_started_host_never_hears_of_older_crashes():
    clock = ManualClock()
    host, started = CrashCounts(clock.clock), CrashCounts(clock.clock)
    for number in range(900):
        host.record_crash(f"other-{number}", "server", 1, clock.now_ms, "")
    clock.advance(60_000.0)
    _announce([host, started], clock, messages=240)
    assert all(started.count(f"other-{number}") == 1 for number in range(900))


@pytest.mark.parametrize(
    "row",
    [
        "text",
        b"abcd",
        7,
        None,
        [],
        ["text", 1, False],
        [b"abc", 1, False],
        [b"abcde", 1, False],
        [b"abcd", -1, False],
        [b"abcd", 1.5, False],
        [b"abcd", None, False],
        [b"abcd", 1, None],
        [b"abcd", 1],
        [b"abcd", 1, False, 1],
    ],
)
def test_mark_of_another_form_is_counted(row):
    counts = CrashCounts(ManualClock().clock)
    with pytest.raises(ValueError, match="mark"):
        counts.merge({"f": [[b"1234", 1, False], row]})
    assert counts.count("f") == 0


@pytest.mark.parametrize("run_on", [0, 1, 2])
@pytest.mark.parametrize("is_counted_late", [False, True])
@pytest.mark.parametrize(
    ("crashes", "begun", "left"),
    [(1, 1, 0), (2, 2, 0), (2, 1, 1), (2, 0, 2), (3, 3, 0), (3, 2, 1), (3, 0, 3)],
)
def test_innocent_request_is_counted_for_good(
    run_on, is_counted_late, crashes, begun, left
):
    """A run that ends well clears the crashes of the `begun` runs begun by then.

    They are cleared on all hosts, also if they are counted only afterwards.
    """
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    began_ms = []

    def count(start: int) -> None:
        hosts[start].record_crash("f", "server", start, began_ms[start], "")
        _announce(hosts, clock)

    for start in range(crashes + 1):
        if start == begun:
            hosts[run_on].record_whole_run("f")
            clock.advance(1.0)
        if start == crashes:
            break
        began_ms.append(clock.now_ms)
        clock.advance(1.0)
        if not is_counted_late:
            count(start)
    if is_counted_late:
        for start in range(crashes):
            count(start)
    _announce(hosts, clock, messages=3)
    assert [host.count("f") for host in hosts] == [left] * 3


def test_run_of_another_request_clears_crashes():
    clock = ManualClock()
    host = CrashCounts(clock.clock)
    host.record_crash("f", "server", 1, clock.now_ms, "")
    clock.advance(1.0)
    host.record_whole_run("other")
    assert host.count("f") == 1


@pytest.mark.parametrize("crashes", [1, 3])
def test_cleared_crash_comes_back_from_a_host_that_missed_it(crashes):
    """The host was cut off, and announces the crash to all others and those started."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    for start in range(crashes):
        hosts[0].record_crash("f", "server", start, clock.now_ms, "")
    _announce(hosts, clock)
    hosts[1].record_whole_run("f")
    _announce(hosts[1:], clock, messages=120)
    assert [host.count("f") for host in hosts] == [crashes, 0, 0]
    hosts.append(CrashCounts(clock.clock))
    _announce(hosts, clock, messages=5)
    assert [host.count("f") for host in hosts] == [0] * 4


def test_clearings_fill_the_memory():
    clock = ManualClock()
    host = CrashCounts(clock.clock)
    for number in range(3_000):
        host.record_crash(f"f-{number % 1_500}", "server", number, clock.now_ms, "")
        host.record_crash("common", "server", number, clock.now_ms, "")
        clock.advance(1.0)
        host.record_whole_run(f"f-{number % 1_500}")
        host.record_whole_run("common")
    assert len(host._crashes) <= 1_024
    assert sum(len(each.marks) for each in host._crashes.values()) <= 2 * 1_024


def test_hosts_tell_each_other_of_old_clearings_without_end():
    """Each host has cleared other crashes of a common request, and they keep a few."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(3)]
    for start in range(12):
        host = hosts[start % 3]
        host.record_crash("f", "server", start, clock.now_ms, "")
        clock.advance(1.0)
        host.record_whole_run("f")
    for _ in range(60):
        clock.advance(PERIOD_MS)
        tables = [host.to_announce() for host in hosts]
        for sender, receiver in itertools.permutations(range(3), 2):
            hosts[receiver].merge(tables[sender])
    assert [host.count("f") for host in hosts] == [0] * 3
    settled_ms = clock.now_ms - 50 * PERIOD_MS
    assert all(host._crashes["f"].changed_ms < settled_ms for host in hosts)


@pytest.mark.parametrize("crash_gaps_ms", [(0.0, 0.0), (1_000.0, 200_000.0)])
def test_request_is_refused_for_good(crash_gaps_ms):
    """Marks end on the host that saw the crashes and on those that heard of them."""
    clock = ManualClock()
    hosts = [CrashCounts(clock.clock) for _ in range(2)]
    first_ms = clock.now_ms
    for start, gap_ms in enumerate((0.0, *crash_gaps_ms)):
        clock.advance(gap_ms)
        hosts[0].record_crash("f", "server", start, clock.now_ms, "")
    _announce(hosts, clock, messages=3)
    clock.advance(first_ms + LIFE_MS - clock.now_ms - 62_000.0)
    hosts.append(CrashCounts(clock.clock))
    _announce(hosts, clock, messages=3)
    late_tables = [host.to_announce() for host in hosts]
    clock.advance(first_ms + LIFE_MS - clock.now_ms - 10_000.0)
    hosts.append(CrashCounts(clock.clock))
    for table in late_tables:
        for host in hosts:
            host.merge(table)
    clock.advance(9_990.0)
    assert all(_is_refused(host) for host in hosts)
    clock.advance(10.0)
    for _ in range(3):
        assert not any(_is_refused(host) for host in hosts[:3])
        _announce(hosts, clock)
    clock.advance(sum(crash_gaps_ms) + 62_000.0)
    _announce(hosts, clock, messages=3)
    assert all(host._crashes == {} for host in hosts)
