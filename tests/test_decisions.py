"""Decisions: placement of shards, choice of engines, retries and identifiers."""

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
    """Return members by name; `a1` is in domain a, and `a1!` is leaving."""
    members_by_name = {}
    for text in names:
        name = text.rstrip("!")
        leaving = text.endswith("!")
        members_by_name[name] = Member(name, name[0], ADDRESS, ADDRESS, leaving)
    return members_by_name


REPLICAS = [
    ("another domain", ["a1", "a2", "b1"], set(), False, "b1"),
    ("same domain if no other", ["a1", "a2"], set(), False, "a2"),
    ("no leaving member", ["a1", "a2", "b1!"], set(), False, "a2"),
    ("no suspected member", ["a1", "b1", "c1"], {"b1"}, False, "c1"),
    ("no other member", ["a1"], set(), False, None),
    ("local: same domain first", ["a1", "a2", "b1"], set(), True, "a2"),
    ("local: another domain if no other", ["a1", "b1"], set(), True, "b1"),
]


@pytest.mark.parametrize(("name", "hosts", "suspects", "local", "chosen"), REPLICAS)
def test_replica(
    name: str, hosts: list[str], suspects: set, local: bool, chosen: str | None
) -> None:
    members_by_name = members(*hosts)
    replica = choose_replica(
        ShardId("a", 0), members_by_name["a1"], members_by_name, suspects, local
    )
    assert (replica.name if replica else None) == chosen


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
    ("difference of one is kept", ["a1", "a2"], ["a1", "a1", "a2"], None),
    ("difference of two is moved", ["a1", "a2"], ["a1", "a1"], "a2"),
    ("back to its own domain", ["b1", "a1"], ["b1"], "a1"),
    ("own domain has only leaving hosts", ["b1", "a1!"], ["b1"], None),
]


@pytest.mark.parametrize(("name", "hosts", "owners", "new_owner"), MOVES)
def test_move(
    name: str, hosts: list[str], owners: list[str], new_owner: str | None
) -> None:
    members_by_name = members(*hosts)
    entries = {
        ShardId("a", number): ShardEntry(owner, None, 1)
        for number, owner in enumerate(owners)
    }
    move = choose_move(members_by_name[hosts[0]], members_by_name, entries)
    assert (move.new_owner if move else None) == new_owner


def engine(name: str, **fields: object) -> EngineState:
    report = fields.pop("report", EngineReport(0.0))
    state = EngineState(name, "a", "", frozenset({"m"}), **fields)
    state.report = report
    return state


def engine_call(**fields: object) -> EngineCall:
    defaults = {
        "program": "p",
        "model": "m",
        "prompt_tokens": 10_000,
        "expected_tokens": 100,
        "domain": "a",
        "now_ms": 1_000.0,
    }
    return EngineCall(**{**defaults, **fields})


def busy(running: int, prefill_tokens: int = 0) -> EngineReport:
    return EngineReport(0.0, running=running, prefill_tokens=prefill_tokens)


def with_cache(name: str, tokens: int, **fields: object) -> EngineState:
    state = engine(name, **fields)
    state.record_cached("p", tokens, 1_000.0)
    return state


ROUTING = [
    ("idle before busy", [engine("e1", report=busy(200)), engine("e2")], "e2"),
    ("cache before idle", [with_cache("e1", 9_000), engine("e2")], "e1"),
    (
        "no cache if the wait costs more than it saves",
        [with_cache("e1", 9_000, report=busy(0, 90_000)), engine("e2")],
        "e2",
    ),
    (
        "no leaving engine",
        [with_cache("e1", 9_000, state=ServerState.LEAVING), engine("e2")],
        "e2",
    ),
    (
        "no engine in backoff",
        [with_cache("e1", 9_000, backoff_until_ms=2_000.0), engine("e2")],
        "e2",
    ),
    ("no engine left", [engine("e1", state=ServerState.LEAVING)], None),
]


@pytest.mark.parametrize(("name", "engines", "chosen"), ROUTING)
def test_engine(name: str, engines: list[EngineState], chosen: str | None) -> None:
    choice = choose_engine(Policy.EXPECTED_FINISH, engine_call(), engines)
    assert (choice.engine.name if choice else None) == chosen


def test_sent_calls_count_until_a_report_includes_them() -> None:
    state = engine("e1")
    before_ms = expected_finish_ms(engine_call(), state)
    state.record_send(900.0, 14_000.0)
    assert expected_finish_ms(engine_call(), state) > before_ms + 900
    state.apply_report(EngineReport(taken_ms=800.0))
    assert len(state.unreported_calls) == 1
    state.apply_report(EngineReport(taken_ms=950.0))
    assert not state.unreported_calls


WAITS = [
    (busy(0), 0.0),
    (busy(10, 14_000), 1_000.0),
    (busy(256, 28_000), 2_000.0),
    (busy(512), (18.0 + 0.12 * 256) * 100),
]


@pytest.mark.parametrize(("report", "wait_ms"), WAITS)
def test_expected_wait(report: EngineReport, wait_ms: float) -> None:
    state = engine("e1", report=report)
    assert expected_wait_ms(engine_call(), state) == pytest.approx(wait_ms)


def test_cache_estimate_decays_and_follows_evictions() -> None:
    state = with_cache("e1", 9_000)
    assert state.estimated_cached_tokens("p", 1_000.0) == 9_000
    assert state.estimated_cached_tokens("p", 121_000.0) == pytest.approx(4_500)
    state.record_evicted("p", 4_000)
    assert state.estimated_cached_tokens("p", 1_000.0) == 5_000
    state.record_evicted("p", 5_000)
    assert state.estimated_cached_tokens("p", 1_000.0) == 0


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
    clock = ManualClock()
    budget = RetryBudget(clock.clock)
    retries = 0
    for _ in range(1_000):
        budget.record_request()
        retries += budget.try_acquire()
    assert 100 <= retries <= 106


def test_identifiers_contain_their_shard() -> None:
    program = ProgramId.new(ShardId("centro-a", 7), 3)
    assert ProgramId.parse(str(program)) == program
    for text in ("", "a.b.c.d", "a.1.1.xyz", "A.1.1.0123456789abcdef", "a/../b"):
        with pytest.raises(ValueError, match="not a program identifier"):
            ProgramId.parse(text)
    shards = {shard_of_key(f"k{n}", ("a", "b"), 8) for n in range(500)}
    assert len(shards) == 16
