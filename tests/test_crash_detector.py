"""What counts as evidence that a server ended while it ran a request."""

import attrs
import pytest

from celerypulley.backend_servers.engine_state import EngineState, ServerState
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.crash_detector import CrashDetector
from celerypulley.hosts.server_directory import Listing
from celerypulley.links.server_connection import Reachability, ServerLinks
from celerypulley.stand_ins.opaque_server import OpaqueServer
from tests.harness import ManualClock, run_clock, wait_until

ACCEPTS, REFUSES, SILENT = Reachability
LISTED, REMOVED, REPLACED = Listing


@attrs.define(eq=False)
class Server:
    """A server as a host sees it: one answer for each look, the last one for good."""

    reachabilities: list[Reachability]
    listings: list[Listing]
    clock: ManualClock = attrs.Factory(ManualClock)
    probe_count: int = 0

    async def probe(self, _address: str) -> Reachability:
        self.probe_count += 1
        return _next(self.reachabilities)

    def find_listing(self, _server: EngineState) -> Listing:
        self.clock.advance(250.0)
        return _next(self.listings)


def _next(answers: list):
    return answers.pop(0) if len(answers) > 1 else answers[0]


@pytest.mark.parametrize(
    ("reachabilities", "listings", "leaving", "crashes"),
    [
        ([REFUSES], [LISTED], False, 1),
        ([SILENT, SILENT, REFUSES], [LISTED], False, 1),
        ([SILENT], [LISTED, LISTED, REMOVED], False, 1),
        ([SILENT], [LISTED, REPLACED], False, 1),
        ([ACCEPTS], [LISTED, LISTED, REPLACED], False, 1),
        ([REFUSES], [LISTED], True, 1),
        ([ACCEPTS], [LISTED], False, 0),
        ([SILENT, ACCEPTS], [LISTED], False, 0),
        ([ACCEPTS], [LISTED, REMOVED], False, 0),
        ([ACCEPTS], [LISTED, REPLACED], True, 0),
        ([SILENT], [LISTED], False, 0),
    ],
)
async def test_crash_is_mistaken_for_a_lost_response_or_the_reverse(
    reachabilities, listings, leaving, crashes
):
    seen = Server(list(reachabilities), list(listings))
    counts = CrashCounts(seen.clock.clock)
    detector = CrashDetector(seen.probe, seen.find_listing, counts, seen.clock.clock)
    detector.period_ms = 0.0
    server = EngineState("s", "a", "", frozenset(), started_ms=7)
    server.state = ServerState.LEAVING if leaving else ServerState.LIVE
    detector.examine("f", server, seen.clock.now_ms)
    await wait_until(lambda: not detector._tasks)
    assert counts.count("f") == crashes
    assert seen.probe_count <= detector.entry_timeout_ms / 250.0


@pytest.mark.parametrize(("is_known", "kept"), [(True, 2), (False, 0)])
async def test_connection_to_a_removed_server_is_kept(is_known, kept):
    server = OpaqueServer("s")
    await server.start()
    links = ServerLinks(run_clock())
    if is_known:
        links._idle[server.address] = []
    for _ in range(2):
        assert await links.probe(server.address) is Reachability.ACCEPTS
    assert len(links._idle.get(server.address, [])) == kept
    links.close()
    await server.stop()
    assert await links.probe(server.address) is Reachability.REFUSES


async def test_examination_outlasts_its_host():
    seen = Server([SILENT], [LISTED])
    clock = seen.clock.clock
    detector = CrashDetector(seen.probe, seen.find_listing, CrashCounts(clock), clock)
    detector.examine("f", EngineState("s", "a", "", frozenset()), seen.clock.now_ms)
    await detector.on_stop()
    await wait_until(lambda: not detector._tasks)
