"""Owner and replica of a shard: lost messages, repeats, handovers and takeovers."""

from collections.abc import Callable

import pytest

from celerypulley.errors import CallRefusedError
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.hosts.program_rules import find_program
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shard_replica import ShardReplica
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import InstallSnapshot
from celerypulley.programs.identifier import ProgramId, ShardId
from celerypulley.programs.records import ProgramOpened
from celerypulley.programs.shard import InvariantError, ShardState
from tests.harness import ManualClock

SHARD = ShardId("north", 0)


class FakePeers:
    """Replicas called directly; each request uses up one entry of `faults`."""

    def __init__(self, clock: ManualClock) -> None:
        self.time = clock
        self.replicas: dict[str, ShardReplica] = {}
        self.faults: list[str] = []

    async def request(self, name: str, item: object, timeout_ms: float) -> object:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lose request":
            self.time.advance(timeout_ms)
            raise PeerLinkError("lost", sent=True)
        replica = self.replicas[name]
        if isinstance(item, InstallSnapshot):
            reply = replica.apply_install(item)
        else:
            reply = replica.apply_record(item)
        if fault == "lose reply":
            self.time.advance(timeout_ms)
            raise PeerLinkError("lost", sent=True)
        return reply


def program_opened(name: str) -> ProgramOpened:
    return ProgramOpened(name, "kiosk", 100, 0, None)


async def make_pair() -> tuple[ManualClock, FakePeers, ShardOwner]:
    clock = ManualClock()
    peers = FakePeers(clock)
    peers.replicas = {
        name: ShardReplica(SHARD, clock.clock) for name in ("r1", "r2", "r3")
    }
    entry = ShardEntry("o1", None, epoch=1, revision=1)
    owner = ShardOwner(ShardState(SHARD), entry, peers, clock.clock, 2_500)

    async def switch() -> ShardEntry:
        return ShardEntry("o1", "r1", epoch=1, revision=2)

    assert await owner.install("r1", switch)
    return clock, peers, owner


FAULTS = [
    ("no fault", []),
    ("request lost", ["lose request"]),
    ("reply lost", ["lose reply"]),
    ("reply, then request lost", ["lose reply", "lose request"]),
    ("two replies lost", ["lose reply", "lose reply"]),
]


@pytest.mark.parametrize(("name", "faults"), FAULTS)
async def test_record_is_applied_once_on_both_sides(
    name: str, faults: list[str]
) -> None:
    _, peers, owner = await make_pair()
    peers.faults = list(faults)
    await owner.commit(program_opened("p"))
    await owner.commit(program_opened("q"))
    replica = peers.replicas["r1"].state
    assert replica.sequence == owner.state.sequence == 2
    assert list(replica.programs) == list(owner.state.programs) == ["p", "q"]


async def test_unacknowledged_record_is_refused_and_not_applied() -> None:
    _, peers, owner = await make_pair()
    peers.faults = ["lose request"] * 9
    with pytest.raises(CallRefusedError) as refused:
        await owner.commit(program_opened("p"))
    assert refused.value.refusal.kind.value == "replica_unreachable"
    assert not owner.state.programs


async def test_superseded_owner_commits_nothing() -> None:
    _, peers, owner = await make_pair()
    await owner.commit(program_opened("p"))
    peers.replicas["r1"].epoch = 2
    with pytest.raises(CallRefusedError) as refused:
        await owner.commit(program_opened("q"))
    assert refused.value.refusal.kind.value == "owner_unreachable"
    assert owner.superseded and not owner.holds_promise()
    assert list(peers.replicas["r1"].state.programs) == ["p"]


async def test_new_replica_is_complete_before_the_switch() -> None:
    _, peers, owner = await make_pair()
    for number in range(130):
        await owner.commit(program_opened(f"p{number}"))

    async def switch() -> ShardEntry:
        replica = peers.replicas["r2"].state
        assert replica.programs == owner.state.programs
        return ShardEntry("o1", "r2", epoch=1, revision=3)

    assert await owner.install("r2", switch)
    await owner.commit(program_opened("later"))
    assert peers.replicas["r2"].state.programs == owner.state.programs
    assert "later" not in peers.replicas["r1"].state.programs


async def test_handover_stops_the_old_owner_first() -> None:
    _, peers, owner = await make_pair()
    await owner.commit(program_opened("p"))

    async def switch() -> ShardEntry:
        return ShardEntry("o2", "r1", epoch=2, revision=3)

    assert await owner.install("r3", switch)
    with pytest.raises(CallRefusedError):
        await owner.commit(program_opened("q"))
    assert list(peers.replicas["r3"].state.programs) == ["p"]


async def test_lost_entry_race_changes_nothing() -> None:
    _, peers, owner = await make_pair()

    async def lose_race() -> None:
        return None

    assert not await owner.install("r2", lose_race)
    await owner.commit(program_opened("p"))
    assert list(peers.replicas["r1"].state.programs) == ["p"]
    assert owner.entry.replica == "r1"


PROMISES: list[tuple[str, Callable[[ShardReplica], object], int, str]] = [
    ("complete copy of this epoch", lambda replica: None, 1, "ok"),
    ("newer epoch", lambda replica: setattr(replica, "epoch", 5), 1, "stale"),
    (
        "incomplete copy",
        lambda replica: setattr(replica, "complete", False),
        1,
        "not-holding",
    ),
]


@pytest.mark.parametrize(("name", "change", "epoch", "state"), PROMISES)
async def test_promise_requires_a_complete_copy_of_this_epoch(
    name: str, change: Callable, epoch: int, state: str
) -> None:
    clock, peers, _ = await make_pair()
    replica = peers.replicas["r1"]
    change(replica)
    assert replica.promise(epoch, 1_000) == state
    assert (replica.promised_until_ms > clock.now_ms) == (state == "ok")


def test_invalid_record_leaves_the_state_unchanged() -> None:
    from celerypulley.programs import records

    state = ShardState(SHARD)
    state.apply(records.ProgramOpened("p", "kiosk", 10, 0, None))
    invalid = [
        records.TurnBegun("p", 2, 1, "h"),
        records.TurnBegun("p", 1, 11, "h"),
        records.TurnBegun("q", 1, 1, "h"),
        records.TurnCompleted("p", 2, "r", b"d", b"m", 1, 0),
        records.TurnCompleted("p", 1, "r", b"d", b"m", 11, 0),
        records.BudgetDrawn("p", "child", 11),
        records.ProgramOpened("p", "other", 10, 0, None),
        records.CallEnded("c", "ran", 200, "", b""),
    ]
    for record in invalid:
        with pytest.raises(InvariantError):
            state.apply(record)
        assert state.sequence == 1
        assert state.programs["p"].remaining_tokens == 10
    state.apply(records.CallBegun("c", b"f", 0))
    with pytest.raises(InvariantError):
        state.apply(records.CallBegun("c", b"f", 0))


# Whether the owner holds its replica's promise, the program, the kind of refusal.
LOOKUPS = [
    (True, "north.0.1.0000000000000001", ""),
    (True, "north.0.1.0000000000000002", "unknown_program"),
    (False, "north.0.1.0000000000000001", "owner_unreachable"),
    (False, "north.0.1.0000000000000002", "owner_unreachable"),
]


@pytest.mark.parametrize(("promised", "name", "kind"), LOOKUPS)
async def test_owner_without_promise_refuses_lookups(
    promised: bool, name: str, kind: str
) -> None:
    clock, _, owner = await make_pair()
    await owner.commit(program_opened("north.0.1.0000000000000001"))
    if promised:
        owner.promise_until_ms = clock.now_ms + 1_000
    try:
        find_program(owner, ProgramId.parse(name), "kiosk")
        refused_kind = ""
    except CallRefusedError as error:
        refused_kind = error.refusal.kind.value
    assert refused_kind == kind
