"""The order in which waiting turns get engines, and how long each may wait.

It answers bursts that exceed what the engines can run: programs under way keep their
pace, and what doesn't fit is kept out at its first turn, where nothing is lost yet.
"""

import math

import attrs

from celerypulley.programs.opaque_request import PrefixPart

__all__ = ["Turn", "WaitLimits", "is_late", "order_key", "wait_limit_ms"]

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

    No turn waits longer than `longest_ms`. Then one of a program under way is sent to
    an engine that is full, so that no large turn starves. The first turn of a program
    without a target waits for `first_turn_ms`.
    """

    longest_ms: float = 600.0  # hosts wait for a reply for 800 ms
    first_turn_ms: float = 100.0


def wait_limit_ms(turn: Turn, limits: WaitLimits) -> float:
    """Return how long a turn may wait for an engine from its submission."""
    remaining_ms = max(0.0, turn.deadline_ms - turn.submitted_ms)
    longest_ms = min(limits.longest_ms, remaining_ms)
    if not turn.is_first:
        return longest_ms
    if math.isinf(turn.target_ms):
        return min(limits.first_turn_ms, longest_ms)
    target_remaining_ms = turn.target_ms - turn.submitted_ms
    affordable_ms = target_remaining_ms * _FIRST_TURN_WAIT_FRACTION
    return min(max(_MIN_FIRST_TURN_WAIT_MS, affordable_ms), longest_ms)


def is_late(
    turn: Turn, now_ms: float, limits: WaitLimits, expected_run_ms: float
) -> bool:
    """Return whether a waiting turn comes after all that can meet their target.

    A turn of a program under way that can't meet it any more does so for half of its
    limit only, so that it runs before it expires.
    """
    if now_ms + expected_run_ms <= turn.target_ms:
        return False
    if turn.is_first:
        return True
    waited_ms = now_ms - turn.submitted_ms
    return waited_ms < wait_limit_ms(turn, limits) * _PROMOTED_AFTER_FRACTION


def order_key(
    turn: Turn, is_late_turn: bool, organisation_load: float, newest_first: bool
) -> tuple:
    """Return the sort key of a waiting turn; the lowest runs next.

    Late ones come last. The priority decides first, since operators
    set it; within one, programs under way come before new ones. Then follow the least
    time left of a program under way, and among new ones the organisation with the least
    `organisation_load`, its recent share of the engines. With `newest_first` the last
    new program that came is the next: those before it have lost their time already.
    """
    order = (is_late_turn, turn.priority, turn.is_first)
    if not turn.is_first:
        return (*order, turn.target_ms, turn.submitted_ms)
    age = -turn.submitted_ms if newest_first else turn.submitted_ms
    load_level = int(math.log2(1.0 + organisation_load))
    return (*order, load_level, age)
