"""Chat completions on engines, with retries before the first byte of output."""

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
from celerypulley.fleet.crash_counts import request_fingerprint
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.crash_detector import CrashDetector
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.hosts.retry_budget import RetryBudget
from celerypulley.links.backend_link import BackendError, BackendLink
from celerypulley.programs.chat import ChatRequest, CompletionReader

__all__ = ["EngineJob", "EngineRunner", "chat_fingerprint"]

_MAX_ATTEMPTS = 3
_DEFAULT_EXPECTED_TOKENS = 128
_SUSPECT_POLL_S = 0.1
_EXAMINATION_S = 1.0  # a retry waits so long for what an engine's loss was
_PATH = "/v1/chat/completions"
_log = DecisionLog("routing")


def chat_fingerprint(request: ChatRequest, organisation: str, history: bytes) -> str:
    """Return the fingerprint of a chat completion that continues `history`."""
    body = request.model.encode() + b"\0" + request.messages_json
    return request_fingerprint("POST", _PATH, organisation, history, body)


@attrs.frozen
class EngineJob:
    """A chat completion that is ready to be sent.

    `on_events` receives the events of a stream as they arrive; it is None for a
    response that is returned whole. `fingerprint` identifies the request when
    it comes again.
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
    on_events: Callable[[bytes], Awaitable[None]] | None


class EngineRunner:
    """Choose engines, send jobs and read the responses."""

    def __init__(
        self,
        servers: BackendServers,
        link: BackendLink,
        crash_trials: CrashTrials,
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        """Send jobs over `link` to the engines of `servers`."""
        self.servers = servers
        self.link = link
        self.clock = clock
        self.crash_trials = crash_trials
        self.crash_counts = crash_trials.crash_counts
        self.crash_detector = crash_detector
        self.retry_budget = RetryBudget(clock)
        self._call_numbers = itertools.count()

    def choose(self, job: EngineJob, avoid: frozenset[str]) -> Choice:
        """Return the engine for a job; raise CallRefusedError if none can run it.

        `avoid` names the engines that already failed on the job.
        """
        call = EngineCall(
            program=job.program,
            model=job.request.model,
            prompt_tokens=job.prompt_tokens,
            expected_tokens=min(job.max_tokens, _DEFAULT_EXPECTED_TOKENS),
            domain=self.servers.domain,
            now_ms=self.clock.now_ms(),
            round_robin_index=next(self._call_numbers),
        )
        engines = self.servers.nearby_engines(call.model)
        without_suspects = [each for each in engines if not each.has_suspect_request]
        engines = without_suspects or engines
        choice = choose_engine(job.limits.policy, call, engines, avoid)
        if choice is None:
            raise CallRefusedError.of(
                ErrorKind.NO_BACKEND_SERVER,
                f"no engine for model {call.model!r} accepts new work",
            )
        wait_ms = expected_wait_ms(call, choice.engine)
        if wait_ms > job.limits.queue_wait_s * 1000:
            raise _overloaded_error(job, wait_ms)
        _log.write(
            f"engine {choice.engine.name}",
            choice.reason,
            program=job.program,
            organisation=job.organisation,
            finish_ms=round(choice.estimate_ms),
        )
        return choice

    async def run(self, job: EngineJob) -> CompletionReader:
        """Return the whole response; raise CallRefusedError.

        A failed job is retried on another engine while nothing has been forwarded to
        the caller and the retry budget allows it. Once a job was sent to an engine, its
        failure doesn't say that it has not run.
        """
        avoid: frozenset[str] = frozenset()
        sent_failure: Refusal | None = None
        self.retry_budget.record_request()
        for attempt in range(_MAX_ATTEMPTS):
            is_trial = await self._check_crashes(job, is_first=attempt == 0)
            try:
                engine = (await self._choose_or_wait(job, avoid)).engine
            except CallRefusedError as error:
                if is_trial:
                    self.crash_trials.give_back(job.fingerprint)
                if sent_failure is not None:
                    raise CallRefusedError(sent_failure) from error
                raise
            reader = CompletionReader(job.max_tokens)
            started_ms = self.clock.now_ms()
            try:
                await self._run_on_engine(engine, job, reader)
                return reader
            except (BackendError, ValueError) as error:
                await self._record_error(engine, job, error, reader, started_ms)
                if is_trial and not getattr(error, "sent", True):
                    self.crash_trials.give_back(job.fingerprint)
                failure = _failure_refusal(engine, error, reader)
                if failure.run is RunState.UNKNOWN:
                    sent_failure = failure
                may_retry = job.on_events is None or not reader.tokens
                last = attempt == _MAX_ATTEMPTS - 1
                if last or not may_retry or not self.retry_budget.try_acquire():
                    raise CallRefusedError(sent_failure or failure) from error
                avoid = avoid | {engine.name}
                _log.write("retry on another engine", str(error), program=job.program)
        raise AssertionError("the loop returns or raises")

    async def _check_crashes(self, job: EngineJob, is_first: bool) -> bool:
        """Return whether this is a trial run, which is sent to one engine.

        Raise CallRefusedError if the job crashed too many engines.
        """
        refusal = self.crash_trials.find_refusal(job.fingerprint)
        if refusal is None:
            return False
        if is_first and await self.crash_trials.claim(job.fingerprint):
            return True
        raise CallRefusedError(refusal)

    async def _run_on_engine(
        self, engine: EngineState, job: EngineJob, reader: CompletionReader
    ) -> None:
        now_ms = self.clock.now_ms()
        uncached_tokens = job.prompt_tokens - engine.estimated_cached_tokens(
            job.program, now_ms
        )
        engine.record_send(now_ms, max(0.0, uncached_tokens))
        is_suspect = self.crash_counts.count(job.fingerprint) > 0
        engine.has_suspect_request = engine.has_suspect_request or is_suspect
        try:
            stream = self.link.stream_chat(
                engine.address, job.body, job.request_id, job.limits.turn_timeout_s
            )
            async with aclosing(stream):
                async for data in stream:
                    events = reader.feed(data)
                    if is_suspect and reader.tokens:
                        engine.has_suspect_request = False
                    if events and job.on_events is not None:
                        await job.on_events(events)
                    if reader.done:
                        break
            if not reader.done:
                raise BackendError(
                    "the stream ended before its [DONE] event", sent=True
                )
        finally:
            engine.record_end()
            if is_suspect:
                engine.has_suspect_request = False
        engine.record_success()
        self.crash_counts.record_whole_run(job.fingerprint)
        tokens = job.prompt_tokens + reader.tokens
        if job.program:
            engine.record_cached(job.program, tokens, self.clock.now_ms())

    async def _choose_or_wait(self, job: EngineJob, avoid: frozenset[str]) -> Choice:
        """Return the chosen engine for a job.

        A suspect request, one that crashed an engine before, waits while the chosen
        engine runs another one.
        """
        polls = int(job.limits.queue_wait_s / _SUSPECT_POLL_S)
        for _ in range(polls):
            choice = self.choose(job, avoid)
            is_suspect = self.crash_counts.count(job.fingerprint) > 0
            if not (is_suspect and choice.engine.has_suspect_request):
                return choice
            await asyncio.sleep(_SUSPECT_POLL_S)
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED,
            "no engine became free to retry a request that crashed one",
        )

    async def _record_error(
        self,
        engine: EngineState,
        job: EngineJob,
        error: Exception,
        reader: CompletionReader,
        started_ms: float,
    ) -> None:
        status = getattr(error, "status", None)
        if status is None or status >= 500:
            engine.record_failure(self.clock.now_ms())
        lost = status is None and getattr(error, "sent", False)
        if lost and not reader.tokens:
            examination = self.crash_detector.examine(
                job.fingerprint, engine, started_ms
            )
            await asyncio.wait({examination}, timeout=_EXAMINATION_S)


def _overloaded_error(job: EngineJob, wait_ms: float) -> CallRefusedError:
    limit_s = job.limits.queue_wait_s
    return CallRefusedError(
        Refusal(
            ErrorKind.OVERLOADED,
            f"a call would wait {wait_ms / 1000:.0f} s, "
            f"longer than the limit of {limit_s:.0f} s",
            retry_after_s=max(1, int(wait_ms / 1000 - limit_s) + 1),
        )
    )


def _failure_refusal(
    engine: EngineState, error: Exception, reader: CompletionReader
) -> Refusal:
    sent = getattr(error, "sent", True)
    run = RunState.UNKNOWN if sent else RunState.NOT_RUN
    detail = f"engine {engine.name} failed after {reader.tokens} tokens: {error}"
    return Refusal(ErrorKind.BACKEND_SERVER_FAILED, detail[:300], run)
