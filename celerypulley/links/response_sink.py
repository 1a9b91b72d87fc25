"""Where an answer goes, whoever carries it."""

from typing import Protocol

__all__ = ["ResponseSink", "CallerDisconnectedError"]


class CallerDisconnectedError(Exception):
    """The caller does not read its answer any more."""


class ResponseSink(Protocol):
    """The way back to a caller, over HTTP or a peer link."""

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; raise CallerGoneError."""

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body; raise CallerGoneError."""
