"""Timing and memory model of an engine with continuous batching.

The core has no clock and no network: a server runs its steps in real time, and the
experiment tool runs them in virtual time.
"""

import itertools
from collections import OrderedDict

import attrs
import xxhash

__all__ = [
    "EngineCore",
    "EngineLimits",
    "EngineRequest",
    "Segment",
    "StepResult",
    "split_prompt",
]

_BYTES_PER_TOKEN = 4


@attrs.frozen
class EngineLimits:
    """Step times, rates and memory of one engine with eight accelerators."""

    step_base_ms: float = 18.0
    step_per_sequence_ms: float = 0.12
    prefill_tokens_per_s: float = 14_000.0
    prefill_chunk_tokens: int = 2_048
    memory_tokens: int = 1_300_000
    batch_limit: int = 256


@attrs.frozen
class Segment:
    """One message of a prompt: its tokens and the hash of the prompt up to its end."""

    prefix_hash: int
    tokens: int


@attrs.define(eq=False)
class EngineRequest:
    """A generation request and its progress.

    `processed_tokens` counts the prompt tokens that earlier requests of the same
    program have prefilled or generated on any engine. `completion_hash` is the prefix
    hash under which the completion is cached, 0 where it is not cached. Requests of
    equal priority run in the order of `sequence`.
    """

    name: str
    program: str
    segments: tuple[Segment, ...]
    max_tokens: int
    priority: float = 0.0
    arrived_ms: float = 0.0
    completion_hash: int = 0
    cached_tokens: int = 0
    processed_tokens: int = 0
    remaining_prefill_tokens: int = 0
    generated_tokens: int = 0
    first_token_ms: float | None = None
    sequence: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt."""
        return sum(segment.tokens for segment in self.segments)


@attrs.frozen
class StepResult:
    """The result of one step of the batch.

    `emitted` lists the requests that got a token, `finished` those of them that are
    complete.
    """

    duration_ms: float
    emitted: tuple[EngineRequest, ...]
    finished: tuple[EngineRequest, ...]


@attrs.define
class CacheEntry:
    """A cached message; `reference_count` counts the running requests that use it."""

    tokens: int
    program: str
    reference_count: int = 0
    last_used_ms: float = 0.0


def split_prompt(messages: list[bytes]) -> tuple[Segment, ...]:
    """Return the segments of a prompt, each hashed with all preceding ones."""
    hasher = xxhash.xxh64()
    segments = []
    for message in messages:
        hasher.update(message)
        tokens = max(1, len(message) // _BYTES_PER_TOKEN)
        segments.append(Segment(hasher.intdigest(), tokens))
    return tuple(segments)


class EngineCore:
    """A batch of running requests, a queue, and a prefix cache of limited size."""

    def __init__(self, limits: EngineLimits) -> None:
        """Start with an empty batch, queue and cache."""
        self.limits = limits
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.cache: OrderedDict[int, CacheEntry] = OrderedDict()
        self.cached_tokens = 0
        self.active_tokens = 0
        self.prefilled_tokens = 0
        self.reused_tokens = 0
        self.repeated_tokens = 0
        self.cache_events: list[tuple[str, str, int]] = []
        self._sequence_numbers = itertools.count()

    def submit(self, request: EngineRequest, now_ms: float) -> None:
        """Queue a request after those of equal or more urgent (lower) priority."""
        request.arrived_ms = now_ms
        request.sequence = next(self._sequence_numbers)
        self.waiting.append(request)
        self.waiting.sort(key=lambda each: (each.priority, each.sequence))

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request; the segments it prefilled stay cached."""
        if request in self.waiting:
            self.waiting.remove(request)
            return
        if request in self.running:
            self._remove_running(request, 0.0)

    def step(self, now_ms: float) -> StepResult:
        """Run one step of the batch; its duration is 0 where nothing runs."""
        self._admit(now_ms)
        if not self.running:
            return StepResult(0.0, (), ())
        chunk_limit = self.limits.prefill_chunk_tokens
        prefilled_tokens = 0
        emitted = []
        for request in self.running:
            if request.remaining_prefill_tokens > 0:
                chunk_tokens = min(
                    request.remaining_prefill_tokens, chunk_limit - prefilled_tokens
                )
                request.remaining_prefill_tokens -= chunk_tokens
                prefilled_tokens += chunk_tokens
            if request.remaining_prefill_tokens == 0:
                request.generated_tokens += 1
                emitted.append(request)
        self.prefilled_tokens += prefilled_tokens
        duration_ms = (
            self.limits.step_base_ms
            + self.limits.step_per_sequence_ms * len(self.running)
            + prefilled_tokens / self.limits.prefill_tokens_per_s * 1000
        )
        end_ms = now_ms + duration_ms
        finished = []
        for request in emitted:
            self.active_tokens += 1
            if request.first_token_ms is None:
                request.first_token_ms = end_ms
            if request.generated_tokens >= request.max_tokens:
                finished.append(request)
        for request in finished:
            self._remove_running(request, end_ms)
        return StepResult(duration_ms, tuple(emitted), tuple(finished))

    def cached_prefix_tokens(self, segments: tuple[Segment, ...]) -> int:
        """Return the number of leading tokens of a prompt that are cached."""
        cached_tokens = 0
        for segment in segments:
            if segment.prefix_hash not in self.cache:
                break
            cached_tokens += segment.tokens
        return cached_tokens

    def release(self, program: str) -> int:
        """Evict the unused cache entries of a program; return the tokens freed."""
        freed_tokens = 0
        for prefix_hash, entry in list(self.cache.items()):
            if entry.program != program or entry.reference_count:
                continue
            freed_tokens += self._evict(prefix_hash)
        return freed_tokens

    def cached_tokens_by_program(self) -> dict[str, int]:
        """Return the number of cached tokens of each program."""
        cached_tokens: dict[str, int] = {}
        for entry in self.cache.values():
            cached_tokens[entry.program] = (
                cached_tokens.get(entry.program, 0) + entry.tokens
            )
        return cached_tokens

    def _admit(self, now_ms: float) -> None:
        while self.waiting and len(self.running) < self.limits.batch_limit:
            request = self.waiting[0]
            request.cached_tokens = self.cached_prefix_tokens(request.segments)
            uncached_tokens = request.prompt_tokens - request.cached_tokens
            if not self._make_room(uncached_tokens + request.max_tokens, request):
                break
            self.waiting.pop(0)
            request.remaining_prefill_tokens = max(1, uncached_tokens)
            self.repeated_tokens += max(
                0, request.processed_tokens - request.cached_tokens
            )
            self.reused_tokens += request.cached_tokens
            self._pin_segments(request, now_ms)
            self.running.append(request)

    def _pin_segments(self, request: EngineRequest, now_ms: float) -> None:
        for segment in reversed(request.segments):
            entry = self.cache.get(segment.prefix_hash)
            if entry is None:
                entry = CacheEntry(segment.tokens, request.program)
                self.cache[segment.prefix_hash] = entry
                self.cached_tokens += segment.tokens
                self.cache_events.append(("stored", request.program, segment.tokens))
            entry.reference_count += 1
            entry.last_used_ms = now_ms
            self.cache.move_to_end(segment.prefix_hash)

    def _remove_running(self, request: EngineRequest, now_ms: float) -> None:
        self.running.remove(request)
        self.active_tokens -= request.generated_tokens
        for segment in reversed(request.segments):
            entry = self.cache.get(segment.prefix_hash)
            if entry is None:
                continue
            entry.reference_count -= 1
            entry.last_used_ms = now_ms
        if request.completion_hash and request.generated_tokens:
            self._cache_completion(request, now_ms)

    def _cache_completion(self, request: EngineRequest, now_ms: float) -> None:
        if request.completion_hash in self.cache:
            return
        entry = CacheEntry(request.generated_tokens, request.program, 0, now_ms)
        self.cache[request.completion_hash] = entry
        self.cached_tokens += request.generated_tokens
        self.cache_events.append(("stored", request.program, request.generated_tokens))
        for segment in reversed(request.segments):
            if segment.prefix_hash in self.cache:
                self.cache.move_to_end(segment.prefix_hash)

    def _make_room(self, tokens: int, request: EngineRequest) -> bool:
        needed = {segment.prefix_hash for segment in request.segments}
        limit = self.limits.memory_tokens
        if self.cached_tokens + self.active_tokens + tokens <= limit:
            return True
        for prefix_hash, entry in list(self.cache.items()):
            if entry.reference_count or prefix_hash in needed:
                continue
            self._evict(prefix_hash)
            if self.cached_tokens + self.active_tokens + tokens <= limit:
                return True
        return not self.running

    def _evict(self, prefix_hash: int) -> int:
        entry = self.cache.pop(prefix_hash)
        self.cached_tokens -= entry.tokens
        self.cache_events.append(("evicted", entry.program, entry.tokens))
        return entry.tokens
