"""Copy the requests of the last window when this host starts.

They come from another host or, where all hosts have just started, from the witnesses.
"""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.fleet.fleet_meter import FleetMeter
from celerypulley.fleet.window_table import WindowTable, merge_tables
from celerypulley.fleet.window_witness import WINDOW_KIND

__all__ = ["WindowCopier"]

_RETRY_S = 0.05  # a host that starts is heard by others within 250 ms
_EXPECTED_MS = 1_000.0  # a copy that takes longer is not waited for
_log = DecisionLog("meter")


class WindowCopier(Service):
    """Give a meter that has just started the window of others.

    It also serves this host's window to others, once this host knows it.
    """

    def __init__(
        self, meter: FleetMeter, datagrams: FleetDatagrams, gossip: FleetGossip
    ) -> None:
        """Handle the requests of other hosts; the witnesses are those of `gossip`."""
        super().__init__()
        self.meter = meter
        self.datagrams = datagrams
        self.gossip = gossip
        self.clock = meter.clock
        # Returns whether there are storage hosts; may be replaced.
        self.has_witnesses: Callable[[], bool] = lambda: False
        datagrams.handlers[WINDOW_KIND] = self._handle_request

    async def on_start(self) -> None:
        """Let requests wait for the copy."""
        if self.has_witnesses():
            self.meter.copy_ended.clear()

    @Service.task
    async def _copy_window(self) -> None:
        expected_until_ms = self.clock.now_ms() + _EXPECTED_MS
        while not self.should_stop and not self.meter.knows_window():
            if self.clock.now_ms() >= expected_until_ms:
                self.meter.copy_ended.set()
            if self.meter.has_rates and await self._try_copy():
                break
            if self.meter.has_rates and self.gossip.witnesses():
                # Nobody who was asked knows the window, so it may take long.
                self.meter.copy_ended.set()
            await self.sleep(_RETRY_S)
        self.meter.copy_ended.set()

    async def _try_copy(self) -> bool:
        """Copy the window of a host that was heard, or else of the witnesses."""
        others = [each for each in self.gossip.members if each != self.datagrams.host]
        heard = [each for each in others if self.gossip.is_reachable(each)]
        if heard and await self._copy_from([random.choice(heard)]):
            return True
        return await self._copy_from(self.gossip.witnesses())

    async def _copy_from(self, names: list[str]) -> bool:
        """Copy the largest counts of those named; return False if none knows any."""
        replies = await asyncio.gather(*(self._request(each) for each in names))
        tables = [each for each in replies if each is not None]
        try:
            merged = merge_tables(tables)
        except (ValueError, TypeError) as error:
            _log.write("window not copied", repr(error), peer=",".join(names))
            return False
        if not tables:
            return False
        self.meter.copy_window(merged)
        _log.write(
            "window copied",
            "this host has just started",
            peer=",".join(names),
            organisations=len(merged),
            tables=len(tables),
        )
        return True

    async def _request(self, name: str) -> WindowTable | None:
        """Return the window that a host or witness knows, None without any."""
        try:
            knows_window, table = await self.datagrams.request(name, WINDOW_KIND, [])
        except (NoReplyError, ValueError, TypeError) as error:
            _log.write("window not copied", repr(error), peer=name)
            return None
        return table if knows_window and isinstance(table, dict) else None

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        # A host that was suspended or cut off has not heard what others admitted since.
        hears_most = self.meter.reachable_fraction() > 0.5
        if not self.meter.knows_window() or not hears_most:
            return [False, {}]
        return [True, self.meter.window_counts()]
