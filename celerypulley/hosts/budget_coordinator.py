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

__all__ = ["BudgetCoordinator", "TurnBudget"]

_RESERVE = "reserve"
_SETTLE = "settle"
# A home that is down is not heard any more after four periods of 250 ms.
_COORDINATOR_RETRY_S = 1.0
_log = DecisionLog("budget-desk")


@attrs.define(eq=False)
class TurnBudget:
    """The most that one turn may generate, wherever it is reserved."""

    max_tokens: int
    release: Callable[[int], None]
    spent: int = 0

    def record_spent(self, tokens: int) -> None:
        """Count tokens that were handed to the caller."""
        self.spent += tokens

    def settle(self) -> None:
        """Give back what the turn did not use; it is called once."""
        self.release(self.max_tokens - self.spent)


class BudgetCoordinator:
    """Reserve turns' budgets at the home of their program."""

    def __init__(
        self, escrow: BudgetEscrow, datagrams: FleetDatagrams, gossip: FleetGossip
    ) -> None:
        """Answer other hosts' questions about programs whose home this host is."""
        self.escrow = escrow
        self.datagrams = datagrams
        self.gossip = gossip
        self._remote_reservations: dict[tuple[str, int], Reservation] = {}
        self._last_number = 0
        datagrams.handlers[_RESERVE] = self._handle_reserve
        datagrams.handlers[_SETTLE] = self._handle_settle

    def coordinator_of(self, program: str) -> str:
        """Return the host that keeps a program's budget."""
        return rendezvous(program, list(self.gossip.members))

    async def reserve(
        self, organisation: str, program: str, budget: int, max_tokens: int
    ) -> TurnBudget:
        """Reserve one turn's most; raise CallRefusedError."""
        coordinator = self.coordinator_of(program)
        own_name = self.datagrams.host
        if coordinator == own_name:
            reservation = await self.escrow.reserve(
                organisation, program, budget, max_tokens, is_coordinator=True
            )
            return TurnBudget(max_tokens, reservation.release)
        if self.gossip.is_reachable(coordinator):
            return await self._reserve_at_coordinator(
                coordinator, organisation, program, budget, max_tokens
            )
        reservation = await self.escrow.reserve(
            organisation, program, budget, max_tokens, is_coordinator=False
        )
        return TurnBudget(max_tokens, reservation.release)

    async def _reserve_at_coordinator(
        self,
        coordinator: str,
        organisation: str,
        program: str,
        budget: int,
        max_tokens: int,
    ) -> TurnBudget:
        """Ask a home that is heard; it may be spending beside the store's counter.

        So a home that does not answer is never passed over, and the turn is refused.
        """
        try:
            return await self._request_reservation(
                coordinator, organisation, program, budget, max_tokens
            )
        except NoReplyError as error:
            _log.write("asked in vain", str(error), program=program)
            refusal = Refusal(
                ErrorKind.STATE_UNREACHABLE,
                f"home {coordinator} is heard and says nothing",
                retry_after_s=_COORDINATOR_RETRY_S,
            )
            raise CallRefusedError(refusal) from error

    async def _request_reservation(
        self,
        coordinator: str,
        organisation: str,
        program: str,
        budget: int,
        max_tokens: int,
    ) -> TurnBudget:
        self._last_number += 1
        number = self._last_number
        incarnation = self.datagrams.instance_id
        request = [incarnation, number, organisation, program, budget, max_tokens]
        refusal = await self.datagrams.request(coordinator, _RESERVE, request)
        if refusal:
            kind, detail = refusal
            raise CallRefusedError.of(ErrorKind(kind), f"{coordinator}: {detail}")

        def release(tokens: int) -> None:
            self.datagrams.send(coordinator, _SETTLE, [incarnation, number, tokens])

        return TurnBudget(max_tokens, release)

    async def _handle_reserve(self, _sender: str, request: list) -> list:
        incarnation, number, organisation, program, budget, max_tokens = request
        try:
            reservation = await self.escrow.reserve(
                organisation, program, budget, max_tokens, is_coordinator=True
            )
        except CallRefusedError as error:
            return [error.refusal.kind.value, error.refusal.detail]
        self._remote_reservations[incarnation, number] = reservation
        return []

    def _handle_settle(self, _sender: str, payload: list) -> None:
        incarnation, number, tokens = payload
        reservation = self._remote_reservations.pop((incarnation, number), None)
        if reservation is not None:
            reservation.release(tokens)
