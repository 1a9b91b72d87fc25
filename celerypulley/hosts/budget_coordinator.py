"""Reserve token budgets of turns at the coordinator of their program.

One host coordinates the budget of a program; which one follows from the program's name
and the members, by rendezvous hashing. While the store is unavailable, only the
coordinator reserves tokens, so that hosts never spend the same tokens twice.
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
# A coordinator that is down counts as unreachable after four gossip periods of 250 ms.
_COORDINATOR_RETRY_S = 1.0
_log = DecisionLog("budget-desk")


@attrs.define(eq=False)
class TurnBudget:
    """The tokens reserved for one turn, on this host or at the coordinator.

    `release(tokens)` returns tokens to where they were reserved.
    """

    max_tokens: int
    release: Callable[[int], None]
    spent: int = 0

    def record_spent(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""
        self.spent += tokens

    def settle(self) -> None:
        """Release the tokens that the turn did not use. Call it once."""
        self.release(self.max_tokens - self.spent)


class BudgetCoordinator:
    """Reserve tokens for turns, and serve the reservations of other hosts."""

    def __init__(
        self, escrow: BudgetEscrow, datagrams: FleetDatagrams, gossip: FleetGossip
    ) -> None:
        """Handle requests of other hosts for programs that this host coordinates."""
        self.escrow = escrow
        self.datagrams = datagrams
        self.gossip = gossip
        self._remote_reservations: dict[tuple[str, int], Reservation] = {}
        self._last_number = 0
        datagrams.handlers[_RESERVE] = self._handle_reserve
        datagrams.handlers[_SETTLE] = self._handle_settle

    def coordinator_of(self, program: str) -> str:
        """Return the host that coordinates a program's budget."""
        return rendezvous(program, list(self.gossip.members))

    async def reserve(
        self, organisation: str, program: str, budget: int, max_tokens: int
    ) -> TurnBudget:
        """Reserve `max_tokens` of a program's `budget` for one turn.

        If the coordinator is unreachable, this host acquires its own grant from the
        store. Raise CallRefusedError where the budget is exhausted or unreachable.
        """
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
        """Reserve at a reachable coordinator; raise CallRefusedError without a reply.

        The coordinator may be spending tokens that the store's counter does not show
        yet, so the store is no substitute for its reply.
        """
        try:
            return await self._request_reservation(
                coordinator, organisation, program, budget, max_tokens
            )
        except NoReplyError as error:
            _log.write("coordinator did not reply", str(error), program=program)
            refusal = Refusal(
                ErrorKind.STATE_UNREACHABLE,
                f"budget coordinator {coordinator} is reachable but did not reply",
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
        instance_id = self.datagrams.instance_id
        request = [instance_id, number, organisation, program, budget, max_tokens]
        refusal = await self.datagrams.request(coordinator, _RESERVE, request)
        if refusal:
            kind, detail = refusal
            raise CallRefusedError.of(ErrorKind(kind), f"{coordinator}: {detail}")

        def release(tokens: int) -> None:
            self.datagrams.send(coordinator, _SETTLE, [instance_id, number, tokens])

        return TurnBudget(max_tokens, release)

    async def _handle_reserve(self, _sender: str, request: list) -> list:
        instance_id, number, organisation, program, budget, max_tokens = request
        try:
            reservation = await self.escrow.reserve(
                organisation, program, budget, max_tokens, is_coordinator=True
            )
        except CallRefusedError as error:
            return [error.refusal.kind.value, error.refusal.detail]
        self._remote_reservations[instance_id, number] = reservation
        return []

    def _handle_settle(self, _sender: str, payload: list) -> None:
        instance_id, number, tokens = payload
        reservation = self._remote_reservations.pop((instance_id, number), None)
        if reservation is not None:
            reservation.release(tokens)
