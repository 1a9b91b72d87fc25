"""What clients may hold together: refusals, closed connections, and room for responses.

The account says what is held; here connections are closed when that exceeds its limit.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import attrs

from celerypulley.client_limits.memory_account import ClientCharge, MemoryAccount
from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import CallerLimits
from celerypulley.decision_log import DecisionLog

__all__ = ["REFUSED_KINDS", "ClientPolicy"]

_SMALL_RESPONSE_BYTES = 16 * 1024
_WAITING_BYTES = 32 * 1024  # read from a server before it is made to wait
_MAX_WAIT_S = 2.5  # servers cut a response that stays unread for some seconds
_LOG_PERIOD_MS = 1_000.0  # for each kind of closed connection
# What a client may exceed: see docs/OPERATIONS.md.
REFUSED_KINDS = ("memory", "head", "body", "invalid", "response", "idle", "accept")
_log = DecisionLog("clients")


@attrs.define(eq=False)
class ClientPolicy:
    """The limits that all client connections of a process share, and their counters.

    `limits()` returns the limits in force. `closed` counts, by kind, the connections
    that were closed and the requests that were refused for a limit.
    """

    account: MemoryAccount
    limits: Callable[[], CallerLimits]
    clock: Clock
    closed: Counter[str] = attrs.Factory(Counter)
    _closers: dict[ClientCharge, Callable[[], None]] = attrs.Factory(dict)
    _waiting: list[tuple[int, asyncio.Future]] = attrs.Factory(list)
    _logged_ms: dict[str, float] = attrs.Factory(dict)
    _suppressed: Counter[str] = attrs.Factory(Counter)

    def open(self, close: Callable[[], None]) -> ClientCharge:
        """Return the charge of a new connection, which `close()` ends at once."""
        charge = self.account.open()
        self._closers[charge] = close
        return charge

    def close(self, charge: ClientCharge) -> None:
        """Drop the charge of a connection."""
        self.account.close(charge)
        self._closers.pop(charge, None)
        self._wake()

    async def reserve(self, charge: ClientCharge, response_bytes: int) -> None:
        """Charge a response that is about to be read, once there is room for it.

        Responses take turns. After `_MAX_WAIT_S`, connections whose clients don't read
        are closed for the first that waits, and those of the others behind it.
        """
        has_room = not self._waiting and self.account.fits(response_bytes)
        if response_bytes > _SMALL_RESPONSE_BYTES and not has_room:
            turn = asyncio.get_running_loop().create_future()
            waiting = (response_bytes, turn)
            self._waiting.append(waiting)
            self.change(charge, response_bytes=_WAITING_BYTES)
            try:
                with suppress(TimeoutError):
                    async with asyncio.timeout(_MAX_WAIT_S):
                        await turn
            finally:
                is_first = self._waiting[0] is waiting
                self._waiting.remove(waiting)
                self._wake()
            if turn.cancelled() and not is_first:
                self._evict(charge)
                return
        self.change(charge, response_bytes=response_bytes)
        self._wake()

    def _wake(self) -> None:
        """Let the first response that waits go on if there is room for it."""
        if not self._waiting:
            return
        response_bytes, turn = self._waiting[0]
        if self.account.fits(response_bytes) and not turn.done():
            turn.set_result(None)

    def change(self, charge: ClientCharge, **parts: int) -> None:
        """Change a charge, then close connections until all charges fit."""
        self.account.change(charge, **parts)
        self._wake()
        if not self.account.is_exceeded:
            return
        for chosen in self.account.choose_evictions():
            self._evict(chosen)

    def _evict(self, charge: ClientCharge) -> None:
        self.record("memory", f"{charge.total_bytes} bytes were held for it")
        close = self._closers.get(charge)
        self.close(charge)
        if close is not None:
            close()

    def record_accept_error(self, error: OSError) -> None:
        """Count and log that a connection was not accepted."""
        self.record("accept", repr(error))

    def record(self, kind: str, reason: str) -> None:
        """Count a closed connection, and log one of each kind in a second."""
        self.closed[kind] += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._logged_ms.get(kind, -_LOG_PERIOD_MS) < _LOG_PERIOD_MS:
            self._suppressed[kind] += 1
            return
        self._logged_ms[kind] = now_ms
        _log.write(
            "client refused",
            reason,
            kind=kind,
            suppressed=self._suppressed.pop(kind, 0),
            held_bytes=self.account.held_bytes,
        )
