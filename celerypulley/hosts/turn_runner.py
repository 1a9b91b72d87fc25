"""Turns of programs at their owner: in order, replayable and within the budget."""

import asyncio

from celerypulley.backend_servers.ordering import OrderedCall, engine_priority
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import Route
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.engine_runner import (
    EngineJob,
    EngineRunner,
    chat_fingerprint,
)
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.program_rules import (
    check_receipt,
    find_program,
    parse_program_id,
    require_configuration,
    require_route,
)
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.turn_run import (
    CallerConnection,
    TurnContext,
    TurnRun,
    replay_turn,
)
from celerypulley.links.peer_messages import RunTurn
from celerypulley.links.response_sink import CallerDisconnectedError, ResponseSink
from celerypulley.programs.chat import (
    ChatRequest,
    read_chat_request,
)
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import Program

__all__ = ["TurnRunner"]

_DONE_EVENT = b"data: [DONE]\n\n"
_log = DecisionLog("turn")


class TurnRunner:
    """Run the turns of the programs that this host owns."""

    def __init__(
        self,
        shards: Shards,
        configuration: ConfigurationFollower,
        engines: EngineRunner,
        committer: RecordCommitter,
        locks: ProgramLocks,
        clock: Clock,
    ) -> None:
        """Run turns on `engines` and commit them through `committer`."""
        self.shards = shards
        self.configuration = configuration
        self.engines = engines
        self.committer = committer
        self.clock = clock
        self.active = 0
        self.service_shares = ServiceShares()
        self._context = TurnContext(
            member_name=shards.own_member.name,
            engines=engines,
            committer=committer,
            make_job=self._make_job,
            record_served_tokens=self._record_served_tokens,
            clock=clock,
        )
        self.locks = locks

    async def run(self, message: RunTurn, sink: ResponseSink) -> None:
        """Run one turn and send its response; raise CallRefusedError.

        Turns of one program run one after the other, in order of arrival. If the caller
        disconnects, the engine's work is cancelled, but a turn that has begun is
        settled before the next one begins.
        """
        program_id = parse_program_id(message.program)
        request = read_chat_request(message.body)
        connection = CallerConnection()
        work = self._run_locked(program_id, request, message, sink, connection)
        task = self.committer.spawn(work)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            connection.on_disconnect()
            raise

    async def _run_locked(
        self,
        program_id: ProgramId,
        request: ChatRequest,
        message: RunTurn,
        sink: ResponseSink,
        connection: CallerConnection,
    ) -> None:
        async with self.locks.lock(message.program):
            if connection.disconnected:
                return
            self.active += 1
            try:
                await self._run_in_order(program_id, request, message, sink, connection)
            except CallerDisconnectedError:
                _log.write(
                    "caller disconnected",
                    "it stopped reading the response",
                    program=program_id,
                )
            finally:
                self.active -= 1

    async def _run_in_order(
        self,
        program_id: ProgramId,
        request: ChatRequest,
        message: RunTurn,
        sink: ResponseSink,
        connection: CallerConnection,
    ) -> None:
        owner = self.shards.require_owned(program_id.shard)
        program = find_program(owner, program_id, message.organisation)
        await self._settle_unfinished_turn(owner, program)
        configuration = require_configuration(self.configuration)
        require_route(configuration, request.model)
        check_receipt(program, message.receipt)
        turn = message.turn if message.turn is not None else program.turn_count + 1
        if _is_repeated_request(program, request, message):
            await replay_turn(program, request, sink)
            return
        if turn != program.turn_count + 1:
            raise CallRefusedError.of(
                ErrorKind.TURN_OUT_OF_ORDER,
                f"turn {turn} does not follow turn {program.turn_count}",
            )
        if program.closed_ms is not None:
            raise CallRefusedError.of(
                ErrorKind.PROGRAM_CLOSED, f"{program_id} is closed"
            )
        limits = configuration.organisation_limits(program.organisation)
        run = TurnRun(
            context=self._context,
            owner=owner,
            program=program,
            request=request,
            message=message,
            sink=sink,
            connection=connection,
            turn=turn,
            default_max_tokens=limits.max_tokens,
        )
        with self.committer.running_turns.track(program.program_id):
            await run.run()

    def _make_job(
        self,
        program: Program,
        request: ChatRequest,
        message: RunTurn,
        reserved_tokens: int,
    ) -> EngineJob:
        """Return the engine job of a turn."""
        configuration = require_configuration(self.configuration)
        route = require_route(configuration, request.model)
        history = program.history_json()
        priority = self._priority(program, route, configuration)
        return EngineJob(
            program=program.program_id,
            organisation=program.organisation,
            request=request,
            body=request.engine_body(
                history, reserved_tokens, priority, program.program_id
            ),
            prompt_tokens=request.estimated_prompt_tokens(len(history)),
            max_tokens=reserved_tokens,
            request_id=message.request_id,
            limits=configuration.organisation_limits(program.organisation),
            fingerprint=chat_fingerprint(request, program.organisation, history),
            on_events=None,
        )

    def _priority(
        self, program: Program, route: Route, configuration: Configuration
    ) -> int:
        now_ms = self.clock.now_ms()
        limits = configuration.organisation_limits(program.organisation)
        weights = (
            configuration.organisation_limits(name).weight
            for name in self.service_shares.active_organisations(now_ms)
        )
        share = self.service_shares.relative_share(
            program.organisation, limits.weight, sum(weights), now_ms
        )
        call = OrderedCall(
            route.priority,
            program.spent_tokens,
            share,
            limits.fairness_weight,
            limits.latency_weight,
        )
        return engine_priority(limits.ordering, call)

    def _record_served_tokens(self, program: Program, tokens: int) -> None:
        self.service_shares.record(program.organisation, tokens, self.clock.now_ms())

    async def _settle_unfinished_turn(
        self, owner: ShardOwner, program: Program
    ) -> None:
        if not program.reserved_tokens:
            return
        limits = require_configuration(self.configuration).organisation_limits(
            program.organisation
        )
        await self.committer.settle_turn(owner, program, limits.turn_timeout_s * 1000)


def _is_repeated_request(
    program: Program, request: ChatRequest, message: RunTurn
) -> bool:
    """Return whether the request repeats the last turn.

    A host that lost its link to the owner sends the same request identifier again. A
    caller sends the same turn number and messages again.
    """
    if not program.turns:
        return False
    last = program.turns[-1]
    if last.request_digest != request.digest:
        return False
    same_request = last.request_id == message.request_id
    return same_request or message.turn == program.turn_count
