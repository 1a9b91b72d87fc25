"""HTTP sessions to one address whose connections may go silent without a reset.

A call without a response says little: the address may be slow or away. So a call that
is overdue has a probe sent on a new connection. If that is answered first, the open
connections are lost: later calls use new ones, and calls that may be repeated are sent
again at once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeVar

import aiohttp
import attrs

from celerypulley.decision_log import DecisionLog
from celerypulley.links.server_session import describe_error, open_server_session

__all__ = ["RenewableSession"]

_PROBE_TIMEOUT_S = 1.0
_Result = TypeVar("_Result")
_log = DecisionLog("store-link")


@attrs.define(eq=False)
class _Connections:
    """The connections of one session, and the calls under way on them.

    `repeatable` are the time limits of the calls that may be sent again.
    """

    session: aiohttp.ClientSession
    is_owned: bool
    has_answered: bool = False
    are_lost: bool = False
    active: int = 0
    repeatable: set[asyncio.Timeout] = attrs.Factory(set)

    def abandon(self) -> None:
        """End the calls that may be repeated; the others wait for their time limit."""
        self.are_lost = True
        now_s = asyncio.get_running_loop().time()
        for limit in self.repeatable:
            if not limit.expired():
                limit.reschedule(now_s)

    async def close_if_unused(self) -> None:
        """Close a lost session after its last call."""
        if self.are_lost and self.is_owned and not self.active:
            await self.session.close()


class RenewableSession:
    """Run calls on kept connections, which are replaced once they have gone silent."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        probe: Callable[[aiohttp.ClientSession], Awaitable[object]],
    ) -> None:
        """Use `session` first; the caller closes it.

        `probe(session)` makes a short call and raises OSError, aiohttp.ClientError or
        TimeoutError without a response.
        """
        self.renewals = 0
        self._probe = probe
        self._current = _Connections(session, is_owned=False)
        self._probe_task: asyncio.Task | None = None

    async def run(
        self,
        call: Callable[[aiohttp.ClientSession], Awaitable[_Result]],
        expected_s: float,
        timeout_s: float,
        is_repeatable: bool,
    ) -> _Result:
        """Return `call(session)`; raise what it raises, TimeoutError after `timeout_s`.

        It is overdue after `expected_s`. Each repetition has `timeout_s` of its own.
        """
        while True:
            used = self._current
            try:
                async with asyncio.timeout(timeout_s) as limit:
                    if is_repeatable:
                        used.repeatable.add(limit)
                    return await self._run_once(used, call, expected_s)
            except TimeoutError:
                if not is_repeatable or not used.are_lost:
                    raise
            finally:
                used.repeatable.discard(limit)
                await used.close_if_unused()

    async def _run_once(
        self,
        used: _Connections,
        call: Callable[[aiohttp.ClientSession], Awaitable[_Result]],
        expected_s: float,
    ) -> _Result:
        loop = asyncio.get_running_loop()
        overdue = loop.call_later(expected_s, self._check, used)
        overdue_s = overdue.when()
        used.active += 1
        try:
            result = await call(used.session)
        finally:
            overdue.cancel()
            used.active -= 1
        used.has_answered = True
        if loop.time() >= overdue_s and used is self._current:
            self._end_probe()
        return result

    def check_connections(self) -> None:
        """Replace the open connections if a new one is answered while they are not."""
        self._check(self._current)

    def _check(self, used: _Connections) -> None:
        # Before its first answer, a session has no connections that could be lost.
        if used is not self._current or not used.has_answered:
            return
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self._probe_new_connection())

    def _end_probe(self) -> None:
        if self._probe_task is not None:
            self._probe_task.cancel()

    async def _probe_new_connection(self) -> None:
        session = open_server_session()
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await self._probe(session)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            _log.write("connections kept", f"new one: {describe_error(error)}")
            await session.close()
            return
        except asyncio.CancelledError:
            await session.close()
            raise
        lost, self._current = self._current, _Connections(session, is_owned=True)
        self._current.has_answered = True
        self.renewals += 1
        _log.write(
            "connections replaced",
            "a new one was answered while they were silent",
            calls=lost.active,
            repeated=len(lost.repeatable),
        )
        lost.abandon()
        await lost.close_if_unused()

    async def close(self) -> None:
        """Close the session in use, unless it is the caller's."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            with suppress(asyncio.CancelledError):
                await self._probe_task
        if self._current.is_owned:
            await self._current.session.close()
