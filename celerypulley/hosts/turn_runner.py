"""Turns of programs at their owner: in order, remembered, within the budget."""

import asyncio

import attrs
import orjson

from celerypulley.backend_servers.ordering import OrderedCall, priority_of
from celerypulley.backend_servers.service_shares import ServiceShares
from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Route
from celerypulley.contracts.effective import Configuration
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal, RunState
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.engine_runner import EngineJob, EngineRunner
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.quarantine import fingerprint_of
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.answer_sink import AnswerSink, CallerGoneError
from celerypulley.links.peer_messages import RunTurn
from celerypulley.programs.chat import (
    AnswerReader,
    ChatRequest,
    completion_json,
    read_chat_request,
)
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import Program, pack_turn
from celerypulley.programs.records import TurnAbandoned, TurnBegun, TurnDone

__all__ = ["TurnRunner", "find_program"]

_DONE = b"data: [DONE]\n\n"
_log = DecisionLog("turn")


def find_program(owner: ShardOwner, name: ProgramId, organisation: str) -> Program:
    """Return an organisation's program; raise CallRefusedError.

    Another organisation's program is answered as one that does not exist.
    """
    program = owner.state.programs.get(str(name))
    if program is not None and program.organisation == organisation:
        return program
    lost_epoch = owner.entry.lost_epoch
    if program is None and name.epoch < lost_epoch:
        raise CallRefusedError.of(
            ErrorKind.HISTORY_LOST, f"all holders of {name} are gone"
        )
    raise CallRefusedError.of(ErrorKind.UNKNOWN_PROGRAM, f"no program {name}")


def check_receipt(program: Program, receipt: str) -> None:
    """Raise CallRefusedError where the caller has seen a history that is not here.

    A receipt is `turns.digest`, as an earlier answer gave it.
    """
    if not receipt:
        return
    turns, _, digest = receipt.partition(".")
    if not turns.isdigit():
        raise CallRefusedError.of(
            ErrorKind.BAD_REQUEST, f"receipt {receipt!r} is not turns.digest"
        )
    behind = int(turns) > program.turn_count
    forked = int(turns) == program.turn_count and digest != program.digest
    if behind or forked:
        raise CallRefusedError.of(
            ErrorKind.HISTORY_BEHIND,
            f"receipt {receipt} is not part of {program.receipt}",
        )


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
        self.locks = locks

    async def run(self, message: RunTurn, sink: AnswerSink) -> None:
        """Run one turn and send its answer; raise CallRefusedError.

        Turns of one program run one after the other, in the order in which
        they arrived. A caller that leaves ends the engine's work, but what was
        begun is settled before the next turn begins.
        """
        name = _parse_program(message.program)
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
        presence: "CallerPresence",
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
        presence: "CallerPresence",
    ) -> None:
        owner = self.shards.require_owned(name.shard)
        owner.require_promise()
        program = find_program(owner, name, message.organisation)
        await self._settle_former(owner, program)
        require_route(require_configuration(self.configuration), request.model)
        check_receipt(program, message.receipt)
        turn = message.turn if message.turn is not None else program.turn_count + 1
        if _is_resent(program, request, message):
            await _replay(program, request, sink)
            return
        if turn != program.turn_count + 1:
            raise CallRefusedError.of(
                ErrorKind.TURN_OUT_OF_ORDER,
                f"turn {turn} does not follow turn {program.turn_count}",
            )
        if program.closed_ms is not None:
            raise CallRefusedError.of(ErrorKind.PROGRAM_CLOSED, f"{name} is closed")
        run = TurnRun(self, owner, program, request, message, sink, presence, turn)
        with self.committer.running.run(program.program):
            await run.run()

    def job(
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

    async def _settle_former(self, owner: ShardOwner, program: Program) -> None:
        if not program.reserved_tokens:
            return
        limits = require_configuration(self.configuration).limits(program.organisation)
        await self.committer.settle(owner, program, limits.turn_timeout_s * 1000)


class CallerPresence:
    """Whether a turn's caller is still there."""

    def __init__(self) -> None:
        """Start with the caller there."""
        self.gone = False
        self.engine_task: asyncio.Task | None = None

    def leave(self) -> None:
        """Note that the caller has gone and end the engine's work for it."""
        self.gone = True
        if self.engine_task is not None:
            self.engine_task.cancel()


class TurnRun:
    """One turn under way: begun, sent, answered, committed."""

    def __init__(
        self,
        runner: TurnRunner,
        owner: ShardOwner,
        program: Program,
        request: ChatRequest,
        message: RunTurn,
        sink: AnswerSink,
        presence: CallerPresence,
        turn: int,
    ) -> None:
        """Hold what the steps of a turn share."""
        self.runner = runner
        self.owner = owner
        self.program = program
        self.request = request
        self.message = message
        self.sink = sink
        self.presence = presence
        self.turn = turn
        self.head_sent = False

    async def run(self) -> None:
        """Run the turn; raise CallRefusedError."""
        await self.owner.commit_built(self._begun)
        reserve = self.program.reserved_tokens
        job = self.runner.job(self.program, self.request, self.message, reserve)
        try:
            reader = await self._run_engine(job)
        except CallRefusedError as error:
            await self._abandon(reserve if error.refusal.run != RunState.NOT_RUN else 0)
            await self._refuse(error)
            return
        except (CallerGoneError, asyncio.CancelledError):
            await self._abandon(reserve)
            raise CallerGoneError("the caller left during its turn") from None
        await self._finish(reader, reserve)

    async def _run_engine(self, job: EngineJob) -> AnswerReader:
        if self.presence.gone:
            raise CallerGoneError("the caller left before its turn was sent")
        running = self.runner.engines.run(self._with_sink(job))
        task = asyncio.create_task(running)
        self.presence.engine_task = task
        return await task

    def _begun(self) -> TurnBegun:
        me = self.runner.shards.me.name
        return TurnBegun(self.program.program, self.turn, self._reserve_tokens(), me)

    def _reserve_tokens(self) -> int:
        limits = require_configuration(self.runner.configuration).limits(
            self.program.organisation
        )
        wanted = self.request.max_tokens or limits.max_tokens
        reserve = min(wanted, self.program.left_tokens)
        if reserve < 1:
            raise CallRefusedError.of(
                ErrorKind.BUDGET_EXHAUSTED,
                f"{self.program.program} has spent its "
                f"{self.program.budget_tokens} tokens",
            )
        return reserve

    def _with_sink(self, job: EngineJob) -> EngineJob:
        if not self.request.stream:
            return job
        return attrs.evolve(job, pass_on=self._pass_on)

    async def _pass_on(self, events: bytes) -> None:
        await self._send_head("text/event-stream")
        await self.sink.chunk(events)

    async def _send_head(self, content_type: str, receipt: str = "") -> None:
        if self.head_sent:
            return
        self.head_sent = True
        headers = {
            "Content-Type": content_type,
            "X-Celerypulley-Program": self.program.program,
            "X-Celerypulley-Turn": str(self.turn),
            "X-Celerypulley-Run": RunState.RAN.value,
        }
        if receipt:
            headers["X-Celerypulley-Receipt"] = receipt
        await self.sink.head(200, headers)

    async def _finish(self, reader: AnswerReader, reserve: int) -> None:
        spent = min(reader.tokens, reserve)
        self.runner.served.note(
            self.program.organisation, spent, self.runner.clock.now_ms()
        )
        answer = orjson.dumps(reader.message())
        messages = self.request.messages_json + b"," + answer
        record = TurnDone(
            program=self.program.program,
            turn=self.turn,
            request_id=self.message.request_id,
            request_digest=self.request.digest,
            messages=pack_turn(messages),
            spent_tokens=spent,
            ended_ms=self.runner.clock.wall_ms(),
        )
        try:
            receipt = await self.runner.committer.commit(self.owner, record)
        except CallRefusedError as error:
            await self._refuse(_not_remembered(error, self.turn))
            return
        await self._send_end(reader, receipt)

    async def _send_end(self, reader: AnswerReader, receipt: str) -> None:
        finish_reason = reader.finish_reason or "stop"
        if self.request.stream:
            await self._send_head("text/event-stream")
            comment = f": receipt {receipt}\n\n".encode()
            await self.sink.chunk(reader.held + comment + _DONE)
            return
        await self._send_head("application/json", receipt)
        body = completion_json(
            self.request.model,
            reader.answer_id,
            reader.message(),
            finish_reason,
            reader.usage,
        )
        await self.sink.chunk(body)

    async def _abandon(self, spent: int) -> None:
        record = TurnAbandoned(self.program.program, self.turn, spent)
        try:
            await self.runner.committer.commit(self.owner, record)
        except CallRefusedError as error:
            _log.write("turn not settled", str(error), program=self.program.program)

    async def _refuse(self, error: CallRefusedError) -> None:
        if not self.head_sent:
            raise error
        refusal = error.refusal
        body = {
            "error": {
                "type": refusal.kind.value,
                "message": refusal.detail,
                "run": refusal.run.value,
            }
        }
        await self.sink.chunk(b"data: " + orjson.dumps(body) + b"\n\n")


def require_configuration(follower: ConfigurationFollower) -> Configuration:
    """Return the configuration in force; raise CallRefusedError without one."""
    if follower.current is None:
        raise CallRefusedError.of(
            ErrorKind.CONFIGURATION_STALE, "no configuration is in force yet"
        )
    return follower.current


def require_route(configuration: Configuration, model: str) -> Route:
    """Return the route of a model; raise CallRefusedError without one."""
    route = configuration.route_of_model(model)
    if route is None:
        raise CallRefusedError.of(
            ErrorKind.UNKNOWN_MODEL, f"no route serves model {model!r}"
        )
    return route


def _not_remembered(error: CallRefusedError, turn: int) -> CallRefusedError:
    return CallRefusedError(
        Refusal(
            error.refusal.kind,
            f"turn {turn} ran but is not part of the history: {error.refusal.detail}",
            RunState.UNKNOWN,
        )
    )


def _parse_program(text: str) -> ProgramId:
    try:
        return ProgramId.parse(text)
    except ValueError as error:
        raise CallRefusedError.of(ErrorKind.UNKNOWN_PROGRAM, str(error)) from None


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


async def _replay(program: Program, request: ChatRequest, sink: AnswerSink) -> None:
    stored = orjson.loads(b"[" + program.last_turn_json() + b"]")
    message = stored[-1]
    turn = program.turn_count
    headers = {
        "X-Celerypulley-Program": program.program,
        "X-Celerypulley-Turn": str(turn),
        "X-Celerypulley-Run": RunState.RAN.value,
        "X-Celerypulley-Replayed": "true",
        "X-Celerypulley-Receipt": program.receipt,
    }
    if not request.stream:
        headers["Content-Type"] = "application/json"
        await sink.head(200, headers)
        body = completion_json(request.model, f"replay-{turn}", message, "stop", {})
        await sink.chunk(body)
        return
    headers["Content-Type"] = "text/event-stream"
    await sink.head(200, headers)
    delta = {"index": 0, "delta": message, "finish_reason": "stop"}
    chunk = {
        "id": f"replay-{turn}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": request.model,
        "choices": [delta],
    }
    receipt = f": receipt {program.receipt}\n\n".encode()
    await sink.chunk(b"data: " + orjson.dumps(chunk) + b"\n\n" + receipt + _DONE)
