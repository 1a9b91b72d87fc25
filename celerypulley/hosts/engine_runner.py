"""Running one chat completion on an engine, with retries before the first byte."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import aclosing

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import (
    Choice,
    EngineCall,
    choose_engine,
    expected_wait_ms,
)
from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Limits
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal, RunState
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.quarantine import Quarantine
from celerypulley.hosts.retry_budget import RetryBudget
from celerypulley.links.backend_link import BackendError, BackendLink
from celerypulley.programs.chat import AnswerReader, ChatRequest

__all__ = ["EngineJob", "EngineRunner"]

_ATTEMPTS = 3
_DEFAULT_EXPECTED_TOKENS = 128
_PROBE_PAUSE_S = 0.1
_log = DecisionLog("routing")


@attrs.frozen
class EngineJob:
    """A chat completion that is ready to be sent.

    `pass_on` gets the events as they come, or is None for a whole answer.
    """

    program: str
    organisation: str
    request: ChatRequest
    body: bytes
    prompt_tokens: int
    max_tokens: int
    request_id: str
    limits: Limits
    fingerprint: str
    pass_on: Callable[[bytes], Awaitable[None]] | None


class EngineRunner:
    """Choose engines, send jobs and read their answers."""

    def __init__(
        self,
        servers: BackendServers,
        link: BackendLink,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        """Send over `link` to the engines of `servers`."""
        self.servers = servers
        self.link = link
        self.clock = clock
        self.quarantine = quarantine
        self.retries = RetryBudget(clock)
        self._numbers = itertools.count()

    def choose(self, job: EngineJob, avoid: frozenset[str]) -> Choice:
        """Return the engine for a job; raise CallRefusedError."""
        call = EngineCall(
            program=job.program,
            model=job.request.model,
            prompt_tokens=job.prompt_tokens,
            expected_tokens=min(job.max_tokens, _DEFAULT_EXPECTED_TOKENS),
            domain=self.servers.domain,
            now_ms=self.clock.now_ms(),
            number=next(self._numbers),
        )
        engines = self.servers.nearby_engines(call.model)
        quiet = [each for each in engines if not each.probing]
        engines = quiet or engines
        choice = choose_engine(job.limits.policy, call, engines, avoid)
        if choice is None:
            raise CallRefusedError.of(
                ErrorKind.NO_BACKEND_SERVER,
                f"no engine for model {call.model!r} gets new work",
            )
        wait_ms = expected_wait_ms(call, choice.engine)
        if wait_ms > job.limits.queue_wait_s * 1000:
            raise _overloaded(job, wait_ms)
        _log.write(
            f"engine {choice.engine.name}",
            choice.reason,
            program=job.program,
            organisation=job.organisation,
            finish_ms=round(choice.finish_ms),
        )
        return choice

    async def run(self, job: EngineJob) -> AnswerReader:
        """Return the whole answer; raise CallRefusedError.

        Another engine is tried while nothing was passed on and the retry budget
        allows it.
        """
        avoid: frozenset[str] = frozenset()
        self.retries.note_request()
        for attempt in range(_ATTEMPTS):
            self.quarantine.check(job.fingerprint)
            engine = (await self._choose_patiently(job, avoid)).engine
            reader = AnswerReader(job.max_tokens)
            try:
                await self._run_on(engine, job, reader)
                return reader
            except (BackendError, ValueError) as error:
                await self._note_error(engine, job, error, reader)
                may_retry = job.pass_on is None or not reader.tokens
                last = attempt == _ATTEMPTS - 1
                if last or not may_retry or not self.retries.take():
                    raise CallRefusedError(_failure(engine, error, reader)) from error
                avoid = avoid | {engine.name}
                _log.write("retry elsewhere", str(error), program=job.program)
        raise AssertionError("the loop returns or raises")

    async def _run_on(
        self, engine: EngineState, job: EngineJob, reader: AnswerReader
    ) -> None:
        now_ms = self.clock.now_ms()
        fresh = job.prompt_tokens - engine.believed_cached(job.program, now_ms)
        engine.note_send(now_ms, max(0.0, fresh))
        probes = self.quarantine.strikes(job.fingerprint) > 0
        engine.probing = engine.probing or probes
        try:
            stream = self.link.stream_chat(
                engine.address, job.body, job.request_id, job.limits.turn_timeout_s
            )
            async with aclosing(stream):
                async for data in stream:
                    ready = reader.feed(data)
                    if probes and reader.tokens:
                        engine.probing = False
                    if ready and job.pass_on is not None:
                        await job.pass_on(ready)
                    if reader.done:
                        break
            if not reader.done:
                raise BackendError("the stream ended early", sent=True)
        finally:
            engine.note_end()
            if probes:
                engine.probing = False
        engine.note_success()
        tokens = job.prompt_tokens + reader.tokens
        if job.program:
            engine.note_cached(job.program, tokens, self.clock.now_ms())

    async def _choose_patiently(self, job: EngineJob, avoid: frozenset[str]) -> Choice:
        """Return the choice; a request with a strike waits for an engine alone."""
        waits = int(job.limits.queue_wait_s / _PROBE_PAUSE_S)
        for _ in range(waits):
            choice = self.choose(job, avoid)
            suspect = self.quarantine.strikes(job.fingerprint) > 0
            if not (suspect and choice.engine.probing):
                return choice
            await asyncio.sleep(_PROBE_PAUSE_S)
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "no engine was free to try this request alone"
        )

    async def _note_error(
        self,
        engine: EngineState,
        job: EngineJob,
        error: Exception,
        reader: AnswerReader,
    ) -> None:
        status = getattr(error, "status", None)
        was_healthy = engine.failures == 0
        if status is None or status >= 500:
            engine.note_failure(self.clock.now_ms())
        lost = status is None and getattr(error, "sent", False)
        if lost and was_healthy and not reader.tokens:
            await self.quarantine.strike(job.fingerprint, engine.name)


def _overloaded(job: EngineJob, wait_ms: float) -> CallRefusedError:
    longest_s = job.limits.queue_wait_s
    return CallRefusedError(
        Refusal(
            ErrorKind.OVERLOADED,
            f"a call would wait {wait_ms / 1000:.0f} s, above {longest_s:.0f} s",
            retry_after_s=max(1, int(wait_ms / 1000 - longest_s) + 1),
        )
    )


def _failure(engine: EngineState, error: Exception, reader: AnswerReader) -> Refusal:
    sent = getattr(error, "sent", True)
    run = RunState.UNKNOWN if sent else RunState.NOT_RUN
    detail = f"engine {engine.name} failed after {reader.tokens} tokens: {error}"
    return Refusal(ErrorKind.BACKEND_SERVER_FAILED, detail[:300], run)
