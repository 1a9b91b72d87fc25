"""One host for each program keeps its budget; the others ask that host.

The home of a program follows from its name and the members. While the store is
away, only the home goes on, so that hosts never spend the same tokens twice.
"""

from collections.abc import Callable

import attrs

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.hosts.budget_escrow import BudgetEscrow, Reservation
from celerypulley.hosts.fleet_gossip import FleetGossip
from celerypulley.links.fleet_datagrams import FleetDatagrams, NoReplyError

__all__ = ["BudgetDesk", "TurnBudget"]

_RESERVE = "reserve"
_SETTLE = "settle"
# A home that is down is not heard any more after four periods of 250 ms.
_SILENT_HOME_RETRY_S = 1.0
_log = DecisionLog("budget-desk")


@attrs.define(eq=False)
class TurnBudget:
    """The most that one turn may generate, wherever it is reserved."""

    most: int
    give_back: Callable[[int], None]
    spent: int = 0

    def note(self, tokens: int) -> None:
        """Count tokens that were handed to the caller."""
        self.spent += tokens

    def settle(self) -> None:
        """Give back what the turn did not use; it is called once."""
        self.give_back(self.most - self.spent)


class BudgetDesk:
    """Reserve turns' budgets at the home of their program."""

    def __init__(
        self, escrow: BudgetEscrow, datagrams: FleetDatagrams, gossip: FleetGossip
    ) -> None:
        """Answer other hosts' questions about programs whose home this host is."""
        self.escrow = escrow
        self.datagrams = datagrams
        self.gossip = gossip
        self._lent: dict[tuple[str, int], Reservation] = {}
        self._numbers = 0
        datagrams.handlers[_RESERVE] = self._answer_reserve
        datagrams.handlers[_SETTLE] = self._take_settle

    def home_of(self, program: str) -> str:
        """Return the host that keeps a program's budget."""
        return rendezvous(program, list(self.gossip.members))

    async def reserve(
        self, organisation: str, program: str, budget: int, most: int
    ) -> TurnBudget:
        """Reserve one turn's most; raise CallRefusedError."""
        home = self.home_of(program)
        me = self.datagrams.host
        if home == me:
            reservation = await self.escrow.reserve(
                organisation, program, budget, most, is_home=True
            )
            return TurnBudget(most, reservation.give_back)
        if self.gossip.heard_lately(home):
            return await self._ask_home(home, organisation, program, budget, most)
        reservation = await self.escrow.reserve(
            organisation, program, budget, most, is_home=False
        )
        return TurnBudget(most, reservation.give_back)

    async def _ask_home(
        self, home: str, organisation: str, program: str, budget: int, most: int
    ) -> TurnBudget:
        """Ask a home that is heard; it may be spending beside the store's counter.

        So a home that does not answer is never passed over, and the turn is refused.
        """
        try:
            return await self._ask(home, organisation, program, budget, most)
        except NoReplyError as error:
            _log.write("asked in vain", str(error), program=program)
            refusal = Refusal(
                ErrorKind.STATE_UNREACHABLE,
                f"home {home} is heard and says nothing",
                retry_after_s=_SILENT_HOME_RETRY_S,
            )
            raise CallRefusedError(refusal) from error

    async def _ask(
        self, home: str, organisation: str, program: str, budget: int, most: int
    ) -> TurnBudget:
        self._numbers += 1
        number = self._numbers
        start = self.datagrams.start_name
        question = [start, number, organisation, program, budget, most]
        refusal = await self.datagrams.ask(home, _RESERVE, question)
        if refusal:
            kind, detail = refusal
            raise CallRefusedError.of(ErrorKind(kind), f"{home}: {detail}")

        def give_back(tokens: int) -> None:
            self.datagrams.tell(home, _SETTLE, [start, number, tokens])

        return TurnBudget(most, give_back)

    async def _answer_reserve(self, _sender: str, question: list) -> list:
        start, number, organisation, program, budget, most = question
        try:
            reservation = await self.escrow.reserve(
                organisation, program, budget, most, is_home=True
            )
        except CallRefusedError as error:
            return [error.refusal.kind.value, error.refusal.detail]
        self._lent[start, number] = reservation
        return []

    def _take_settle(self, _sender: str, payload: list) -> None:
        start, number, tokens = payload
        reservation = self._lent.pop((start, number), None)
        if reservation is not None:
            reservation.give_back(tokens)
