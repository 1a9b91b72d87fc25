"""Save the requests of the last window on the disk of a storage host.

If all hosts and storage hosts end at one moment, the disks outlive them. Nothing on a
disk tells how long a machine was off, so the newest request that was saved counts as
admitted just before the next start, and the others keep their distance to it.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.fleet.window_table import WindowRow
from celerypulley.fleet.window_witness import WindowWitness
from celerypulley.storage.window_journal import WindowJournal

__all__ = ["WindowSaver"]

_SAVE_PERIOD_S = 0.25  # the period of the messages that are saved
_MIN_SAVE_PERIOD_S = 0.025  # syncs of 5 ms then take a sixth of the disk's time
_MARK_PERIOD_S = 1.0  # a restart takes rows to be newer by so much at most
_RETRY_S = 1.0
_log = DecisionLog("meter")


class WindowSaver(Service):
    """Save what a witness hears, and restore it when this storage host starts."""

    def __init__(
        self,
        witness: WindowWitness,
        journal: WindowJournal,
        is_first_start: bool,
        clock: Clock,
    ) -> None:
        """Restore what `journal` has.

        If it has no file, nothing is known, unless this `is_first_start` of the fleet.
        """
        super().__init__()
        self.witness = witness
        self.journal = journal
        self.clock = clock
        self.saves = 0
        self._saved_requests_ms = NEVER_MS
        self._executor = ThreadPoolExecutor(1, "window")
        self._restore(is_first_start)

    def _restore(self, is_first_start: bool) -> None:
        saved = self.journal.read()
        if saved is None and not is_first_start:
            return
        rows = []
        for each in saved or ():
            try:
                rows.append(WindowRow.unpack(each))
            except ValueError as error:
                _log.write("saved window skipped", str(error))
        self.witness.restore(rows)
        _log.write("window restored", "this storage host has started", rows=len(rows))

    @Service.task
    async def _save_periodically(self) -> None:
        while not self.should_stop:
            try:
                await self._save()
            except OSError as error:
                _log.write("window not saved", repr(error))
                await self.sleep(_RETRY_S)
                continue
            await self.sleep(_MIN_SAVE_PERIOD_S)
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait for requests to save, or until a row should say that there were none."""
        witness = self.witness
        while not self.should_stop:
            with suppress(TimeoutError):
                await asyncio.wait_for(witness.has_unsaved.wait(), _MARK_PERIOD_S)
                break
            # While saved requests leave the window, a row without any says how far.
            age_ms = self.clock.now_ms() - self._saved_requests_ms
            if age_ms < witness.window_ms:
                return
        with suppress(TimeoutError):
            await asyncio.wait_for(witness.is_save_urgent.wait(), _SAVE_PERIOD_S)

    async def _save(self) -> None:
        now_ms = self.clock.now_ms()
        counts = self.witness.take_unsaved()
        if counts:
            self._saved_requests_ms = now_ms
        if self.journal.needs_replacement():
            rows = [*self.witness.rows(), WindowRow(now_ms, {})]
            await self._run(self.journal.replace, [row.pack() for row in rows])
        else:
            row = WindowRow(now_ms, counts)
            await self._run(self.journal.append, row.pack())
        self.saves += 1

    async def _run(self, write: Callable[..., None], *arguments: object) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, write, *arguments)

    async def on_shutdown(self) -> None:
        """Save what was heard last."""
        with suppress(OSError):
            await self._save()
        self.journal.close()
