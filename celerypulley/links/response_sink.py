"""The interface through which a response is sent to its caller."""

from typing import Protocol

__all__ = ["CallerDisconnectedError", "ResponseSink"]


class CallerDisconnectedError(Exception):
    """The caller no longer reads its response."""


class ResponseSink(Protocol):
    """A response to one caller, over HTTP or a peer link."""

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; raise CallerDisconnectedError."""

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body; raise CallerDisconnectedError."""

    async def reserve_response(self, length: int) -> None:
        """Wait until the host has room for a response of `length` bytes."""

    def hold_response(self, count: int) -> None:
        """Charge `count` more bytes that are kept until the caller has taken them.

        Raise CallerDisconnectedError.
        """
