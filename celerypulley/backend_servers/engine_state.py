"""What one host believes of one engine: late reports plus its own sends."""

import enum
from collections import OrderedDict, deque

import attrs

__all__ = ["EngineReport", "EngineState", "EngineTraits", "ServerState"]

_BELIEFS_KEPT = 50_000
_CACHE_HALF_LIFE_MS = 120_000.0
# A server that lost one answer is asked again; one that loses several in a row
# rests for a few calls' time, and at most for the time that a restart takes.
_LOST_PAUSE_MS = 50.0
_MAX_LOST_PAUSE_MS = 1_000.0
# What is believed of a server's pace returns to the ordinary within some seconds
# without an answer, so that it is tried again.
_PACE_HALF_LIFE_MS = 3_000.0
_MAX_PACE = 20.0
_UNREACHABLE_PAUSE_MS = 250.0
_MAX_UNREACHABLE_PAUSE_MS = 2_000.0


class ServerState(enum.Enum):
    """Whether a backend server gets new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class EngineTraits:
    """Rates and sizes of an engine, for the estimate of a call's finish."""

    step_base_ms: float = 18.0
    step_per_sequence_ms: float = 0.12
    prefill_tokens_per_s: float = 14_000.0
    batch_limit: int = 256
    first_token_ms: float = 0.0


@attrs.frozen
class EngineReport:
    """An engine's own report of its load, as late as it is."""

    taken_ms: float = float("-inf")
    running: int = 0
    waiting: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    memory_tokens: int = 0


@attrs.define
class Send:
    """A call that this host sent: when, and the tokens it had to prefill."""

    sent_ms: float
    prefill_tokens: float


@attrs.define(eq=False)
class EngineState:
    """One engine or plain server, as this host sees it.

    `models` names the services instead where the body of requests is not read.
    `probing` says that a request with a strike runs there before its first token.
    `elsewhere` counts the calls that other hosts say they have under way there; a
    report counts for `report_life_ms` after it was taken. `slowness` is how much
    longer than estimated its answers took, as of `paced_ms`. `heard_ms` is when any
    byte of an answer came.
    """

    name: str
    domain: str
    address: str
    models: frozenset[str]
    checks_fencing: bool = True
    traits: EngineTraits = EngineTraits()
    state: ServerState = ServerState.LIVE
    report: EngineReport = EngineReport()
    report_life_ms: float = float("inf")
    in_flight: int = 0
    elsewhere: int = 0
    slowness: float = 1.0
    paced_ms: float = 0.0
    heard_ms: float = 0.0
    failing_until_ms: float = 0.0
    failures: int = 0
    probing: bool = False
    cached: OrderedDict[str, tuple[int, float]] = attrs.Factory(OrderedDict)
    sends: deque[Send] = attrs.Factory(deque)
    unseen_tokens: float = 0.0

    def note_send(self, now_ms: float, prefill_tokens: float) -> None:
        """Count a call that the next reports do not show yet."""
        self.in_flight += 1
        self.sends.append(Send(now_ms, prefill_tokens))
        self.unseen_tokens += prefill_tokens

    def note_end(self) -> None:
        """Count a call's end."""
        self.in_flight -= 1

    def note_report(self, report: EngineReport) -> None:
        """Take in a report and forget the sends that it covers."""
        if report.taken_ms <= self.report.taken_ms:
            return
        self.report = report
        while self.sends and self.sends[0].sent_ms <= report.taken_ms:
            self.unseen_tokens -= self.sends.popleft().prefill_tokens

    def sequences(self, now_ms: float) -> int:
        """Return the calls that run or wait there, by the newest of what is known."""
        counted = self.in_flight + self.elsewhere
        report = self.report
        if now_ms - report.taken_ms > self.report_life_ms:
            return counted
        return max(counted, report.running + report.waiting + len(self.sends))

    def pace(self, now_ms: float) -> float:
        """Return how much longer than estimated a call will probably take."""
        fade = 0.5 ** ((now_ms - self.paced_ms) / _PACE_HALF_LIFE_MS)
        return 1.0 + (self.slowness - 1.0) * fade

    def note_pace(
        self, now_ms: float, took_ms: float, estimated_ms: float, gain: float
    ) -> None:
        """Learn from an answer how fast the server is; `gain` is what it counts."""
        seen = min(_MAX_PACE, took_ms / max(1.0, estimated_ms))
        believed = self.pace(now_ms)
        self.slowness = believed + (seen - believed) * gain
        self.paced_ms = now_ms

    def note_cached(self, program: str, tokens: int, now_ms: float) -> None:
        """Believe that a program's prompt is cached up to `tokens`."""
        self.cached[program] = (tokens, now_ms)
        self.cached.move_to_end(program)
        while len(self.cached) > _BELIEFS_KEPT:
            self.cached.popitem(last=False)

    def note_evicted(self, program: str, tokens: int) -> None:
        """Take in an eviction event; events may be late or missing."""
        believed = self.cached.get(program)
        if believed is None:
            return
        left = believed[0] - tokens
        if left <= 0:
            del self.cached[program]
            return
        self.cached[program] = (left, believed[1])

    def believed_cached(self, program: str, now_ms: float) -> float:
        """Return the tokens probably still cached; a belief decays with time."""
        believed = self.cached.get(program)
        if believed is None:
            return 0.0
        tokens, at_ms = believed
        return tokens * 0.5 ** ((now_ms - at_ms) / _CACHE_HALF_LIFE_MS)

    def note_failure(self, now_ms: float) -> None:
        """Avoid a server that failed, longer with each failure in a row."""
        self.failures += 1
        pause_ms = min(500.0 * 2**self.failures, 15_000.0)
        self.failing_until_ms = now_ms + pause_ms

    def note_success(self) -> None:
        """Trust the server again."""
        self.failures = 0
        self.failing_until_ms = 0.0

    def note_lost_answer(self, now_ms: float) -> None:
        """Rest a server that breaks off answers one after the other."""
        self.failures += 1
        if self.failures > 1:
            pause_ms = min(_LOST_PAUSE_MS * 2**self.failures, _MAX_LOST_PAUSE_MS)
            self.failing_until_ms = now_ms + pause_ms

    def note_unreachable(self, now_ms: float) -> None:
        """Avoid a server to which no connection opens."""
        self.failures += 1
        pause_ms = _UNREACHABLE_PAUSE_MS * 2 ** min(self.failures, 8)
        self.failing_until_ms = now_ms + min(pause_ms, _MAX_UNREACHABLE_PAUSE_MS)
