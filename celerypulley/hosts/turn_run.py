"""One turn in progress: begun, sent to an engine, responded to and committed."""

import asyncio
from collections.abc import Callable

import attrs
import orjson

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal, RunState
from celerypulley.hosts.engine_runner import EngineJob, EngineRunner
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.links.peer_messages import RunTurn
from celerypulley.links.response_sink import CallerDisconnectedError, ResponseSink
from celerypulley.programs.chat import ChatRequest, CompletionReader, completion_json
from celerypulley.programs.program import Program, compress_messages
from celerypulley.programs.records import TurnAbandoned, TurnBegun, TurnCompleted

__all__ = ["CallerConnection", "TurnContext", "TurnRun", "replay_turn"]

_DONE_EVENT = b"data: [DONE]\n\n"
_log = DecisionLog("turn")


class CallerConnection:
    """Whether the caller of a turn is still connected."""

    def __init__(self) -> None:
        """Start as connected, without an engine task."""
        self.disconnected = False
        self.engine_task: asyncio.Task | None = None

    def on_disconnect(self) -> None:
        """Record that the caller disconnected and cancel its engine task."""
        self.disconnected = True
        if self.engine_task is not None:
            self.engine_task.cancel()


@attrs.frozen(kw_only=True)
class TurnContext:
    """What all turns of a host share.

    `make_job` returns a turn's engine job for a number of reserved tokens.
    `record_served_tokens` counts generated tokens for the program's organisation.
    """

    member_name: str
    engines: EngineRunner
    committer: RecordCommitter
    make_job: Callable[[Program, ChatRequest, RunTurn, int], EngineJob]
    record_served_tokens: Callable[[Program, int], None]
    clock: Clock


@attrs.define(eq=False, kw_only=True)
class TurnRun:
    """One turn in progress.

    `default_max_tokens` limits the output if the request has no limit of its own.
    """

    context: TurnContext
    owner: ShardOwner
    program: Program
    request: ChatRequest
    message: RunTurn
    sink: ResponseSink
    connection: CallerConnection
    turn: int
    default_max_tokens: int
    head_sent: bool = False

    async def run(self) -> None:
        """Run the turn and send its response.

        Raise CallRefusedError if the turn fails before the response starts; a later
        error is sent as the last event of the stream. Raise CallerDisconnectedError if
        the caller disconnects.
        """
        await self.owner.build_and_commit(self._build_turn_begun)
        reserved_tokens = self.program.reserved_tokens
        job = self.context.make_job(
            self.program, self.request, self.message, reserved_tokens
        )
        try:
            reader = await self._run_engine(job)
        except CallRefusedError as error:
            await self._abandon(
                reserved_tokens if error.refusal.run != RunState.NOT_RUN else 0
            )
            await self._report_refusal(error)
            return
        except (CallerDisconnectedError, asyncio.CancelledError):
            await self._abandon(reserved_tokens)
            raise CallerDisconnectedError(
                "the caller disconnected during its turn"
            ) from None
        await self._finish(reader, reserved_tokens)

    async def _run_engine(self, job: EngineJob) -> CompletionReader:
        if self.connection.disconnected:
            raise CallerDisconnectedError(
                "the caller disconnected before its turn was sent"
            )
        running = self.context.engines.run(self._with_streaming(job))
        task = asyncio.create_task(running)
        self.connection.engine_task = task
        return await task

    def _build_turn_begun(self) -> TurnBegun:
        runner = self.context.member_name
        return TurnBegun(
            self.program.program_id, self.turn, self._tokens_to_reserve(), runner
        )

    def _tokens_to_reserve(self) -> int:
        wanted = self.request.max_tokens or self.default_max_tokens
        tokens = min(wanted, self.program.remaining_tokens)
        if tokens < 1:
            raise CallRefusedError.of(
                ErrorKind.BUDGET_EXHAUSTED,
                f"{self.program.program_id} has spent its "
                f"budget of {self.program.budget_tokens} tokens",
            )
        return tokens

    def _with_streaming(self, job: EngineJob) -> EngineJob:
        if not self.request.stream:
            return job
        return attrs.evolve(job, on_events=self._forward_events)

    async def _forward_events(self, events: bytes) -> None:
        await self._send_head("text/event-stream")
        await self.sink.chunk(events)

    async def _send_head(self, content_type: str, receipt: str = "") -> None:
        if self.head_sent:
            return
        self.head_sent = True
        headers = {
            "Content-Type": content_type,
            "X-Celerypulley-Program": self.program.program_id,
            "X-Celerypulley-Turn": str(self.turn),
            "X-Celerypulley-Run": RunState.RAN.value,
        }
        if receipt:
            headers["X-Celerypulley-Receipt"] = receipt
        await self.sink.head(200, headers)

    async def _finish(self, reader: CompletionReader, reserved_tokens: int) -> None:
        spent = min(reader.tokens, reserved_tokens)
        self.context.record_served_tokens(self.program, spent)
        response_message = orjson.dumps(reader.message())
        messages = self.request.messages_json + b"," + response_message
        record = TurnCompleted(
            program=self.program.program_id,
            turn=self.turn,
            request_id=self.message.request_id,
            request_digest=self.request.digest,
            messages=compress_messages(messages),
            spent_tokens=spent,
            ended_ms=self.context.clock.wall_ms(),
        )
        try:
            receipt = await self.context.committer.commit(self.owner, record)
        except CallRefusedError as error:
            await self._report_refusal(_uncommitted_turn_error(error, self.turn))
            return
        await self._send_end(reader, receipt)

    async def _send_end(self, reader: CompletionReader, receipt: str) -> None:
        finish_reason = reader.finish_reason or "stop"
        if self.request.stream:
            await self._send_head("text/event-stream")
            comment = f": receipt {receipt}\n\n".encode()
            await self.sink.chunk(reader.withheld_events + comment + _DONE_EVENT)
            return
        await self._send_head("application/json", receipt)
        body = completion_json(
            self.request.model,
            reader.completion_id,
            reader.message(),
            finish_reason,
            reader.usage,
        )
        await self.sink.chunk(body)

    async def _abandon(self, spent: int) -> None:
        record = TurnAbandoned(self.program.program_id, self.turn, spent)
        try:
            await self.context.committer.commit(self.owner, record)
        except CallRefusedError as error:
            _log.write(
                "abandoned turn not committed",
                str(error),
                program=self.program.program_id,
            )

    async def _report_refusal(self, error: CallRefusedError) -> None:
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


def _uncommitted_turn_error(error: CallRefusedError, turn: int) -> CallRefusedError:
    return CallRefusedError(
        Refusal(
            error.refusal.kind,
            f"turn {turn} ran but was not committed: {error.refusal.detail}",
            RunState.UNKNOWN,
        )
    )


async def replay_turn(
    program: Program, request: ChatRequest, sink: ResponseSink
) -> None:
    """Send the stored response of the last turn again, marked as replayed."""
    stored = orjson.loads(b"[" + program.last_turn_json() + b"]")
    message = stored[-1]
    turn = program.turn_count
    headers = {
        "X-Celerypulley-Program": program.program_id,
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
    await sink.chunk(b"data: " + orjson.dumps(chunk) + b"\n\n" + receipt + _DONE_EVENT)
