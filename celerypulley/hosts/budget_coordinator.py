"""Reserve token budgets of turns at the coordinator of their program.

One host coordinates the budget of a program, so that few grants serve all its turns. It
follows from the program's name and the reachable hosts, by rendezvous hashing. Hosts
that choose different coordinators acquire separate grants, so that tokens may remain
unused, but the budget holds.
"""

import asyncio
from collections.abc import Callable

import attrs

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.hosts.budget_escrow import BudgetEscrow, Reservation

__all__ = ["BudgetCoordinator", "TurnBudget"]

_RESERVE = "reserve"
_SETTLE = "settle"
_COORDINATORS = 2  # hosts that are tried before this one: the coordinator and a deputy
_log = DecisionLog("budget-desk")


@attrs.define(eq=False)
class TurnBudget:
    """The tokens reserved for one turn, on this host or at the coordinator.

    `release(tokens)` returns tokens to `host`, where they were reserved.
    """

    host: str
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
        # None: the reservation is still being made.
        self._remote_reservations: dict[tuple[str, int], Reservation | None] = {}
        self._last_number = 0
        datagrams.handlers[_RESERVE] = self._handle_reserve
        datagrams.handlers[_SETTLE] = self._handle_settle

    def hosts_to_try(self, program: str) -> list[str]:
        """Return the hosts that may reserve tokens for a program, by preference.

        The coordinator comes first, this host last.
        """
        own_name = self.datagrams.host
        reachable = set(filter(self.gossip.is_reachable, self.gossip.members))
        preferred: list[str] = []
        while reachable and len(preferred) < _COORDINATORS:
            host = rendezvous(program, reachable)
            reachable.remove(host)
            preferred.append(host)
            if host == own_name:
                return preferred
        return [*preferred, own_name]

    async def reserve(
        self, organisation: str, program: str, budget: int, max_tokens: int
    ) -> TurnBudget:
        """Reserve `max_tokens` of a program's `budget` for one turn.

        Raise CallRefusedError where the budget is exhausted, or where no host that is
        tried has enough tokens or can acquire them.
        """
        *others, last = self.hosts_to_try(program)
        for host in others:
            try:
                return await self._reserve_at(
                    host, organisation, program, budget, max_tokens
                )
            except NoReplyError as error:
                _log.write("coordinator did not reply", str(error), program=program)
            except CallRefusedError as error:
                if error.refusal.kind is not ErrorKind.STATE_UNREACHABLE:
                    raise
        return await self._reserve_at(last, organisation, program, budget, max_tokens)

    async def _reserve_at(
        self,
        host: str,
        organisation: str,
        program: str,
        budget: int,
        max_tokens: int,
    ) -> TurnBudget:
        """Reserve at one host; raise CallRefusedError, or NoReplyError at another."""
        if host == self.datagrams.host:
            reservation = await self.escrow.reserve(
                organisation, program, budget, max_tokens
            )
            return TurnBudget(host, max_tokens, reservation.release)
        self._last_number += 1
        number = self._last_number
        instance_id = self.datagrams.instance_id

        def release(tokens: int) -> None:
            self.datagrams.send(host, _SETTLE, [instance_id, number, tokens])

        request = [instance_id, number, organisation, program, budget, max_tokens]
        try:
            refusal = await self.datagrams.request(host, _RESERVE, request)
        except (NoReplyError, asyncio.CancelledError):
            release(max_tokens)  # the tokens may be reserved all the same
            raise
        if refusal:
            kind, detail = refusal
            raise CallRefusedError.of(ErrorKind(kind), f"{host}: {detail}")
        return TurnBudget(host, max_tokens, release)

    async def _handle_reserve(self, _sender: str, request: list) -> list:
        instance_id, number, organisation, program, budget, max_tokens = request
        self._remote_reservations[instance_id, number] = None
        try:
            reservation = await self.escrow.reserve(
                organisation, program, budget, max_tokens
            )
        except CallRefusedError as error:
            self._remote_reservations.pop((instance_id, number), None)
            return [error.refusal.kind.value, error.refusal.detail]
        if (instance_id, number) in self._remote_reservations:
            self._remote_reservations[instance_id, number] = reservation
        else:
            reservation.release(max_tokens)  # settled while it was being made
        return []

    def _handle_settle(self, _sender: str, payload: list) -> None:
        instance_id, number, tokens = payload
        reservation = self._remote_reservations.pop((instance_id, number), None)
        if reservation is not None:
            reservation.release(tokens)
