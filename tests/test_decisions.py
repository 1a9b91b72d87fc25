"""Decisions: placement of shards and choice of engines, as tables."""

import pytest

from celerypulley.backend_servers.engine_state import (
    EngineReport,
    EngineState,
    ServerState,
)
from celerypulley.backend_servers.routing import (
    EngineCall,
    choose_engine,
    expected_finish_ms,
    expected_wait_ms,
)
from celerypulley.contracts.declaration import Policy
from celerypulley.failure_domains.member import Member
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.failure_domains.placement import (
    choose_move,
    choose_replica,
    takeover_candidates,
)
from celerypulley.hosts.retry_budget import RetryBudget
from celerypulley.programs.identifier import ProgramId, ShardId, shard_of_key
from celerypulley.settings import Address
from tests.harness import ManualClock

ADDRESS = Address("127.0.0.1", 1)


def members(*names: str) -> dict[str, Member]:
    """Return members by name; `a1` stands in domain a, a `!` marks one that leaves."""
    made = {}
    for text in names:
        name = text.rstrip("!")
        leaving = text.endswith("!")
        made[name] = Member(name, name[0], ADDRESS, ADDRESS, leaving)
    return made


REPLICAS = [
    ("another domain", ["a1", "a2", "b1"], set(), False, "b1"),
    ("same domain if no other", ["a1", "a2"], set(), False, "a2"),
    ("not one that leaves", ["a1", "a2", "b1!"], set(), False, "a2"),
    ("not a suspect", ["a1", "b1", "c1"], {"b1"}, False, "c1"),
    ("nobody else", ["a1"], set(), False, None),
    ("local stays near", ["a1", "a2", "b1"], set(), True, "a2"),
    ("local goes far if it must", ["a1", "b1"], set(), True, "b1"),
]


@pytest.mark.parametrize(("name", "hosts", "suspects", "local", "chosen"), REPLICAS)
def test_replica(
    name: str, hosts: list[str], suspects: set, local: bool, chosen: str | None
) -> None:
    known = members(*hosts)
    found = choose_replica(ShardId("a", 0), known["a1"], known, suspects, local)
    assert (found.name if found else None) == chosen


CANDIDATES = [
    (["a1", "b1"], False, ["a1"]),
    (["a1!", "b1"], False, ["b1"]),
    (["b1", "b2"], False, ["b1", "b2"]),
    (["b1"], True, []),
]


@pytest.mark.parametrize(("hosts", "local", "names"), CANDIDATES)
def test_takeover_candidates(hosts: list[str], local: bool, names: list[str]) -> None:
    assert takeover_candidates(ShardId("a", 0), members(*hosts), local) == names


MOVES = [
    ("balanced", ["a1", "a2"], ["a1", "a2"], None),
    ("one more is no reason", ["a1", "a2"], ["a1", "a1", "a2"], None),
    ("two more is", ["a1", "a2"], ["a1", "a1"], "a2"),
    ("home again", ["b1", "a1"], ["b1"], "a1"),
    ("home has only leaving hosts", ["b1", "a1!"], ["b1"], None),
]


@pytest.mark.parametrize(("name", "hosts", "owners", "to"), MOVES)
def test_move(name: str, hosts: list[str], owners: list[str], to: str | None) -> None:
    known = members(*hosts)
    entries = {
        ShardId("a", number): ShardEntry(owner, None, 1)
        for number, owner in enumerate(owners)
    }
    move = choose_move(known[hosts[0]], known, entries)
    assert (move.new_owner if move else None) == to


def engine(name: str, **fields: object) -> EngineState:
    report = fields.pop("report", EngineReport(0.0))
    made = EngineState(name, "a", "", frozenset({"m"}), **fields)
    made.report = report
    return made


def engine_call(**fields: object) -> EngineCall:
    base = {
        "program": "p",
        "model": "m",
        "prompt_tokens": 10_000,
        "expected_tokens": 100,
        "domain": "a",
        "now_ms": 1_000.0,
    }
    return EngineCall(**{**base, **fields})


def busy(running: int, prefill_tokens: int = 0) -> EngineReport:
    return EngineReport(0.0, running=running, prefill_tokens=prefill_tokens)


def with_cache(name: str, tokens: int, **fields: object) -> EngineState:
    made = engine(name, **fields)
    made.record_cached("p", tokens, 1_000.0)
    return made


ROUTING = [
    ("idle before busy", [engine("e1", report=busy(200)), engine("e2")], "e2"),
    ("cache before idle", [with_cache("e1", 9_000), engine("e2")], "e1"),
    (
        "not where the wait costs more than the cache saves",
        [with_cache("e1", 9_000, report=busy(0, 90_000)), engine("e2")],
        "e2",
    ),
    (
        "not one that leaves",
        [with_cache("e1", 9_000, state=ServerState.LEAVING), engine("e2")],
        "e2",
    ),
    (
        "not one that just failed",
        [with_cache("e1", 9_000, backoff_until_ms=2_000.0), engine("e2")],
        "e2",
    ),
    ("none is left", [engine("e1", state=ServerState.LEAVING)], None),
]


@pytest.mark.parametrize(("name", "engines", "chosen"), ROUTING)
def test_engine(name: str, engines: list[EngineState], chosen: str | None) -> None:
    choice = choose_engine(Policy.EXPECTED_FINISH, engine_call(), engines)
    assert (choice.engine.name if choice else None) == chosen


def test_sent_calls_count_until_a_report_includes_them() -> None:
    one = engine("e1")
    before_ms = expected_finish_ms(engine_call(), one)
    one.record_send(900.0, 14_000.0)
    assert expected_finish_ms(engine_call(), one) > before_ms + 900
    one.apply_report(EngineReport(taken_ms=800.0))
    assert len(one.unreported_calls) == 1
    one.apply_report(EngineReport(taken_ms=950.0))
    assert not one.unreported_calls


WAITS = [
    (busy(0), 0.0),
    (busy(10, 14_000), 1_000.0),
    (busy(256, 28_000), 2_000.0),
    (busy(512), (18.0 + 0.12 * 256) * 100),
]


@pytest.mark.parametrize(("report", "wait_ms"), WAITS)
def test_expected_wait(report: EngineReport, wait_ms: float) -> None:
    one = engine("e1", report=report)
    assert expected_wait_ms(engine_call(), one) == pytest.approx(wait_ms)


def test_cache_estimate_decays_and_follows_evictions() -> None:
    one = with_cache("e1", 9_000)
    assert one.estimated_cached_tokens("p", 1_000.0) == 9_000
    assert one.estimated_cached_tokens("p", 121_000.0) == pytest.approx(4_500)
    one.record_evicted("p", 4_000)
    assert one.estimated_cached_tokens("p", 1_000.0) == 5_000
    one.record_evicted("p", 5_000)
    assert one.estimated_cached_tokens("p", 1_000.0) == 0


@pytest.mark.parametrize("policy", list(Policy))
def test_every_policy_spreads_different_programs(policy: Policy) -> None:
    engines = [engine(f"e{number}") for number in range(4)]
    chosen = set()
    for number in range(40):
        call = engine_call(program=f"p{number}", round_robin_index=number)
        choice = choose_engine(policy, call, engines)
        choice.engine.record_send(1_000.0, 10_000.0)
        chosen.add(choice.engine.name)
    assert len(chosen) == 4


def test_retries_are_a_bounded_share_of_requests() -> None:
    time = ManualClock()
    budget = RetryBudget(time.clock)
    retries = 0
    for _ in range(1_000):
        budget.record_request()
        retries += budget.try_acquire()
    assert 100 <= retries <= 106


def test_identifiers_contain_their_shard() -> None:
    name = ProgramId.new(ShardId("centro-a", 7), 3)
    assert ProgramId.parse(str(name)) == name
    for text in ("", "a.b.c.d", "a.1.1.xyz", "A.1.1.0123456789abcdef", "a/../b"):
        with pytest.raises(ValueError, match="not a program identifier"):
            ProgramId.parse(text)
    spread = {shard_of_key(f"k{n}", ("a", "b"), 8) for n in range(500)}
    assert len(spread) == 16
