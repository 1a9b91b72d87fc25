"""Sessions of aiohttp's client whose responses have valid heads.

Everything that the product reads through aiohttp goes through such a session.
"""

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage

from celerypulley.decision_log import DecisionLog
from celerypulley.links.response_status import (
    HeadSequence,
    InvalidResponseError,
    bounded_detail,
)

__all__ = ["CheckedResponse", "describe_error", "open_server_session"]

_HTTP_BAD_GATEWAY = 502  # of aiohttp's error, which is not passed on
_log = DecisionLog("server-link")


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose head, and the interim ones before it, are valid.

    An invalid head raises aiohttp.ClientResponseError from the request; the session
    closes the connection.
    """

    async def start(self, connection: Connection) -> "CheckedResponse":
        """Read the heads up to the final one."""
        protocol = connection.protocol
        # aiohttp skips interim heads itself, so they are seen only where it reads them.
        protocol.read = _HeadReader(protocol).read
        try:
            await super().start(connection)
        except aiohttp.ClientResponseError as error:
            server = f"{self.url.host}:{self.url.port}"
            _log.write("invalid response", bounded_detail(error.message), server=server)
            raise
        finally:
            del protocol.read
        return self


class _HeadReader:
    """Read the heads of one response and check each."""

    def __init__(self, protocol: ResponseHandler) -> None:
        self._read = protocol.read
        self._heads = HeadSequence()

    async def read(self) -> tuple[RawResponseMessage, aiohttp.StreamReader]:
        """Return the next head and its body; raise HttpProcessingError."""
        message, payload = await self._read()
        version = f"{message.version.major}.{message.version.minor}"
        try:
            self._heads.accept(version, message.code, message.headers)
        except InvalidResponseError as error:
            raise HttpProcessingError(
                code=_HTTP_BAD_GATEWAY, message=str(error)
            ) from error
        return message, payload


def open_server_session(force_close: bool = False) -> aiohttp.ClientSession:
    """Return a session; `force_close` opens a connection for each request."""
    connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
    return aiohttp.ClientSession(connector=connector, response_class=CheckedResponse)


def describe_error(error: Exception) -> str:
    """Return a bounded text for an error of a request.

    That of an invalid response has no headers of the request, unlike its repr.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        return bounded_detail(f"invalid response: {error.message}")
    return bounded_detail(repr(error))
