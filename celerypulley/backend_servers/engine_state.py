"""One host's view of a backend server: load reports plus its own calls."""

import enum
from collections import OrderedDict, deque
from collections.abc import Collection

import attrs

from celerypulley.backend_servers.estimates import DurationFactor
from celerypulley.clock import NEVER_MS
from celerypulley.elapsed_time import elapsed_ms

__all__ = [
    "AnnouncementSource",
    "EngineReport",
    "EngineState",
    "EngineTraits",
    "LeavingAnnouncement",
    "RunningCall",
    "ServerState",
    "share_cache_entries",
]

# Of a host's servers together: 5 MB with names of 32 characters.
_MAX_CACHE_ENTRIES = 16_384
_MIN_CACHE_ENTRIES = 64  # of each server
_CACHE_HALF_LIFE_MS = 120_000.0
# After one lost response the server is used again at once. After several in a row
# it is avoided for the duration of a few calls, at most for that of a restart.
_LOST_RESPONSE_BACKOFF_MS = 50.0
_MAX_LOST_RESPONSE_BACKOFF_MS = 1_000.0
# Without responses the estimated slowdown decays to 1 within seconds, so that the
# server is tried again.
_SLOWDOWN_HALF_LIFE_MS = 3_000.0
_MAX_SLOWDOWN = 20.0
# Machines are slow for some hundred milliseconds, so a reported pace soon is outdated.
_PACE_HALF_LIFE_MS = 250.0
# Calls of which only the number is known have on average half their duration left.
_REST_OF_OTHERS = 0.5
# Counts of other hosts are as old as calls last, so a count says less about the present
# than the mean does. Choices by the last count alone send all hosts to one server.
_OTHERS_HALF_LIFE_MS = 2_000.0
_OTHERS_LAST_COUNT_WEIGHT = 0.3
_UNREACHABLE_BACKOFF_MS = 250.0
_MAX_UNREACHABLE_BACKOFF_MS = 2_000.0


class ServerState(enum.Enum):
    """Whether a backend server accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class EngineTraits:
    """Speed and capacity of an engine, for estimating when a call finishes."""

    step_base_ms: float = 18.0
    step_per_sequence_ms: float = 0.12
    prefill_tokens_per_s: float = 14_000.0
    batch_limit: int = 256
    first_token_ms: float = 0.0


@attrs.frozen
class EngineReport:
    """A load report of an engine, measured at `taken_ms` and possibly out of date."""

    taken_ms: float = NEVER_MS
    running: int = 0
    waiting: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    memory_tokens: int = 0


class AnnouncementSource(enum.Enum):
    """Where this host learned that a server announced that it leaves."""

    RESPONSE = "response"
    PEER = "peer"


@attrs.frozen
class LeavingAnnouncement:
    """That a server announced that it leaves, as learned at `learned_ms`."""

    learned_ms: float
    source: AnnouncementSource


@attrs.define
class SentCall:
    """A call sent by this host at `sent_ms` that no load report covers yet."""

    sent_ms: float
    prefill_tokens: float


@attrs.define(eq=False)
class RunningCall:
    """A call in flight from this host that is expected to take `expected_ms`.

    At least `rest_ms` remain while it runs.
    """

    sent_ms: float
    expected_ms: float
    rest_ms: float


@attrs.define(eq=False)
class EngineState:
    """The state of one engine or plain server, as seen by this host.

    `models` holds the names of services where request bodies are not read. A load
    report is used for `max_report_age_ms`. `in_flight_on_others` counts the calls
    that other hosts report as in flight on the server. `slowdown` is the ratio of
    measured to estimated response times, as of `slowdown_updated_ms`.
    `last_received_ms` is the time of the last byte received from the server.
    `speed` has the learned factor of durations on this server. `pace` is the factor
    that it reported at `pace_updated_ms` for the load of its machine. `running_calls`
    are this host's calls with a learned duration. `others_mean` is the decaying mean
    of `in_flight_on_others` up to its last change at `others_changed_ms`.
    `announcement` is set once the server has announced that it leaves.
    `started_ms` is the wall-clock time of its start, 0 if unknown.
    `has_suspect_request` is set while a request with a crash count runs there and
    has not returned its first token.
    """

    name: str
    domain: str
    address: str
    models: frozenset[str]
    checks_fencing: bool = True
    traits: EngineTraits = EngineTraits()
    state: ServerState = ServerState.LIVE
    report: EngineReport = EngineReport()
    max_report_age_ms: float = float("inf")
    in_flight: int = 0
    in_flight_on_others: int = 0
    slowdown: float = 1.0
    slowdown_updated_ms: float = NEVER_MS
    last_received_ms: float = NEVER_MS
    backoff_until_ms: float = NEVER_MS
    consecutive_failures: int = 0
    announcement: LeavingAnnouncement | None = None
    started_ms: int = 0
    has_suspect_request: bool = False
    cache_entries: OrderedDict[str, tuple[int, float]] = attrs.Factory(OrderedDict)
    max_cache_entries: int = _MAX_CACHE_ENTRIES
    unreported_calls: deque[SentCall] = attrs.Factory(deque)
    unreported_tokens: float = 0.0
    speed: DurationFactor = attrs.Factory(DurationFactor)
    pace: float = 1.0
    pace_updated_ms: float = NEVER_MS
    running_calls: set[RunningCall] = attrs.Factory(set)
    others_mean: float = 0.0
    others_changed_ms: float = NEVER_MS

    def record_send(self, now_ms: float, prefill_tokens: float) -> None:
        """Count a call that load reports do not cover yet."""
        self.in_flight += 1
        self.unreported_calls.append(SentCall(now_ms, prefill_tokens))
        self.unreported_tokens += prefill_tokens

    def record_end(self) -> None:
        """Count the end of a call."""
        self.in_flight -= 1

    def apply_report(self, report: EngineReport) -> None:
        """Store a newer load report and drop the calls that it covers."""
        if report.taken_ms <= self.report.taken_ms:
            return
        self.report = report
        while (
            self.unreported_calls
            and self.unreported_calls[0].sent_ms <= report.taken_ms
        ):
            self.unreported_tokens -= self.unreported_calls.popleft().prefill_tokens

    def sequence_count(self, now_ms: float) -> int:
        """Return the number of calls that run or wait on the server.

        This is the larger of two counts: the calls in flight from all hosts, and
        those in the load report plus the calls that it does not cover yet. A report
        older than `max_report_age_ms` is ignored.
        """
        in_flight = self.in_flight + self.in_flight_on_others
        report = self.report
        if now_ms - report.taken_ms > self.max_report_age_ms:
            return in_flight
        return max(
            in_flight, report.running + report.waiting + len(self.unreported_calls)
        )

    def is_full(self, now_ms: float) -> bool:
        """Return whether a call sent now may have to wait for a slot.

        Counts include this call, which is in flight already.
        """
        return self.sequence_count(now_ms) > self.traits.batch_limit

    def expected_slowdown(self, now_ms: float) -> float:
        """Return the expected ratio of actual to estimated response time."""
        age_ms = elapsed_ms(self.slowdown_updated_ms, now_ms, "slowdown of a server")
        decay = 0.5 ** (age_ms / _SLOWDOWN_HALF_LIFE_MS)
        return 1.0 + (self.slowdown - 1.0) * decay

    def record_duration(
        self, now_ms: float, duration_ms: float, estimated_ms: float, gain: float
    ) -> None:
        """Update the slowdown from one response, which is weighted by `gain`."""
        measured = min(_MAX_SLOWDOWN, duration_ms / max(1.0, estimated_ms))
        expected = self.expected_slowdown(now_ms)
        self.slowdown = expected + (measured - expected) * gain
        self.slowdown_updated_ms = now_ms

    def record_pace(self, pace: float, now_ms: float) -> None:
        """Record the factor by which work takes longer on the machine at the moment."""
        self.pace = pace
        self.pace_updated_ms = now_ms

    def expected_pace(self, now_ms: float) -> float:
        """Return the reported pace, which decays to 1; exactly 1 without a report."""
        if self.pace_updated_ms == NEVER_MS:
            return 1.0
        age_ms = elapsed_ms(self.pace_updated_ms, now_ms, "pace of a server")
        return 1.0 + (self.pace - 1.0) * 0.5 ** (age_ms / _PACE_HALF_LIFE_MS)

    def record_others(self, count: int, now_ms: float) -> None:
        """Record the number of calls that other hosts have in flight."""
        self.others_mean = self._mean_of_others(now_ms)
        self.others_changed_ms = now_ms
        self.in_flight_on_others = count

    def _mean_of_others(self, now_ms: float) -> float:
        if self.others_changed_ms == NEVER_MS:
            return self.in_flight_on_others
        age_ms = elapsed_ms(self.others_changed_ms, now_ms, "calls of other hosts")
        decay = 0.5 ** (age_ms / _OTHERS_HALF_LIFE_MS)
        return (
            self.in_flight_on_others
            + (self.others_mean - self.in_flight_on_others) * decay
        )

    def remaining_work_ms(self, now_ms: float, typical_ms: float) -> float:
        """Return the duration at the pace 1 of what all its calls have left.

        Calls of other hosts take `typical_ms` on the service's mean server.
        """
        remaining_ms = 0.0
        for call in self.running_calls:
            elapsed = elapsed_ms(call.sent_ms, now_ms, "call in flight")
            remaining_ms += max(call.expected_ms - elapsed, call.rest_ms)
        last_count = max(0, self.sequence_count(now_ms) - len(self.running_calls))
        mean = self._mean_of_others(now_ms)
        others = mean + (last_count - mean) * _OTHERS_LAST_COUNT_WEIGHT
        return remaining_ms + others * self.typical_rest_ms(typical_ms)

    def typical_rest_ms(self, typical_ms: float) -> float:
        """Return what a call of the typical duration has left here on average."""
        return typical_ms * self.speed.factor * _REST_OF_OTHERS

    def record_cached(self, prefix: str, tokens: int, now_ms: float) -> None:
        """Record that `tokens` tokens of a prompt prefix are cached.

        `prefix` is the name of a program or of a prefix part. The least recently used
        entries beyond `max_cache_entries` are forgotten.
        """
        self.cache_entries[prefix] = (tokens, now_ms)
        self.cache_entries.move_to_end(prefix)
        while len(self.cache_entries) > self.max_cache_entries:
            self.cache_entries.popitem(last=False)

    def record_evicted(self, prefix: str, tokens: int) -> None:
        """Apply an eviction event; events may be late or missing."""
        entry = self.cache_entries.get(prefix)
        if entry is None:
            return
        remaining = entry[0] - tokens
        if remaining <= 0:
            del self.cache_entries[prefix]
            return
        self.cache_entries[prefix] = (remaining, entry[1])

    def estimated_cached_tokens(self, prefix: str, now_ms: float) -> float:
        """Return an estimate of the tokens still cached; it decays with time."""
        entry = self.cache_entries.get(prefix)
        if entry is None:
            return 0.0
        tokens, recorded_ms = entry
        age_ms = elapsed_ms(recorded_ms, now_ms, "cached prefix")
        return tokens * 0.5 ** (age_ms / _CACHE_HALF_LIFE_MS)

    def silent_ms(self, since_ms: float, now_ms: float) -> float:
        """Return how long the server has sent nothing, counted from `since_ms`."""
        return now_ms - max(since_ms, self.last_received_ms)

    def record_failure(self, now_ms: float) -> None:
        """Back off from a failed server, longer after each consecutive failure."""
        self.consecutive_failures += 1
        backoff_ms = min(500.0 * 2**self.consecutive_failures, 15_000.0)
        self.backoff_until_ms = now_ms + backoff_ms

    def record_success(self) -> None:
        """Reset the failure count and end the back-off."""
        self.consecutive_failures = 0
        self.backoff_until_ms = NEVER_MS

    def record_lost_response(self, now_ms: float) -> None:
        """Back off from a server that lost more than one response in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures > 1:
            backoff_ms = min(
                _LOST_RESPONSE_BACKOFF_MS * 2**self.consecutive_failures,
                _MAX_LOST_RESPONSE_BACKOFF_MS,
            )
            self.backoff_until_ms = now_ms + backoff_ms

    def record_unreachable(self, now_ms: float) -> None:
        """Back off from a server to which no connection can be opened."""
        self.consecutive_failures += 1
        backoff_ms = _UNREACHABLE_BACKOFF_MS * 2 ** min(self.consecutive_failures, 8)
        self.backoff_until_ms = now_ms + min(backoff_ms, _MAX_UNREACHABLE_BACKOFF_MS)


def share_cache_entries(servers: Collection[EngineState]) -> None:
    """Set how many cached prefixes are remembered for each of a host's servers."""
    share = _MAX_CACHE_ENTRIES // max(1, len(servers))
    for server in servers:
        server.max_cache_entries = max(_MIN_CACHE_ENTRIES, share)
