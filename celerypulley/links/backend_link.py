"""The link to backend servers: engines and plain services."""

from collections.abc import AsyncIterator

import aiohttp
import attrs
import orjson

from celerypulley.links.response_sink import ResponseSink
from celerypulley.links.server_session import describe_error

__all__ = ["BackendError", "BackendLink", "PlainResponse"]

_CONNECT_TIMEOUT_S = 1.0


class BackendError(Exception):
    """A backend server gave no complete response.

    `sent` is False only if certainly no byte reached the server. `status` is the
    server's own error status, or None if the connection failed or the head of the
    response was invalid; in the latter case `is_invalid` is set.
    """

    def __init__(
        self,
        detail: str,
        sent: bool,
        status: int | None = None,
        is_invalid: bool = False,
    ) -> None:
        """Set the message to `detail`; the others become attributes."""
        super().__init__(detail)
        self.sent = sent
        self.status = status
        self.is_invalid = is_invalid


@attrs.frozen
class PlainResponse:
    """The complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class BackendLink:
    """HTTP client for engines and plain services.

    Redirects are not followed: a request that may not be repeated is sent once. No
    header of a caller is forwarded: the headers of each request are built here.
    """

    def __init__(
        self, session: aiohttp.ClientSession, unpooled_session: aiohttp.ClientSession
    ) -> None:
        """Use `session` for engines and `unpooled_session` for plain services.

        `unpooled_session` opens a new connection for each call.
        """
        self.session = session
        self.unpooled_session = unpooled_session

    async def stream_chat(
        self, address: str, body: bytes, request_id: str, idle_timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Yield the bytes of a streamed chat completion; raise BackendError.

        `idle_timeout_s` limits the wait for each piece of data.
        """
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S, sock_read=idle_timeout_s
        )
        url = f"http://{address}/v1/chat/completions"
        try:
            async with self.session.post(
                url,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    text = (await response.text())[:200]
                    raise BackendError(text, sent=True, status=response.status)
                async for data in response.content.iter_any():
                    yield data
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _backend_error(error) from error

    async def call_plain(
        self,
        address: str,
        path: str,
        body: bytes,
        content_type: str,
        request_id: str,
        timeout_s: float,
        sink: ResponseSink | None = None,
    ) -> PlainResponse:
        """Send one call over its own connection; raise BackendError.

        The response is charged to the caller of `sink`.
        """
        headers = {"X-Request-Id": request_id}
        if content_type:
            headers["Content-Type"] = content_type
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        chunks: list[bytes] = []
        try:
            async with self.unpooled_session.post(
                f"http://{address}{path}",
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if sink is not None:
                    await sink.reserve_response(response.content_length or 0)
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
                    if sink is not None:
                        sink.hold_response(len(chunk))
                return PlainResponse(
                    response.status,
                    response.headers.get("Content-Type", ""),
                    b"".join(chunks),
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _backend_error(error) from error
        finally:
            chunks.clear()  # exceptions refer to this frame

    async def read_json(self, address: str, path: str, timeout_s: float) -> dict | list:
        """Return a JSON report of a server; raise BackendError."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.get(
                f"http://{address}{path}", timeout=timeout, allow_redirects=False
            ) as response:
                raw = await response.read()
                if response.status != 200:
                    raise BackendError(f"{path} answered {response.status}", True)
                return orjson.loads(raw)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise _backend_error(error) from error

    async def post_json(self, address: str, path: str, body: dict) -> int:
        """Post a JSON command and return the status; raise BackendError."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self.session.post(
                f"http://{address}{path}",
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendError(repr(error), sent=True) from error


def _backend_error(error: Exception) -> BackendError:
    return BackendError(
        describe_error(error),
        sent=not isinstance(error, aiohttp.ClientConnectorError),
        is_invalid=isinstance(error, aiohttp.ClientResponseError),
    )
