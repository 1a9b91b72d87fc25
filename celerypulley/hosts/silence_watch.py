"""Ending calls at servers that have gone silent, where they may run elsewhere."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from mode import Service

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.server_connection import ServerCall

__all__ = ["SilenceWatch"]

_PERIOD_S = 0.1
# A model engine makes an event every 30 ms and answers within 100 ms (site sheets);
# one that says nothing on any connection for this long is lost or cut off.
_SILENT_MS = 400.0
_log = DecisionLog("silence")


@attrs.frozen(eq=False)
class _Watched:
    call: ServerCall
    server: EngineState
    since_ms: float


class SilenceWatch(Service):
    """Break off calls whose server says nothing to anyone."""

    def __init__(self, clock: Clock) -> None:
        """Watch nothing yet."""
        super().__init__()
        self.clock = clock
        self._watched: set[_Watched] = set()

    @contextmanager
    def watching(self, call: ServerCall, server: EngineState) -> Iterator[None]:
        """Watch a call that may go on at another server."""
        watched = _Watched(call, server, self.clock.now_ms())
        self._watched.add(watched)
        try:
            yield
        finally:
            self._watched.discard(watched)

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(_PERIOD_S)
            now_ms = self.clock.now_ms()
            for watched in list(self._watched):
                last_ms = max(watched.since_ms, watched.server.heard_ms)
                if now_ms - last_ms < _SILENT_MS:
                    continue
                self._watched.discard(watched)
                watched.server.note_unreachable(now_ms)
                _log.write(
                    "broken off",
                    f"no byte for {now_ms - last_ms:.0f} ms",
                    server=watched.server.name,
                )
                watched.call.abort()
