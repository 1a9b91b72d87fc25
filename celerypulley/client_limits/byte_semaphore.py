"""A semaphore that counts bytes."""

import asyncio
from collections import deque

__all__ = ["ByteSemaphore"]


class ByteSemaphore:
    """Bytes that tasks hold together, first come, first served.

    A task that asks for more than `limit_bytes` gets them once nothing else is held.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Let tasks hold `limit_bytes` at once."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    async def acquire(self, count: int) -> None:
        """Hold `count` bytes once there is room for them."""
        if not self._waiting and self._fits(count):
            self.hold(count)
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append((count, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self.release(count)
            self._wake()  # those behind it may fit
            raise

    def hold(self, count: int) -> None:
        """Hold `count` bytes at once, also beyond the limit."""
        self.held_bytes += count

    def release(self, count: int) -> None:
        """Give back `count` bytes."""
        self.held_bytes -= count
        self._wake()

    def _fits(self, count: int) -> bool:
        return not self.held_bytes or self.held_bytes + count <= self.limit_bytes

    def _wake(self) -> None:
        while self._waiting:
            count, turn = self._waiting[0]
            if not turn.cancelled():
                if not self._fits(count):
                    return
                self.hold(count)
                turn.set_result(None)
            self._waiting.popleft()
