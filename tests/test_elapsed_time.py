"""Times and ages, whatever the clock of a run starts at."""

import pytest

from celerypulley import elapsed_time
from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.contracts.rates import Share, TokenBucket
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.retry_budget import RetryBudget
from tests.harness import ManualClock


def _refill_bucket(clock: ManualClock) -> None:
    bucket = TokenBucket(clock.now_ms, Share(1.0, 2.0), 1.0)
    clock.advance(-1_000_000.0)
    bucket.refill(clock.now_ms, bucket.share)
    assert bucket.tokens == 1.0


def _retry(clock: ManualClock) -> None:
    budget = RetryBudget(clock.clock)
    clock.advance(-1_000_000.0)
    assert budget.try_acquire()


def _decay_slowdown(clock: ManualClock) -> None:
    server = EngineState("s", "a", "", frozenset())
    server.record_duration(clock.now_ms, 40.0, 20.0, 1.0)
    clock.advance(-1_000_000.0)
    assert server.expected_slowdown(clock.now_ms) == 2.0


def _decay_cache(clock: ManualClock) -> None:
    server = EngineState("s", "a", "", frozenset())
    server.record_cached("p", 10, clock.now_ms)
    clock.advance(-1_000_000.0)
    assert server.estimated_cached_tokens("p", clock.now_ms) == 10.0


def _decay_share(clock: ManualClock) -> None:
    shares = ServiceShares()
    shares.record("o", 2_000.0, clock.now_ms)
    clock.advance(-1_000_000.0)
    assert shares._total.value_at(clock.now_ms) == 2_000.0


@pytest.mark.parametrize(
    "use", [_refill_bucket, _retry, _decay_slowdown, _decay_cache, _decay_share]
)
def test_bucket_or_age_grows_with_negative_time(use, negative_times):
    use(ManualClock())
    assert len(negative_times) == 1
    negative_times.clear()


def test_time_that_goes_backwards_floods_the_log(monkeypatch):
    lines = []
    monkeypatch.undo()  # the fixture that fails tests in place of the log
    monkeypatch.setattr(elapsed_time._log, "write", lambda *line: lines.append(line))
    monkeypatch.setattr(elapsed_time, "_reported_places", set())
    for place in ("a", "b", "a", "a"):
        assert elapsed_ms(2.0, 1.0, place) == 0.0
    assert elapsed_ms(1.0, 2.5, "c") == 1.5
    assert [line[1].partition(":")[0] for line in lines] == ["a", "b"]


def test_new_server_is_backing_off():
    server = EngineState("s", "a", "", frozenset())
    now_ms = ManualClock().now_ms
    assert server.backoff_until_ms <= now_ms
    assert server.expected_slowdown(now_ms) == 1.0
    server.record_unreachable(now_ms)
    assert server.backoff_until_ms > now_ms
    server.record_success()
    assert server.backoff_until_ms <= now_ms


def test_crash_soon_after_a_boot_is_not_announced():
    clock = ManualClock()
    counts = CrashCounts(clock.clock)
    counts.record_crash("f", "server", 1, clock.now_ms, "")
    assert list(counts.to_announce()) == ["f"]
