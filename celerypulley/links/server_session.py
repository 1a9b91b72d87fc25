"""Sessions of aiohttp's client whose responses have valid heads.

Everything that the product reads through aiohttp goes through such a session.
"""

import socket

import aiohttp
from aiohttp import AddrInfoType
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.helpers import DEFAULT_CHUNK_SIZE
from aiohttp.http import HttpProcessingError, RawResponseMessage

from celerypulley.decision_log import DecisionLog
from celerypulley.links.response_status import (
    HeadSequence,
    InvalidResponseError,
    bounded_detail,
)

__all__ = ["CheckedResponse", "describe_error", "open_server_session"]

_READ_BYTES = 16 * 1024
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


def open_server_session(
    force_close: bool = False, reads_ahead: bool = True
) -> aiohttp.ClientSession:
    """Return a session; `force_close` opens a connection for each request.

    Unless it `reads_ahead`, little of a response is read before its reader asks for it.
    """
    read_bytes = DEFAULT_CHUNK_SIZE if reads_ahead else _READ_BYTES
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=force_close,
        socket_factory=None if reads_ahead else _open_small_socket,
    )
    return aiohttp.ClientSession(
        connector=connector, response_class=CheckedResponse, read_bufsize=read_bytes
    )


def _open_small_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket whose kernel buffer bounds what one read returns."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
    return opened


def describe_error(error: Exception) -> str:
    """Return a bounded text for an error of a request.

    That of an invalid response has no headers of the request, unlike its repr.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        return bounded_detail(f"invalid response: {error.message}")
    return bounded_detail(repr(error))
