"""Abort calls to servers that have stalled, so that other servers are tried."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from mode import Service

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.links.server_connection import ServerCall

__all__ = ["STALL_TIMEOUT_MS", "StallMonitor"]

_CHECK_PERIOD_S = 0.1
# A model engine responds within 100 ms and sends an event every 30 ms (site sheets). If
# it sends nothing on any connection for this long, it is down or unreachable.
STALL_TIMEOUT_MS = 400.0
_log = DecisionLog("silence")


@attrs.frozen(eq=False)
class _MonitoredCall:
    call: ServerCall
    server: EngineState
    started_ms: float


class StallMonitor(Service):
    """Abort monitored calls whose server sends nothing on any connection."""

    def __init__(self, clock: Clock) -> None:
        """Start without calls to monitor."""
        super().__init__()
        self.clock = clock
        self._calls: set[_MonitoredCall] = set()

    @contextmanager
    def monitor(self, call: ServerCall, server: EngineState) -> Iterator[None]:
        """Monitor a call inside the `with` block."""
        monitored = _MonitoredCall(call, server, self.clock.now_ms())
        self._calls.add(monitored)
        try:
            yield
        finally:
            self._calls.discard(monitored)

    @Service.task
    async def _abort_stalled(self) -> None:
        while not self.should_stop:
            await self.sleep(_CHECK_PERIOD_S)
            now_ms = self.clock.now_ms()
            for monitored in list(self._calls):
                if monitored.call.is_unread:
                    continue
                silent_ms = monitored.server.silent_ms(monitored.started_ms, now_ms)
                if silent_ms < STALL_TIMEOUT_MS:
                    continue
                self._calls.discard(monitored)
                monitored.server.record_unreachable(now_ms)
                _log.write(
                    "aborted",
                    f"server sent nothing for {silent_ms:.0f} ms",
                    server=monitored.server.name,
                )
                monitored.call.abort()
