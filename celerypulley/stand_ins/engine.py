"""A stand-in for a model engine with a chat-completions API.

A completion begins with the number of messages and a digest of the conversation, so
that a client can check which history the engine received.
"""

import asyncio
import hashlib
from collections import deque

import attrs
import orjson
import xxhash
from aiohttp import web

from celerypulley.clock import Clock
from celerypulley.stand_ins.engine_core import (
    EngineCore,
    EngineLimits,
    EngineRequest,
    Segment,
    split_prompt,
)
from celerypulley.stand_ins.invalid_responses import invalid_response

__all__ = ["EngineOptions", "conversation_digest", "make_engine_app"]

_DEFAULT_MAX_TOKENS = 32
_MAX_CACHE_EVENTS = 4_096
_POISON_MARKER = b"poison-request"
_DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class EngineOptions:
    """Settings of one simulated engine.

    `speed` divides the duration of every step, `load_lag_ms` delays load reports,
    `event_gap` drops every n-th cache event (0: none), and `overrun_tokens` is the
    number of tokens generated beyond `max_tokens`. An engine that ignores fencing
    accepts release requests with an outdated fencing number. `crashes_on_poison`
    makes a request that contains the poison marker crash the engine.
    """

    models: tuple[str, ...] = ("agent-70b",)
    speed: float = 1.0
    load_lag_ms: float = 500.0
    event_gap: int = 0
    ignores_fencing: bool = False
    overrun_tokens: int = 0
    crashes_on_poison: bool = True


@attrs.define
class EngineFaults:
    """The entries of `INVALID_RESPONSES` to respond with, empty for none.

    `invalid_response` is sent for a completion, `invalid_load` for a load report. The
    connection stays open.
    """

    invalid_response: str = ""
    invalid_load: str = ""


@attrs.define
class PendingResponse:
    """A response in progress and its generated tokens that are not sent yet."""

    request: EngineRequest
    token_queue: asyncio.Queue


def conversation_digest(messages: list[dict]) -> str:
    """Return a 12-digit digest of the roles and contents of a conversation."""
    hasher = hashlib.sha256()
    for message in messages:
        hasher.update(str(message.get("role")).encode())
        hasher.update(b"\0")
        hasher.update(str(message.get("content")).encode())
        hasher.update(b"\1")
    return hasher.hexdigest()[:12]


class EngineServer:
    """Serve one engine core over HTTP in real time."""

    def __init__(
        self, limits: EngineLimits, options: EngineOptions, clock: Clock
    ) -> None:
        """Start with an idle core of the given limits."""
        self.core = EngineCore(limits)
        self.options = options
        self.clock = clock
        self.pending_responses: dict[EngineRequest, PendingResponse] = {}
        self.request_arrived = asyncio.Event()
        self.newest_fences: dict[str, int] = {}
        self.load_reports: deque[tuple[float, dict]] = deque(maxlen=1_000)
        self.published_events: deque[tuple[int, str, str, int]] = deque(
            maxlen=_MAX_CACHE_EVENTS
        )
        self.last_event_number = 0
        self.request_count = 0
        self.header_names: set[str] = set()
        self.crashed = False
        self.faults = EngineFaults()
        self.transports: set[asyncio.Transport] = set()

    async def run(self, _app: web.Application) -> object:
        """Run the core's steps and record load reports while the application runs."""
        tasks = [
            asyncio.create_task(self._run_steps()),
            asyncio.create_task(self._record_load_reports()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Respond to a chat-completions request, streaming if the body asks for it."""
        raw_body = await request.read()
        if self.crashed or (
            _POISON_MARKER in raw_body and self.options.crashes_on_poison
        ):
            return self._crash(request)
        if self.faults.invalid_response:
            await _send_invalid(request, self.faults.invalid_response)
        body = orjson.loads(raw_body)
        if body.get("model") not in self.options.models:
            return web.json_response(
                {"error": "model not served by this engine"}, status=404
            )
        self.header_names.update(name.lower() for name in request.headers)
        pending = self._submit(body)
        transport = request.transport
        self.transports.add(transport)
        try:
            if body.get("stream"):
                return await self._respond_streaming(request, body, pending)
            return await self._respond_complete(body, pending)
        finally:
            self.core.cancel(pending.request)
            self.pending_responses.pop(pending.request, None)
            self.transports.discard(transport)

    def _crash(self, request: web.Request) -> web.Response:
        """Abort all connections; later requests are aborted too, as after a crash."""
        self.crashed = True
        for transport in self.transports:
            transport.abort()
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def _submit(self, body: dict) -> PendingResponse:
        self.request_count += 1
        messages = [orjson.dumps(message) for message in body["messages"]]
        max_tokens = int(body.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        program = str(body.get("session_id", ""))
        segments = split_prompt(messages)
        request = EngineRequest(
            name=f"r{self.request_count}",
            program=program,
            segments=segments,
            max_tokens=max_tokens + self.options.overrun_tokens,
            priority=float(body.get("priority", 0)),
            processed_tokens=_processed_tokens(body["messages"], segments),
        )
        completion = {"role": "assistant", "content": _completion_text(body, request)}
        hasher = xxhash.xxh64()
        for message in [*messages, orjson.dumps(completion)]:
            hasher.update(message)
        request.completion_hash = hasher.intdigest()
        pending = PendingResponse(request, asyncio.Queue())
        self.pending_responses[request] = pending
        self.core.submit(request, self.clock.now_ms())
        self.request_arrived.set()
        return pending

    async def _respond_streaming(
        self, request: web.Request, body: dict, pending: PendingResponse
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        name = pending.request.name
        words = _completion_words(body, pending.request)
        for word in words:
            await pending.token_queue.get()
            await response.write(_chunk(name, body["model"], {"content": word}, None))
        last = _chunk(name, body["model"], {}, "stop", _usage(pending.request))
        await response.write(last + _DONE_EVENT)
        return response

    async def _respond_complete(
        self, body: dict, pending: PendingResponse
    ) -> web.Response:
        for _ in range(pending.request.max_tokens):
            await pending.token_queue.get()
        message = {
            "role": "assistant",
            "content": _completion_text(body, pending.request),
        }
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        completion = {
            "id": pending.request.name,
            "object": "chat.completion",
            "created": 0,
            "model": body["model"],
            "choices": [choice],
            "usage": _usage(pending.request),
        }
        return web.json_response(completion)

    async def load(self, request: web.Request) -> web.Response:
        """Return the load report of `load_lag_ms` ago, or the oldest one since."""
        if self.crashed:
            return self._crash(request)
        if self.faults.invalid_load:
            await _send_invalid(request, self.faults.invalid_load)
        newest_ms = self.clock.now_ms() - self.options.load_lag_ms
        report = self._current_load()
        for taken_ms, past_report in reversed(self.load_reports):
            report = {**past_report, "age_ms": self.clock.now_ms() - taken_ms}
            if taken_ms <= newest_ms:
                break
        return web.json_response(report)

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events numbered above `since`, without the dropped ones."""
        since = int(request.query.get("since", "0"))
        events = [event for event in self.published_events if event[0] > since]
        return web.json_response({"events": events, "last": self.last_event_number})

    async def sessions(self, _request: web.Request) -> web.Response:
        """Return the cached tokens of each program."""
        return web.json_response(self.core.cached_tokens_by_program())

    async def release(self, request: web.Request) -> web.Response:
        """Evict a program's cache unless the fencing number is outdated."""
        body = orjson.loads(await request.read())
        program, fence = str(body["session_id"]), int(body["fence"])
        newest = self.newest_fences.get(program, 0)
        if fence < newest and not self.options.ignores_fencing:
            return web.json_response(
                {"error": "fencing number is outdated"}, status=409
            )
        self.newest_fences[program] = max(fence, newest)
        return web.json_response({"freed_tokens": self.core.release(program)})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults."""
        self.faults = EngineFaults(**orjson.loads(await request.read()))
        return web.json_response(attrs.asdict(self.faults))

    async def counts(self, _request: web.Request) -> web.Response:
        """Return the counters that tests and benchmarks read."""
        counts = {
            "requests": self.request_count,
            "prefilled_tokens": self.core.prefilled_tokens,
            "reused_tokens": self.core.reused_tokens,
            "repeated_tokens": self.core.repeated_tokens,
            "headers": sorted(self.header_names),
            "dead": self.crashed,
        }
        return web.json_response(counts)

    async def _run_steps(self) -> None:
        while True:
            step = self.core.step(self.clock.now_ms())
            if not step.duration_ms:
                self.request_arrived.clear()
                await self.request_arrived.wait()
                continue
            await asyncio.sleep(step.duration_ms / 1000 / self.options.speed)
            for request in step.emitted:
                pending = self.pending_responses.get(request)
                if pending is not None:
                    pending.token_queue.put_nowait(1)
            self._publish_cache_events()

    def _publish_cache_events(self) -> None:
        for kind, program, tokens in self.core.cache_events:
            self.last_event_number += 1
            gap = self.options.event_gap
            if gap and self.last_event_number % gap == 0:
                continue
            self.published_events.append(
                (self.last_event_number, kind, program, tokens)
            )
        self.core.cache_events.clear()

    async def _record_load_reports(self) -> None:
        while True:
            self.load_reports.append((self.clock.now_ms(), self._current_load()))
            await asyncio.sleep(0.05)

    def _current_load(self) -> dict:
        core = self.core
        waiting_tokens = sum(each.prompt_tokens for each in core.waiting)
        prefill_left = sum(each.remaining_prefill_tokens for each in core.running)
        return {
            "running": len(core.running),
            "waiting": len(core.waiting),
            "prefill_tokens": waiting_tokens + prefill_left,
            "cached_tokens": core.cached_tokens,
            "memory_tokens": core.limits.memory_tokens,
            "models": list(self.options.models),
        }


async def _send_invalid(request: web.Request, name: str) -> None:
    """Write an invalid response, and wait until the client closes the connection."""
    if request.transport is not None:
        request_id = request.headers.get("X-Request-Id", "")
        request.transport.write(invalid_response(name, request_id))
    await asyncio.Event().wait()


def _processed_tokens(messages: list[dict], segments: tuple[Segment, ...]) -> int:
    """Return the tokens up to the last completion, which an engine processed before."""
    processed = 0
    total = 0
    for message, segment in zip(messages, segments, strict=True):
        total += segment.tokens
        if message.get("role") == "assistant":
            processed = total
    return processed


def _completion_words(body: dict, request: EngineRequest) -> list[str]:
    count = len(body["messages"])
    digest = conversation_digest(body["messages"])
    words = [f"n={count} h={digest}"]
    for number in range(1, request.max_tokens):
        words.append(f" w{number}")
    return words


def _completion_text(body: dict, request: EngineRequest) -> str:
    return "".join(_completion_words(body, request))


def _usage(request: EngineRequest) -> dict:
    return {
        "prompt_tokens": request.prompt_tokens,
        "completion_tokens": request.max_tokens,
        "total_tokens": request.prompt_tokens + request.max_tokens,
        "prompt_tokens_details": {"cached_tokens": request.cached_tokens},
    }


def _chunk(
    name: str, model: str, delta: dict, finish: str | None, usage: dict | None = None
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    chunk = {
        "id": name,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def make_engine_app(
    limits: EngineLimits, options: EngineOptions, clock: Clock
) -> web.Application:
    """Return the aiohttp application of an engine."""
    server = EngineServer(limits, options, clock)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/v1/chat/completions", server.chat)
    app.router.add_get("/load", server.load)
    app.router.add_get("/cache_events", server.cache_events)
    app.router.add_get("/sessions", server.sessions)
    app.router.add_post("/release", server.release)
    app.router.add_get("/counts", server.counts)
    app.router.add_post("/faults", server.set_faults)
    app.cleanup_ctx.append(server.run)
    return app
