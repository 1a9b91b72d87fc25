"""Requests that took servers down, counted across the fleet."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["CrashStrikes", "request_fingerprint"]

_STRIKES = 3  # the bound allows three servers to be lost to one request
_KEPT = 256
_log = DecisionLog("strikes")


def request_fingerprint(request: OpaqueRequest) -> str:
    """Return what a request is recognised by when its caller sends it again."""
    hasher = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.target, request.key, request.program):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(request.previous_turn.encode())
    hasher.update(request.body)
    return hasher.hexdigest()


class CrashStrikes:
    """Servers that broke off without an answer, by the request they had."""

    def __init__(self, peers: Callable[[], Iterable[dict[str, int]]]) -> None:
        """Add the counts of other hosts that `peers()` returns."""
        self.peers = peers
        self.own: OrderedDict[str, int] = OrderedDict()

    def strike(self, fingerprint: str, server: str) -> None:
        """Count a server that was lost with a request."""
        self.own[fingerprint] = self.own.get(fingerprint, 0) + 1
        self.own.move_to_end(fingerprint)
        while len(self.own) > _KEPT:
            self.own.popitem(last=False)
        _log.write("strike", "a server broke off", server=server, request=fingerprint)

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError for a request that has taken servers down."""
        count = self.own.get(fingerprint, 0)
        for strikes in self.peers():
            count += strikes.get(fingerprint, 0)
        if count >= _STRIKES:
            raise CallRefusedError.of(
                ErrorKind.QUARANTINED, f"{count} servers broke off with this request"
            )
