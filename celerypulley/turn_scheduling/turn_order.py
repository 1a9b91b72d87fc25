"""The order in which waiting turns get engines, and how long each may wait.

It answers bursts that exceed what the engines can run: programs under way keep their
pace, and what doesn't fit is kept out at its first turn, where nothing is lost yet.
"""

import enum
import math

import attrs

from celerypulley.programs.opaque_request import PrefixPart

__all__ = [
    "Turn",
    "TurnRank",
    "WaitLimits",
    "order_key",
    "turn_rank",
    "wait_limit_ms",
]

# A program's target leaves about a quarter of it for waiting (site sheets: 1.2 to 1.4
# times the time on idle engines, and a constant); its later turns need the rest.
_FIRST_TURN_WAIT_FRACTION = 0.15
_MIN_FIRST_TURN_WAIT_MS = 50.0
_PROMOTED_AFTER_FRACTION = 0.5


@attrs.frozen(kw_only=True)
class Turn:
    """A turn that asks for an engine.

    `identity` names it among all turns of all hosts. `target_ms` is the time by which
    its program should end and `deadline_ms` that of the turn, both on the clock of the
    host that decides. `is_first` is set if no turn of its program has run.
    """

    identity: tuple[str, int]
    service: str
    organisation: str
    program: str
    is_first: bool
    priority: int
    prompt_tokens: int
    expected_tokens: int
    prefix_parts: tuple[PrefixPart, ...]
    submitted_ms: float
    deadline_ms: float
    target_ms: float = math.inf
    excluded_servers: frozenset[str] = frozenset()

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the turn occupies on its engine while it runs."""
        return self.prompt_tokens + self.expected_tokens


@attrs.frozen(kw_only=True)
class WaitLimits:
    """How long turns wait at most.

    A turn of a program under way is sent to an engine that is full after
    `under_way_ms`, so that no large turn starves. The first turn of a program without
    a target waits for `first_turn_ms`.
    """

    under_way_ms: float = 600.0
    first_turn_ms: float = 100.0


def wait_limit_ms(turn: Turn, limits: WaitLimits) -> float:
    """Return how long a turn may wait for an engine from its submission."""
    remaining_ms = max(0.0, turn.deadline_ms - turn.submitted_ms)
    if not turn.is_first:
        return min(limits.under_way_ms, remaining_ms)
    if math.isinf(turn.target_ms):
        return min(limits.first_turn_ms, remaining_ms)
    target_remaining_ms = turn.target_ms - turn.submitted_ms
    affordable_ms = target_remaining_ms * _FIRST_TURN_WAIT_FRACTION
    return min(max(_MIN_FIRST_TURN_WAIT_MS, affordable_ms), remaining_ms)


class TurnRank(enum.IntEnum):
    """What decides first in which order turns run, lowest first."""

    UNDER_WAY = 0
    FIRST = 1
    LATE_UNDER_WAY = 2
    LATE_FIRST = 3


def turn_rank(
    turn: Turn, now_ms: float, limits: WaitLimits, expected_run_ms: float
) -> TurnRank:
    """Return the rank of a waiting turn.

    Programs under way come before new ones, and those that can still meet their target
    before all that can't. A late one that is under way is promoted once it has waited
    for half of its limit.
    """
    is_late = now_ms + expected_run_ms > turn.target_ms
    if turn.is_first:
        return TurnRank.LATE_FIRST if is_late else TurnRank.FIRST
    waited_ms = now_ms - turn.submitted_ms
    promoted_after_ms = wait_limit_ms(turn, limits) * _PROMOTED_AFTER_FRACTION
    if is_late and waited_ms < promoted_after_ms:
        return TurnRank.LATE_UNDER_WAY
    return TurnRank.UNDER_WAY


def order_key(
    turn: Turn, rank: TurnRank, organisation_load: float, newest_first: bool
) -> tuple:
    """Return the sort key of a waiting turn; the lowest runs next.

    Within a rank the priority decides, then the least time left to the target of a
    program under way. Among new programs the organisation with the least
    `organisation_load`, its recent share of the engines, comes first. With
    `newest_first` the last new program that came is the next: those before it have lost
    their time already.
    """
    if not turn.is_first:
        return (rank, turn.priority, turn.target_ms, turn.submitted_ms)
    age = -turn.submitted_ms if newest_first else turn.submitted_ms
    load_level = int(math.log2(1.0 + organisation_load))
    return (rank, turn.priority, load_level, age)
