"""Requests that crashed backend servers, refused by every host.

A crash is the loss of an engine before it returned anything for a request. After two
crashes the request is refused on all hosts, whatever identifier it carries. Crashes are
rare, so each is one write to the key-value store, which every host watches. While the
store is unavailable, a host learns of no crashes but its own.
"""

import hashlib
from contextlib import suppress

import orjson

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.platform_view import QUARANTINE_PREFIX, PlatformView
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError

__all__ = ["Quarantine", "fingerprint_of"]

_CRASH_LIMIT = 2
_RETENTION_MS = 600_000
_WRITE_ATTEMPTS = 8
_MIN_DISTINCTIVE_BYTES = 200
_log = DecisionLog("quarantine")


def fingerprint_of(history_json: bytes, messages_json: bytes) -> str:
    """Return the fingerprint that identifies a request when it is repeated.

    Long new messages are hashed alone, so that a new program does not hide them. Short
    ones are hashed with the history, since many requests share them.
    """
    hasher = hashlib.blake2b(digest_size=12)
    if len(messages_json) < _MIN_DISTINCTIVE_BYTES:
        hasher.update(history_json)
    hasher.update(messages_json)
    return hasher.hexdigest()


class Quarantine:
    """Crashes by fingerprint, those of the fleet and of this host."""

    def __init__(
        self, platform: PlatformLink, view: PlatformView, clock: Clock
    ) -> None:
        """Write through `platform` and read from `view`."""
        self.platform = platform
        self.view = view
        self.clock = clock
        self._own_crashes_ms: dict[str, list[int]] = {}

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes within the retention period."""
        stored = self.view.quarantine.get(fingerprint)
        crash_times_ms = set(self._own_crashes_ms.get(fingerprint, ()))
        if stored is not None:
            crash_times_ms |= set(orjson.loads(stored.value or b"[]"))
        oldest_ms = self.clock.wall_ms() - _RETENTION_MS
        return sum(at_ms > oldest_ms for at_ms in crash_times_ms)

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError for a request in quarantine."""
        count = self.crash_count(fingerprint)
        if count >= _CRASH_LIMIT:
            raise CallRefusedError.of(
                ErrorKind.QUARANTINED,
                f"this request crashed {count} backend servers; "
                f"it is refused for {_RETENTION_MS // 60_000} minutes",
            )

    async def record_crash(self, fingerprint: str, server: str) -> None:
        """Record one crash of a request, on this host and for the fleet."""
        at_ms = self.clock.wall_ms()
        self._own_crashes_ms.setdefault(fingerprint, []).append(at_ms)
        _log.write(
            "crash recorded", "an engine was lost during a request", server=server
        )
        with suppress(PlatformUnavailableError):
            await self._store_crash(fingerprint, at_ms)

    async def _store_crash(self, fingerprint: str, at_ms: int) -> None:
        key = QUARANTINE_PREFIX + fingerprint
        for _ in range(_WRITE_ATTEMPTS):
            item = await self.platform.read(key)
            crash_times_ms = orjson.loads(item.value or b"[]") if item else []
            recent_ms = [
                each for each in crash_times_ms if each > at_ms - _RETENTION_MS
            ]
            value = orjson.dumps([*recent_ms, at_ms])
            if await self.platform.write_if(key, value, item.revision if item else 0):
                return
