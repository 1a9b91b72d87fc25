"""How many programs the engines can have under way at once.

Load pattern: a burst of programs begins while slots are free, and their later turns
exceed the slots seconds afterwards. So what counts for a new program is not the slots
that are free now but those that the programs under way will need. The most urgent ones may
take every free slot; the others leave room for them.
"""

import math

__all__ = ["ProgramLoad"]

# A program without a turn for this long has ended, or pauses longer than most.
_ACTIVE_MS = 1_000.0
_HALF_LIFE_MS = 2_000.0
_LESS_URGENT_UTILISATION = 0.8  # the slots that less urgent programs may need together
_PRIORITY_TTL_MS = 10_000.0  # a priority without turns for this long counts no more


class ProgramLoad:
    """The programs under way, and the slots that one of them needs on average."""

    def __init__(self) -> None:
        """Start without programs."""
        self.slots_per_program = 0.0
        self._last_turn_ms: dict[str, float] = {}
        self._priority_seen_ms: dict[int, float] = {}
        self._updated_ms = -math.inf

    def record_turn(self, program: str, now_ms: float) -> None:
        """Record that a turn of a program begins, runs or ends."""
        if program:
            self._last_turn_ms.pop(program, None)
            self._last_turn_ms[program] = now_ms

    def count(self, now_ms: float) -> int:
        """Return the number of programs under way."""
        while self._last_turn_ms:
            oldest = next(iter(self._last_turn_ms))
            if now_ms - self._last_turn_ms[oldest] <= _ACTIVE_MS:
                break
            del self._last_turn_ms[oldest]
        return len(self._last_turn_ms)

    def observe(self, needed_slots: int, now_ms: float) -> None:
        """Learn from the slots that programs under way occupy or wait for."""
        programs = self.count(now_ms)
        if not programs:
            return
        weight = 1.0 - 0.5 ** ((now_ms - self._updated_ms) / _HALF_LIFE_MS)
        sample = needed_slots / programs
        self.slots_per_program += (sample - self.slots_per_program) * weight
        self._updated_ms = now_ms

    def allows_another(self, priority: int, total_slots: int, now_ms: float) -> bool:
        """Return whether the slots suffice for one more program of a priority."""
        self._priority_seen_ms[priority] = now_ms
        more_urgent = any(
            each < priority and now_ms - seen_ms < _PRIORITY_TTL_MS
            for each, seen_ms in self._priority_seen_ms.items()
        )
        if not more_urgent:
            return True
        needed_slots = (self.count(now_ms) + 1) * self.slots_per_program
        return needed_slots <= total_slots * _LESS_URGENT_UTILISATION
