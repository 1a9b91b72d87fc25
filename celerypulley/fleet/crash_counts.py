"""Crashes of backend servers by request, counted across the fleet.

The mark of a crash follows from the start of the server that ended, so that it counts
once for a request, however many hosts saw it and however often it is heard. A host
announces the crashes that it saw. Those of requests that crashed two servers or more
are announced by all hosts, so that a host which starts learns of them from any other.
"""

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["CrashCounts", "request_fingerprint"]

_CRASH_LIMIT = 3  # one request may crash at most three servers
_RELAY_LIMIT = 2  # a crash that concerns one request only is rarely heard of twice
_MAX_FINGERPRINTS = 1_024
# Recent crashes are part of all messages of this time, older ones of some, in turn.
_ANNOUNCED_FOR_MS = 6_000.0  # four messages of a fleet of 171 hosts
_RECENT_PER_MESSAGE = 16  # 500 bytes
_OLDER_PER_MESSAGE = 4
_MARK_BYTES = 4
_log = DecisionLog("strikes")


def request_fingerprint(
    request: OpaqueRequest, organisation: str, history: bytes = b""
) -> str:
    """Return a digest by which a request is recognised when it comes again.

    It comes with the same method, path, organisation and body, and continues the same
    `history`, which servers get before the body. What else belongs to a request, such
    as its program, its query or the name of the turn that it continues, may differ.
    """
    hasher = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.path, organisation):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(history)
    hasher.update(request.body)
    return hasher.hexdigest()


def _crash_mark(server: str, started_ms: int) -> bytes:
    start = f"{server}/{started_ms}".encode()
    return hashlib.blake2b(start, digest_size=_MARK_BYTES).digest()


@attrs.define(eq=False)
class _Crashes:
    """The marks of one request's crashes, and when the last one was learned."""

    changed_ms: float
    marks: set[bytes] = attrs.Factory(set)
    is_own: bool = False


class CrashCounts:
    """Count servers that ended while they ran a request, by its fingerprint."""

    def __init__(self, clock: Clock) -> None:
        """Start without crashes."""
        self.clock = clock
        self._crashes: OrderedDict[str, _Crashes] = OrderedDict()
        self._next_older = 0

    def count(self, fingerprint: str) -> int:
        """Return how many servers a request is known to have crashed."""
        crashes = self._crashes.get(fingerprint)
        return len(crashes.marks) if crashes else 0

    def record_crash(
        self, fingerprint: str, server: str, started_ms: int, evidence: str
    ) -> None:
        """Count a server that ended while it ran a request.

        `started_ms` is the wall-clock time of the server's start.
        """
        self._add(fingerprint, {_crash_mark(server, started_ms)}, is_own=True)
        _log.write(
            "crash counted",
            evidence,
            server=server,
            fingerprint=fingerprint,
            crashes=self.count(fingerprint),
        )

    def merge(self, table: dict[str, list[bytes]]) -> None:
        """Add the crashes that another host has announced.

        Raise ValueError if a mark has another form.
        """
        for fingerprint, marks in table.items():
            if not all(isinstance(m, bytes) and len(m) == _MARK_BYTES for m in marks):
                raise ValueError(f"marks of crashes must be {_MARK_BYTES} bytes")
            self._add(fingerprint, set(marks), is_own=False)

    def _add(self, fingerprint: str, marks: set[bytes], is_own: bool) -> None:
        now_ms = self.clock.now_ms()
        crashes = self._crashes.get(fingerprint, _Crashes(now_ms))
        if marks <= crashes.marks or len(crashes.marks) >= _CRASH_LIMIT:
            return
        crashes.marks |= marks
        crashes.changed_ms = now_ms
        crashes.is_own |= is_own
        self._crashes[fingerprint] = crashes
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > _MAX_FINGERPRINTS:
            # The oldest of the requests with the fewest crashes.
            del self._crashes[min(self._crashes, key=self.count)]

    def to_announce(self) -> dict[str, list[bytes]]:
        """Return the crashes for the next message to other hosts."""
        recent_since_ms = self.clock.now_ms() - _ANNOUNCED_FOR_MS
        recent: list[str] = []
        older: list[str] = []
        for fingerprint, crashes in self._crashes.items():
            if not crashes.is_own and len(crashes.marks) < _RELAY_LIMIT:
                continue
            is_recent = crashes.changed_ms >= recent_since_ms
            (recent if is_recent else older).append(fingerprint)
        announced = heapq.nlargest(_RECENT_PER_MESSAGE, recent, key=self.count)
        announced += self._take_in_turn(older)
        return {each: sorted(self._crashes[each].marks) for each in announced}

    def _take_in_turn(self, fingerprints: list[str]) -> Iterable[str]:
        for _ in range(min(len(fingerprints), _OLDER_PER_MESSAGE)):
            self._next_older = (self._next_older + 1) % len(fingerprints)
            yield fingerprints[self._next_older]

    def find_refusal(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that has crashed too many servers."""
        count = self.count(fingerprint)
        if count < _CRASH_LIMIT:
            return None
        return Refusal(
            ErrorKind.QUARANTINED, f"{count} servers ended during this request"
        )

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError if a request has crashed too many servers."""
        refusal = self.find_refusal(fingerprint)
        if refusal is not None:
            raise CallRefusedError(refusal)
