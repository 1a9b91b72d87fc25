"""Forward streaming requests to model engines.

The host prepends the history of a program's earlier turns, reserves the turn's budget
and, where the route allows it, resumes a broken stream at another server.
"""

import random

import attrs

from celerypulley.backend_servers.cost_model import TurnSample
from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.ordering import forward_priority
from celerypulley.backend_servers.routing import (
    Choice,
    EngineCall,
    cached_tokens,
    choose_engine,
    expected_duration_ms,
    expected_finish_ms,
    expected_step_ms,
)
from celerypulley.contracts.declaration import Policy
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.budget_coordinator import BudgetCoordinator, TurnBudget
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.hosts.server_attempts import (
    FailedAttempt,
    ServerAttempt,
    SlotSource,
    not_run_attempt,
    try_servers,
)
from celerypulley.hosts.turn_archive import CompletedTurn, TurnArchive
from celerypulley.hosts.turn_scheduler import TurnScheduler, TurnSlot
from celerypulley.links.forward_dialect import ResponseMetadata
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.key_value import StoreUnavailableError
from celerypulley.links.server_connection import ServerCall, ServerCallError
from celerypulley.programs.event_stream import Event, EventReader

__all__ = ["StreamForwarder"]

_PACE_GAIN = 0.25  # estimates for streams are close, so few samples suffice
_log = DecisionLog("streams")


@attrs.define(eq=False)
class _Turn:
    """A streaming request in progress.

    `body` is sent to servers and holds history and new input. `event_count` events were
    forwarded; `output` is their data where it becomes history. `last_event_id` is the
    event after which another server resumes.
    """

    admitted: AdmittedRequest
    service: str
    body: bytes
    tokens_per_event: int
    reservation: TurnBudget | None
    last_event_id: str
    output: list[bytes] = attrs.Factory(list)
    event_count: int = 0
    head_sent: bool = False


@attrs.define(eq=False)
class _MeasuredTurn:
    """The times of a turn's events on one server, and what was known at its send."""

    sent_ms: float
    uncached_tokens: float
    sequences: int
    queued: bool
    first_event_ms: float = 0.0
    last_event_ms: float = 0.0
    first_events: int = 0
    events: int = 0

    def record_events(self, now_ms: float, count: int) -> None:
        """Record events that arrived together."""
        if not self.events:
            self.first_event_ms = now_ms
            self.first_events = count
        self.last_event_ms = now_ms
        self.events += count

    def sample(self, tokens_per_event: int, metadata: ResponseMetadata) -> TurnSample:
        """Return the sample for the cost model."""
        return TurnSample(
            uncached_tokens=self.uncached_tokens,
            sequences=self.sequences,
            tokens=self.events * tokens_per_event,
            decode_tokens=(self.events - self.first_events) * tokens_per_event,
            first_ms=self.first_event_ms - self.sent_ms,
            decode_ms=self.last_event_ms - self.first_event_ms,
            pace=metadata.pace or 1.0,
            queued=self.queued or bool(metadata.waiting),
        )


def _choose(
    call: EngineCall, servers: list[EngineState], avoid: frozenset[str]
) -> Choice | None:
    return choose_engine(Policy.SHARED_COST, call, servers, avoid)


class StreamForwarder:
    """Run streams on model engines and forward their events as they arrive."""

    def __init__(
        self,
        context: ForwardContext,
        archive: TurnArchive,
        budgets: BudgetCoordinator,
        scheduler: TurnScheduler | None = None,
    ) -> None:
        """Store histories in `archive` and reserve tokens through `budgets`.

        With a `scheduler`, turns wait for a free slot of an engine.
        """
        self.context = context
        self.archive = archive
        self.budgets = budgets
        self.scheduler = scheduler

    async def run(self, admitted: AdmittedRequest, sink: ForwardSink) -> str:
        """Forward a stream; return the server's name or raise CallRefusedError."""
        history = await self._load_history(admitted, sink)
        if admitted.continues_history:
            admitted = admitted.with_history(history)
            self.context.crash_trials.check(admitted.fingerprint)
        reservation = await self._reserve_budget(admitted)
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
                self._settle_budget(admitted, reservation)

    async def _load_history(
        self, admitted: AdmittedRequest, sink: ForwardSink
    ) -> bytes:
        request = admitted.request
        if not admitted.continues_history:
            return b""
        organisation = admitted.organisation_name
        try:
            history = await self.archive.load(
                organisation, request.previous_turn, sink.hold_history
            )
        except StoreUnavailableError as error:
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE, f"previous turn unavailable: {error}"
            ) from error
        if history is None:
            raise CallRefusedError.of(
                ErrorKind.UNKNOWN_TURN, f"no turn {request.previous_turn[:100]}"
            )
        return history

    async def _reserve_budget(self, admitted: AdmittedRequest) -> TurnBudget | None:
        request = admitted.request
        if not admitted.route.is_turn or not request.program:
            return None
        if request.token_budget is None:
            return None
        # A turn without a limit of its own may use the whole budget.
        max_tokens = request.max_tokens or request.token_budget
        return await self.budgets.reserve(
            admitted.organisation_name,
            request.program,
            request.token_budget,
            max_tokens,
        )

    def _settle_budget(
        self, admitted: AdmittedRequest, reservation: TurnBudget
    ) -> None:
        reservation.settle()
        _log.write(
            "budget settled",
            "the turn ended",
            request=admitted.request.request_id,
            program=admitted.request.program,
            budget=admitted.request.token_budget,
            reserved=reservation.max_tokens,
            reserved_at=reservation.host,
            spent=reservation.spent,
        )

    async def _run_turn(self, turn: _Turn, sink: ForwardSink) -> str:
        call = self.context.engine_call(turn.admitted, turn.service)

        async def run_attempt(server_attempt: ServerAttempt) -> FailedAttempt | None:
            return await self._attempt(
                turn, server_attempt.server, server_attempt.call, sink
            )

        def prefill_tokens(server: EngineState) -> float:
            return call.prompt_tokens - cached_tokens(call, server)

        return await try_servers(
            self.context,
            turn.admitted,
            turn.service,
            _choose,
            run_attempt,
            prefill_tokens,
            self._slot_source(turn),
        )

    def _slot_source(self, turn: _Turn) -> SlotSource | None:
        """Return what assigns engine slots to a turn, None without a scheduler."""
        scheduler = self.scheduler
        if scheduler is None or not turn.admitted.route.is_turn:
            return None
        if turn.admitted.home_regions.is_restricted:
            return None

        async def acquire_slot(
            excluded: frozenset[str], was_shed: bool
        ) -> TurnSlot | None:
            call = self.context.engine_call(turn.admitted, turn.service)
            return await scheduler.acquire(turn.admitted, call, excluded, was_shed)

        return acquire_slot

    async def _attempt(
        self, turn: _Turn, server: EngineState, call: ServerCall, sink: ForwardSink
    ) -> FailedAttempt | None:
        """Run the turn on one server; return why it did not run there.

        Raise ServerCallError where the response is incomplete.
        """
        context = self.context
        admitted = turn.admitted
        started_ms = context.clock.now_ms()
        engine_call = context.engine_call(admitted, turn.service)
        expected = attrs.evolve(engine_call, expected_tokens=0)
        expected_first_ms = expected_finish_ms(expected, server)
        step_ms = expected_step_ms(server, started_ms)
        events_before = turn.event_count
        measured = _MeasuredTurn(
            started_ms,
            engine_call.prompt_tokens - cached_tokens(engine_call, server),
            server.sequence_count(started_ms),
            server.is_full(started_ms),
        )
        context.send(
            call,
            server,
            admitted,
            turn.body,
            turn.last_event_id,
            forward_priority(admitted.route.priority, admitted.organisation),
        )
        head, metadata = await context.read_head(call, server, admitted)
        if metadata.not_run:
            return not_run_attempt(server, head, metadata)
        if head.status != 200:
            body = await call.read_body(sink.hold_response)
            call.release()
            if turn.head_sent:
                raise ServerCallError(f"resumption got status {head.status}", True)
            await sink.respond(head.status, head.reason, metadata.headers, body)
            return None
        reader = EventReader()
        while chunk := await call.read_chunk():
            server.last_received_ms = context.clock.now_ms()
            events = _complete_events(reader, chunk)
            if events:
                if not turn.head_sent:
                    turn.head_sent = True
                    await sink.head(head.status, head.reason, metadata.headers)
                measured.record_events(server.last_received_ms, len(events))
                self._record_events(turn, events, sink)
                await sink.chunk(b"".join(event.raw for event in events))
            del chunk, events  # the caller may take long to read them
            await sink.wait_until_taken(len(reader.pending))
        if reader.pending:
            raise ServerCallError("stream ended within an event", True)
        call.release()
        server.record_success()
        context.crash_counts.record_whole_run(admitted.fingerprint)
        tokens = (turn.event_count - events_before) * turn.tokens_per_event
        now_ms = context.clock.now_ms()
        expected_ms = expected_first_ms + step_ms * tokens
        if engine_call.costs is not None:
            answered = attrs.evolve(engine_call, expected_tokens=tokens)
            expected_ms = expected_duration_ms(answered, server)
            expected_ms *= metadata.pace or 1.0
        server.record_duration(now_ms, now_ms - started_ms, expected_ms, _PACE_GAIN)
        self._learn(turn, server, measured, metadata)
        self._record_cached_prefix(turn, server)
        if not turn.head_sent:
            await sink.head(head.status, head.reason, metadata.headers)
        await self._archive_turn(turn)
        return None

    def _learn(
        self,
        turn: _Turn,
        server: EngineState,
        measured: _MeasuredTurn,
        metadata: ResponseMetadata,
    ) -> None:
        """Learn from a turn that one server ran from its start."""
        costs = self.context.costs
        request = turn.admitted.request
        if not costs.is_learned(turn.service) or not measured.first_events:
            return
        if measured.events != turn.event_count or request.last_event_id:
            return
        sample = measured.sample(turn.tokens_per_event, metadata)
        sample = attrs.evolve(sample, hint_tokens=request.expected_tokens)
        costs.add_turn(turn.service, turn.admitted.route.name, server, sample)
        directory = self.context.directory
        costs.update_traits(
            turn.service,
            server,
            directory.of_service(turn.service),
            self.context.clock.now_ms(),
        )

    def _record_events(
        self, turn: _Turn, events: list[Event], sink: ForwardSink
    ) -> None:
        turn.event_count += len(events)
        for event in events:
            if turn.admitted.route.prepends_history:
                turn.output.append(event.data)
                sink.hold_output(len(event.data))
            turn.last_event_id = event.event_id or turn.last_event_id
        if turn.reservation is not None:
            turn.reservation.record_spent(len(events) * turn.tokens_per_event)

    def _record_cached_prefix(self, turn: _Turn, server: EngineState) -> None:
        now_ms = self.context.clock.now_ms()
        for part in turn.admitted.request.prefix_parts:
            server.record_cached(part.name, part.tokens, now_ms)

    def _may_use_storage_hosts(self, admitted: AdmittedRequest) -> bool:
        """Return whether a turn may lie on the disk of any storage host.

        Storage hosts copy records to each other, whatever their regions.
        """
        regions = self.context.region_of_domain
        return admitted.home_regions.allows_all(regions, regions)

    async def _archive_turn(self, turn: _Turn) -> None:
        """Save the turn before the response ends, within the caller's deadline.

        So a turn whose response is complete can be continued.
        """
        route = turn.admitted.route
        if not route.prepends_history:
            return
        request = turn.admitted.request
        output = b"".join(data + b"\n" for data in turn.output)
        turn.output.clear()
        await self.archive.save(
            CompletedTurn(
                turn.admitted.organisation_name,
                request.request_id,
                request.previous_turn,
                request.body,
                output,
                turn.body,
                route.retention_ms,
                self._may_use_storage_hosts(turn.admitted),
            )
        )


def _complete_events(reader: EventReader, chunk: bytes) -> list[Event]:
    try:
        return reader.feed(chunk)
    except ValueError as error:
        raise ServerCallError(str(error), True) from error
