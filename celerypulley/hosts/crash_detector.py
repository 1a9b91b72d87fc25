"""Whether a server ended while it ran a request, or only its response was lost.

A lost response is no evidence that its server ended: links reset connections, servers
garble or lose responses, and a slow one looks like one that went dark. A server has
ended if it refuses connections, if it is silent and its entry is removed, or if another
start takes its place.
"""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from celerypulley.backend_servers.engine_state import EngineState, ServerState
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.server_directory import Listing
from celerypulley.links.server_connection import Reachability

__all__ = ["CrashDetector"]

# A server that went dark loses its entry after three periods of its heartbeat, and one
# that started again at once has another entry by then.
_ENTRY_TIMEOUT_MS = 5_000.0
_PERIOD_MS = 250.0
_log = DecisionLog("strikes")


class CrashDetector(Service):
    """Examine servers that lost responses, and count the crashes that it finds."""

    def __init__(
        self,
        probe: Callable[[str], Awaitable[Reachability]],
        find_listing: Callable[[EngineState], Listing],
        crash_counts: CrashCounts,
        clock: Clock,
    ) -> None:
        """Connect with `probe(address)`, and look up entries with `find_listing`."""
        super().__init__()
        self.probe = probe
        self.find_listing = find_listing
        self.crash_counts = crash_counts
        self.clock = clock
        self.entry_timeout_ms = _ENTRY_TIMEOUT_MS
        self.period_ms = _PERIOD_MS
        self._tasks: set[asyncio.Task] = set()

    def examine(
        self, fingerprint: str, server: EngineState, began_ms: float
    ) -> asyncio.Task:
        """Find out in a task of its own whether `server` ended during a request.

        `began_ms` is the monotonic time when the server got the request. Return the
        task, which a caller may await.
        """
        task = asyncio.create_task(self._examine(fingerprint, server, began_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def on_stop(self) -> None:
        """End the examinations that are under way."""
        for task in self._tasks:
            task.cancel()

    async def _examine(
        self, fingerprint: str, server: EngineState, began_ms: float
    ) -> None:
        evidence = await self._find_evidence(server)
        if evidence:
            self.crash_counts.record_crash(
                fingerprint, server.name, server.started_ms, began_ms, evidence
            )

    async def _find_evidence(self, server: EngineState) -> str:
        """Return how it is known that a server ended, empty if it did not."""
        give_up_ms = self.clock.now_ms() + self.entry_timeout_ms
        reachability = Reachability.SILENT
        while self.clock.now_ms() < give_up_ms:
            if reachability is Reachability.SILENT:
                reachability = await self.probe(server.address)
            if reachability is Reachability.REFUSES:
                return "the server refuses connections"
            if server.state is ServerState.LEAVING:
                break
            listing = self.find_listing(server)
            if listing is Listing.REPLACED:
                return "another start has the server's address"
            if listing is Listing.REMOVED and reachability is Reachability.SILENT:
                return "the server is silent and its entry was removed"
            await asyncio.sleep(self.period_ms / 1000)
        _log.write(
            "crash ruled out", f"the server {reachability.value}", server=server.name
        )
        return ""
