"""Forwarding of streams: turns of programs, histories, budgets, resumption."""

import random

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.ordering import forward_priority
from celerypulley.backend_servers.routing import (
    Choice,
    EngineCall,
    cached_tokens,
    choose_engine,
    expected_finish_ms,
    step_of,
)
from celerypulley.contracts.declaration import Policy
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.admission import Admitted
from celerypulley.hosts.budget_desk import BudgetDesk, TurnBudget
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.hosts.server_tries import FailedTry, Try, try_servers
from celerypulley.hosts.turn_archive import EndedTurn, TurnArchive
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.key_value import StoreUnavailableError
from celerypulley.links.server_connection import ServerCall, ServerLinkError
from celerypulley.programs.event_stream import Event, EventReader

__all__ = ["StreamForwarder"]

_PACE_GAIN = 0.25  # estimates of streams are close, so a few answers tell the pace
_log = DecisionLog("streams")


@attrs.define(eq=False)
class _Turn:
    """One stream on its way to a caller.

    `body` is what servers get: history and new input. `output` is the data of the
    events that were passed on.
    """

    admitted: Admitted
    service: str
    body: bytes
    tokens_per_event: int
    reservation: TurnBudget | None
    last_event_id: str
    output: list[bytes] = attrs.Factory(list)
    head_sent: bool = False

    @property
    def event_count(self) -> int:
        """Return how many events were passed on."""
        return len(self.output)


def _choose(
    call: EngineCall, servers: list[EngineState], avoid: frozenset[str]
) -> Choice | None:
    return choose_engine(Policy.SHARED_COST, call, servers, avoid)


class StreamForwarder:
    """Run streams on model engines and pass their events on as they come."""

    def __init__(
        self, context: ForwardContext, archive: TurnArchive, budgets: BudgetDesk
    ) -> None:
        """Keep histories in `archive` and budgets in `budgets`."""
        self.context = context
        self.archive = archive
        self.budgets = budgets

    async def run(self, admitted: Admitted, sink: ForwardSink) -> str:
        """Pass a stream on; return the server's name, raise CallRefusedError."""
        history = await self._history(admitted)
        reservation = await self._reserve(admitted)
        service = pick_service(admitted.route, random.random())
        rule = admitted.state.services.get(service)
        turn = _Turn(
            admitted,
            service,
            history + admitted.request.body,
            rule.tokens_per_event if rule else 1,
            reservation,
            admitted.request.last_event_id,
        )
        try:
            return await self._run_turn(turn, sink)
        finally:
            if reservation is not None:
                reservation.settle()

    async def _history(self, admitted: Admitted) -> bytes:
        request = admitted.request
        if not admitted.route.keeps_history or not request.previous_turn:
            return b""
        organisation = admitted.organisation_name
        try:
            history = await self.archive.load(organisation, request.previous_turn)
        except StoreUnavailableError as error:
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE, f"the turn before is not known: {error}"
            ) from error
        if history is None:
            raise CallRefusedError.of(
                ErrorKind.UNKNOWN_TURN, f"no turn {request.previous_turn[:100]}"
            )
        return history

    async def _reserve(self, admitted: Admitted) -> TurnBudget | None:
        request = admitted.request
        if not admitted.route.is_turn or not request.program:
            return None
        if request.token_budget <= 0:
            return None
        return await self.budgets.reserve(
            admitted.organisation_name,
            request.program,
            request.token_budget,
            request.most_tokens,
        )

    async def _run_turn(self, turn: _Turn, sink: ForwardSink) -> str:
        call = self.context.call_of(turn.admitted)

        async def attempt(trying: Try) -> FailedTry | None:
            return await self._attempt(turn, trying.server, trying.call, sink)

        def fresh_tokens(server: EngineState) -> float:
            return call.prompt_tokens - cached_tokens(call, server)

        return await try_servers(
            self.context, turn.admitted, turn.service, _choose, attempt, fresh_tokens
        )

    async def _attempt(
        self, turn: _Turn, server: EngineState, call: ServerCall, sink: ForwardSink
    ) -> FailedTry | None:
        """Run the turn on one server; return why it did not run there."""
        context = self.context
        admitted = turn.admitted
        begun_ms = context.clock.now_ms()
        expected = attrs.evolve(context.call_of(admitted), expected_tokens=0)
        first_ms = expected_finish_ms(expected, server)
        step_ms = step_of(server, begun_ms)
        events_before = turn.event_count
        context.send(
            call,
            server,
            admitted,
            turn.body,
            turn.last_event_id,
            forward_priority(admitted.route.priority, admitted.organisation),
        )
        head, says = await context.head(call, server, admitted)
        if says.not_run:
            await call.body()
            call.finish()
            return FailedTry(context.shed(server, head), True, says.wrong_server)
        if head.status != 200:
            body = await call.body()
            call.finish()
            if turn.head_sent:
                raise ServerLinkError(f"resumption was answered {head.status}", True)
            await sink.whole(head.status, head.reason, says.headers, body)
            return None
        reader = EventReader()
        async for piece in call.pieces():
            server.heard_ms = context.clock.now_ms()
            events = _whole_events(reader, piece)
            if not events:
                continue
            if not turn.head_sent:
                turn.head_sent = True
                await sink.head(head.status, head.reason, says.headers)
            self._note(turn, events)
            await sink.chunk(b"".join(event.raw for event in events))
        if reader.held:
            raise ServerLinkError("the stream ended within an event", True)
        call.finish()
        server.note_success()
        tokens = (turn.event_count - events_before) * turn.tokens_per_event
        now_ms = context.clock.now_ms()
        server.note_pace(
            now_ms, now_ms - begun_ms, first_ms + step_ms * tokens, _PACE_GAIN
        )
        self._note_cached(turn, server)
        if not turn.head_sent:
            await sink.head(head.status, head.reason, says.headers)
        await self._keep(turn)
        return None

    def _note(self, turn: _Turn, events: list[Event]) -> None:
        for event in events:
            turn.output.append(event.data)
            turn.last_event_id = event.event_id or turn.last_event_id
        if turn.reservation is not None:
            turn.reservation.note(len(events) * turn.tokens_per_event)

    def _note_cached(self, turn: _Turn, server: EngineState) -> None:
        now_ms = self.context.clock.now_ms()
        for part in turn.admitted.request.prefix:
            server.note_cached(part.name, part.tokens, now_ms)

    async def _keep(self, turn: _Turn) -> None:
        """Keep the turn before its answer ends; the caller's deadline bounds it."""
        route = turn.admitted.route
        if not route.keeps_history:
            return
        request = turn.admitted.request
        output = b"".join(data + b"\n" for data in turn.output)
        await self.archive.save(
            EndedTurn(
                turn.admitted.organisation_name,
                request.request_id,
                request.previous_turn,
                request.body,
                output,
                turn.body + output,
                route.retain_ms,
            )
        )


def _whole_events(reader: EventReader, piece: bytes) -> list[Event]:
    try:
        return reader.feed(piece)
    except ValueError as error:
        raise ServerLinkError(str(error), True) from error
