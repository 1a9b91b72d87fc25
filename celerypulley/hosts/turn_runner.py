"""Turns of programs at their owner: in order, remembered, within the budget."""

import asyncio

from celerypulley.backend_servers.ordering import OrderedCall, priority_of
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Route
from celerypulley.contracts.effective import Configuration
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.engine_runner import EngineJob, EngineRunner
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.program_rules import (
    check_receipt,
    find_program,
    parse_program,
    require_configuration,
    require_route,
)
from celerypulley.hosts.quarantine import fingerprint_of
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.turn_run import (
    CallerPresence,
    TurnRun,
    TurnTools,
    replay_turn,
)
from celerypulley.links.answer_sink import AnswerSink, CallerGoneError
from celerypulley.links.peer_messages import RunTurn
from celerypulley.programs.chat import (
    ChatRequest,
    read_chat_request,
)
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import Program

__all__ = ["TurnRunner"]

_DONE = b"data: [DONE]\n\n"
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
        """Commit to `shards` and run on `engines`."""
        self.shards = shards
        self.configuration = configuration
        self.engines = engines
        self.committer = committer
        self.clock = clock
        self.active = 0
        self.served = ServiceShares()
        self._tools = TurnTools(
            member=shards.me.name,
            engines=engines,
            committer=committer,
            make_job=self._job,
            note_served=self._note_served,
            clock=clock,
        )
        self.locks = locks

    async def run(self, message: RunTurn, sink: AnswerSink) -> None:
        """Run one turn and send its answer; raise CallRefusedError.

        Turns of one program run one after the other, in the order in which
        they arrived. A caller that leaves ends the engine's work, but what was
        begun is settled before the next turn begins.
        """
        name = parse_program(message.program)
        request = read_chat_request(message.body)
        presence = CallerPresence()
        work = self._run_locked(name, request, message, sink, presence)
        task = self.committer.spawn(work)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            presence.leave()
            raise

    async def _run_locked(
        self,
        name: ProgramId,
        request: ChatRequest,
        message: RunTurn,
        sink: AnswerSink,
        presence: CallerPresence,
    ) -> None:
        async with self.locks.lock(message.program):
            if presence.gone:
                return
            self.active += 1
            try:
                await self._run_in_order(name, request, message, sink, presence)
            except CallerGoneError:
                _log.write("caller gone", "it stopped reading", program=name)
            finally:
                self.active -= 1

    async def _run_in_order(
        self,
        name: ProgramId,
        request: ChatRequest,
        message: RunTurn,
        sink: AnswerSink,
        presence: CallerPresence,
    ) -> None:
        owner = self.shards.require_owned(name.shard)
        program = find_program(owner, name, message.organisation)
        await self._settle_former(owner, program)
        configuration = require_configuration(self.configuration)
        require_route(configuration, request.model)
        check_receipt(program, message.receipt)
        turn = message.turn if message.turn is not None else program.turn_count + 1
        if _is_resent(program, request, message):
            await replay_turn(program, request, sink)
            return
        if turn != program.turn_count + 1:
            raise CallRefusedError.of(
                ErrorKind.TURN_OUT_OF_ORDER,
                f"turn {turn} does not follow turn {program.turn_count}",
            )
        if program.closed_ms is not None:
            raise CallRefusedError.of(ErrorKind.PROGRAM_CLOSED, f"{name} is closed")
        limits = configuration.limits(program.organisation)
        run = TurnRun(
            tools=self._tools,
            owner=owner,
            program=program,
            request=request,
            message=message,
            sink=sink,
            presence=presence,
            turn=turn,
            default_tokens=limits.max_tokens,
        )
        with self.committer.running.run(program.program):
            await run.run()

    def _job(
        self, program: Program, request: ChatRequest, message: RunTurn, reserve: int
    ) -> EngineJob:
        """Return the engine job of a turn."""
        configuration = require_configuration(self.configuration)
        route = require_route(configuration, request.model)
        history = program.messages_json()
        priority = self._priority(program, route, configuration)
        return EngineJob(
            program=program.program,
            organisation=program.organisation,
            request=request,
            body=request.engine_body(history, reserve, priority, program.program),
            prompt_tokens=request.prompt_tokens(len(history)),
            max_tokens=reserve,
            request_id=message.request_id,
            limits=configuration.limits(program.organisation),
            fingerprint=fingerprint_of(history, request.messages_json),
            pass_on=None,
        )

    def _priority(
        self, program: Program, route: Route, configuration: Configuration
    ) -> int:
        now_ms = self.clock.now_ms()
        limits = configuration.limits(program.organisation)
        weights = (
            configuration.limits(name).weight for name in self.served.active(now_ms)
        )
        share = self.served.share(
            program.organisation, limits.weight, sum(weights), now_ms
        )
        call = OrderedCall(
            route.priority,
            program.spent_tokens,
            share,
            limits.fairness_weight,
            limits.latency_weight,
        )
        return priority_of(limits.ordering, call)

    def _note_served(self, program: Program, tokens: int) -> None:
        self.served.note(program.organisation, tokens, self.clock.now_ms())

    async def _settle_former(self, owner: ShardOwner, program: Program) -> None:
        if not program.reserved_tokens:
            return
        limits = require_configuration(self.configuration).limits(program.organisation)
        await self.committer.settle(owner, program, limits.turn_timeout_s * 1000)


def _is_resent(program: Program, request: ChatRequest, message: RunTurn) -> bool:
    """Return whether the last turn already answered this request.

    A host that lost its link to the owner sends the same request identifier
    again; a caller sends the same turn number and messages again.
    """
    if not program.turns:
        return False
    last = program.turns[-1]
    if last.request_digest != request.digest:
        return False
    same_request = last.request_id == message.request_id
    return same_request or message.turn == program.turn_count
