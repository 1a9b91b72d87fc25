"""The memory that the heads of all servers' responses may take together."""

import attrs

__all__ = ["HeadBudget", "HeadCharge"]

_ORDINARY_BYTES = 4 * 1024  # of a head, part of what is charged for its request
_LINE_BYTES = 512  # of a parsed line beside its text
_LIMIT_BYTES = 4 * 1024 * 1024  # a thirtieth of the memory of the smallest host


@attrs.define
class HeadBudget:
    """What heads hold beyond ordinary ones.

    Heads of ordinary size have room whatever the others hold, so that servers which
    send long ones do no harm to the requests of other servers.
    """

    limit_bytes: int = _LIMIT_BYTES
    held_bytes: int = 0


@attrs.define(eq=False)
class HeadCharge:
    """What the head of one response holds of a budget."""

    budget: HeadBudget
    held_bytes: int = 0

    def grow_to(self, text_bytes: int, lines: int) -> bool:
        """Charge a head; return False if there is no room for it."""
        held_bytes = max(0, text_bytes + lines * _LINE_BYTES - _ORDINARY_BYTES)
        more_bytes = held_bytes - self.held_bytes
        if more_bytes <= 0:
            return True
        if self.budget.held_bytes + more_bytes > self.budget.limit_bytes:
            return False
        self.budget.held_bytes += more_bytes
        self.held_bytes = held_bytes
        return True

    def release(self) -> None:
        """Give back what was charged."""
        self.budget.held_bytes -= self.held_bytes
        self.held_bytes = 0
