"""Crashes of backend servers by request, counted across the fleet.

Each crash has a random mark, and hosts relay the marks that they have heard. So a crash
counts once, and none is forgotten with the host that saw it while another one lives.
"""

import hashlib
import heapq
import secrets
from collections import OrderedDict

import attrs

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["CrashCounts", "request_fingerprint"]

_CRASH_LIMIT = 3  # one request may crash at most three servers
_MAX_FINGERPRINTS = 1_024
# Recent crashes are part of all messages of this time, older ones of some, in turn.
_ANNOUNCED_FOR_MS = 2_000.0
_OLDER_PER_MESSAGE = 16
_RECENT_PER_MESSAGE = 128  # 6 KB with three marks each
_log = DecisionLog("strikes")


def request_fingerprint(request: OpaqueRequest) -> str:
    """Return a digest by which a repeated request is recognised."""
    hasher = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.target, request.api_key, request.program):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(request.previous_turn.encode())
    hasher.update(request.body)
    return hasher.hexdigest()


@attrs.define(eq=False)
class _Crashes:
    """The marks of one request's crashes, and when the last one was learned."""

    marks: set[str]
    changed_ms: float


class CrashCounts:
    """Count servers that were lost while they ran a request, by its fingerprint."""

    def __init__(self, clock: Clock) -> None:
        """Start without crashes."""
        self.clock = clock
        self._crashes: OrderedDict[str, _Crashes] = OrderedDict()
        self._next_older = 0

    def count(self, fingerprint: str) -> int:
        """Return how many servers a request is known to have crashed."""
        crashes = self._crashes.get(fingerprint)
        return len(crashes.marks) if crashes else 0

    def record_crash(self, fingerprint: str, server: str) -> None:
        """Count a server that was lost while it ran a request."""
        self._add(fingerprint, {secrets.token_hex(4)})
        _log.write(
            "crash counted",
            "server lost during request",
            server=server,
            request=fingerprint,
            crashes=self.count(fingerprint),
        )

    def merge(self, table: dict[str, list[str]]) -> None:
        """Add the crashes that another host has announced."""
        for fingerprint, marks in table.items():
            self._add(fingerprint, set(map(str, marks)))

    def _add(self, fingerprint: str, marks: set[str]) -> None:
        crashes = self._crashes.get(fingerprint, _Crashes(set(), 0.0))
        if marks <= crashes.marks or len(crashes.marks) >= _CRASH_LIMIT:
            return
        crashes.marks |= marks
        crashes.changed_ms = self.clock.now_ms()
        self._crashes[fingerprint] = crashes
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > _MAX_FINGERPRINTS:
            # The oldest of the requests with the fewest crashes.
            del self._crashes[min(self._crashes, key=self.count)]

    def to_announce(self) -> dict[str, list[str]]:
        """Return the crashes for the next message to other hosts."""
        recent_since_ms = self.clock.now_ms() - _ANNOUNCED_FOR_MS
        fingerprints = list(self._crashes)
        total = len(fingerprints)
        announced = set()
        for _ in range(min(total, _OLDER_PER_MESSAGE)):
            self._next_older = (self._next_older + 1) % total
            announced.add(fingerprints[self._next_older])
        recent = [
            fingerprint
            for fingerprint in fingerprints
            if self._crashes[fingerprint].changed_ms >= recent_since_ms
        ]
        announced.update(heapq.nlargest(_RECENT_PER_MESSAGE, recent, key=self.count))
        return {each: sorted(self._crashes[each].marks) for each in announced}

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError if a request has crashed too many servers."""
        count = self.count(fingerprint)
        if count >= _CRASH_LIMIT:
            raise CallRefusedError.of(
                ErrorKind.QUARANTINED, f"{count} servers were lost during this request"
            )
