"""Copy the requests of the last window when this host starts.

They come from another host or, where all hosts have just started, from the witnesses.
Where the witnesses have just started, too, they tell what they saved on their disks.
"""

import asyncio
import random
from collections.abc import Callable

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.fleet.fleet_meter import FleetMeter
from celerypulley.fleet.window_table import (
    WindowReport,
    WindowSource,
    WindowTable,
    merge_tables,
)
from celerypulley.fleet.window_witness import WINDOW_KIND, WindowWitness

__all__ = ["WindowCopier", "WitnessCopier"]

_RETRY_S = 0.05  # a host that starts is heard by others within 250 ms
_EXPECTED_MS = 1_000.0  # a copy that takes longer is not waited for
_MAX_ASKED_HOSTS = 3
_FIRST_MESSAGES_S = 0.6  # two periods of the messages of hosts that admit requests
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
            is_late = self.clock.now_ms() >= expected_until_ms
            if is_late:
                self.meter.copy_ended.set()
            if self.meter.has_rates and await self._try_copy(is_late):
                break
            await self.sleep(_RETRY_S)
        self.meter.copy_ended.set()

    async def _try_copy(self, is_late: bool) -> bool:
        """Copy the window of a host that was heard, or else of the witnesses.

        What witnesses restored is copied once most have answered, since some may have
        saved less than others, or if it `is_late`.
        """
        others = [each for each in self.gossip.members if each != self.datagrams.host]
        heard = [each for each in others if self.gossip.is_reachable(each)]
        if heard:
            reports = await _ask(self.datagrams, [random.choice(heard)])
            if self._copy_from(reports, WindowSource.HEARD):
                return True
        witnesses = self.gossip.witnesses()
        reports = await _ask(self.datagrams, witnesses)
        if self._copy_from(reports, WindowSource.HEARD):
            return True
        if 2 * len(reports) <= len(witnesses) and not is_late:
            return False
        if self._copy_from(reports, WindowSource.RESTORED):
            return True
        if reports:
            # Nobody knows the window, so it may take long.
            self.meter.copy_ended.set()
        return False

    def _copy_from(
        self, reports: dict[str, WindowReport], source: WindowSource
    ) -> bool:
        table = _merge_reports(reports, source, "this host has just started")
        if table is None:
            return False
        self.meter.copy_window(table, source)
        return True

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        # A host that was suspended or cut off has not heard what others admitted since.
        hears_most = self.meter.reachable_fraction() > 0.5
        if not self.meter.knows_window() or not hears_most:
            return WindowReport(WindowSource.NONE).to_payload()
        source = self.meter.window_source()
        return WindowReport(source, self.meter.window_counts()).to_payload()


class WitnessCopier(Service):
    """Give a witness that has just started the window of hosts that ran meanwhile.

    It has not heard what they admitted while its storage host was down, nor what they
    admit between a copy and their first message to it. So it copies the window twice.
    """

    def __init__(self, witness: WindowWitness) -> None:
        """Ask the hosts that the witness knows."""
        super().__init__()
        self.witness = witness

    @Service.task
    async def _copy_window(self) -> None:
        while not await self._try_copy():
            await self.sleep(_RETRY_S)
            if self.should_stop or self.witness.knows_window():
                return
        await self.sleep(_FIRST_MESSAGES_S)
        await self._try_copy()

    async def _try_copy(self) -> bool:
        datagrams = self.witness.datagrams
        hosts = list(datagrams.addresses)
        asked = random.sample(hosts, min(len(hosts), _MAX_ASKED_HOSTS))
        reports = await _ask(datagrams, asked)
        reason = "this storage host has just started"
        table = _merge_reports(reports, WindowSource.HEARD, reason)
        if table is None:
            return False
        self.witness.copy_window(table)
        return True


def _merge_reports(
    reports: dict[str, WindowReport], source: WindowSource, reason: str
) -> WindowTable | None:
    """Return the largest counts of the reports from one source, None without any.

    `reason` tells in the log why they are copied.
    """
    known = {n: each for n, each in reports.items() if each.source is source}
    if not known:
        return None
    names = ",".join(known)
    try:
        merged = merge_tables(each.table for each in known.values())
    except (ValueError, TypeError) as error:
        _log.write("window not copied", repr(error), peer=names)
        return None
    _log.write(
        "window copied",
        reason,
        peer=names,
        source=source.value,
        organisations=len(merged),
        tables=len(known),
    )
    return merged


async def _ask(datagrams: FleetDatagrams, names: list[str]) -> dict[str, WindowReport]:
    """Return the reports of those named that answer."""
    reports = await asyncio.gather(*(_request(datagrams, each) for each in names))
    pairs = zip(names, reports, strict=True)
    return {name: report for name, report in pairs if report is not None}


async def _request(datagrams: FleetDatagrams, name: str) -> WindowReport | None:
    """Return what a host or witness knows of the window, None without an answer."""
    try:
        payload = await datagrams.request(name, WINDOW_KIND, [])
        return WindowReport.from_payload(payload)
    except (NoReplyError, ValueError) as error:
        _log.write("window not copied", repr(error), peer=name)
        return None
