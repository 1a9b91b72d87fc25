"""Copy the requests of the last window from another host when this one starts."""

import random

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.fleet.fleet_meter import FleetMeter

__all__ = ["WindowCopier"]

_KIND = "window"
_RETRY_S = 0.05  # a host that starts is heard by others within 250 ms
_log = DecisionLog("meter")


class WindowCopier(Service):
    """Give a meter that has just started the window of another host.

    It also serves this host's window to others, once this host knows it.
    """

    def __init__(
        self, meter: FleetMeter, datagrams: FleetDatagrams, gossip: FleetGossip
    ) -> None:
        """Handle the requests of other hosts."""
        super().__init__()
        self.meter = meter
        self.datagrams = datagrams
        self.gossip = gossip
        datagrams.handlers[_KIND] = self._handle_request

    @Service.task
    async def _copy_window(self) -> None:
        while not self.should_stop and not self.meter.knows_window():
            host = self._pick_host()
            if host and self.meter.has_rates and await self._copy_from(host):
                return
            await self.sleep(_RETRY_S)

    def _pick_host(self) -> str | None:
        """Return another host, one that was heard if there is any."""
        others = [each for each in self.gossip.members if each != self.datagrams.host]
        heard = [each for each in others if self.gossip.is_reachable(each)]
        candidates = heard or others
        return random.choice(candidates) if candidates else None

    async def _copy_from(self, host: str) -> bool:
        """Copy the window of one host; return False if it gives none."""
        try:
            knows_window, table = await self.datagrams.request(host, _KIND, [])
        except (NoReplyError, ValueError) as error:
            _log.write("window not copied", repr(error), peer=host)
            return False
        if not knows_window or not isinstance(table, dict):
            return False
        self.meter.copy_window(table)
        _log.write(
            "window copied",
            "this host has just started",
            peer=host,
            organisations=len(table),
        )
        return True

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        # A host that was suspended or cut off has not heard what others admitted since.
        hears_most = self.meter.reachable_fraction() > 0.5
        if not self.meter.knows_window() or not hears_most:
            return [False, {}]
        return [True, self.meter.window_counts()]
