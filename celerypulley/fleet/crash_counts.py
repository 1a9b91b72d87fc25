"""Crashes of backend servers by request, counted across the fleet."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["CrashCounts", "request_fingerprint"]

_CRASH_LIMIT = 3  # one request may crash at most three servers
_MAX_FINGERPRINTS = 256
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


class CrashCounts:
    """Count servers that were lost while they ran a request, by its fingerprint."""

    def __init__(
        self, read_peer_counts: Callable[[], Iterable[dict[str, int]]]
    ) -> None:
        """Add the counts that `read_peer_counts()` returns to those of this host."""
        self.read_peer_counts = read_peer_counts
        self.own_counts: OrderedDict[str, int] = OrderedDict()

    def record_crash(self, fingerprint: str, server: str) -> None:
        """Count a server that was lost while it ran a request."""
        self.own_counts[fingerprint] = self.own_counts.get(fingerprint, 0) + 1
        self.own_counts.move_to_end(fingerprint)
        while len(self.own_counts) > _MAX_FINGERPRINTS:
            self.own_counts.popitem(last=False)
        _log.write(
            "crash counted",
            "server lost during request",
            server=server,
            request=fingerprint,
        )

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError if a request has crashed too many servers."""
        count = self.own_counts.get(fingerprint, 0)
        for peer_counts in self.read_peer_counts():
            count += peer_counts.get(fingerprint, 0)
        if count >= _CRASH_LIMIT:
            raise CallRefusedError.of(
                ErrorKind.QUARANTINED, f"{count} servers were lost during this request"
            )
