"""Parse what a server sends after one request, and find the response to it.

A server may respond to earlier requests once more. Their identifiers tell, and the
connection knows which it has carried.
"""

import re
from collections.abc import Callable
from typing import Any

import attrs
import httptools
from multidict import CIMultiDict, CIMultiDictProxy

from celerypulley.client_limits.head_budget import HeadBudget, HeadCharge
from celerypulley.links.response_status import (
    HeadSequence,
    InvalidResponseError,
    bounded_detail,
)

__all__ = [
    "RequestIdentity",
    "ResponseHead",
    "ResponseParser",
]

_MAX_DISCARDED = 2  # late responses to earlier requests
_MAX_HEADER_BYTES = 16_384  # the largest header that operators allow callers to send
_MAX_HEADERS = 128
_MAX_HEAD_BYTES = 2 * _MAX_HEADER_BYTES
# Without a byte of the response's body: heads, chunk sizes, trailers, late responses.
_MAX_BYTES_WITHOUT_BODY = 1024 * 1024
# A head that ended early is followed by the status line of the next one.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# llhttp also parses RTSP/1.0 and ICE/1.0, and doesn't tell them from HTTP/1.0.
_PROTOCOL = b"HTTP/"


@attrs.frozen
class RequestIdentity:
    """What tells the response to a request from other responses.

    `identifiers_of(headers)` returns the request identifiers that the headers of a
    response state.
    """

    request_id: str
    method: str
    identifiers_of: Callable[[Any], list[str]]


@attrs.frozen
class ResponseHead:
    """Status line and headers of a response, as the server sent them."""

    status: int
    reason: str
    headers: Any  # a case-insensitive multidict
    raw_headers: tuple[tuple[bytes, bytes], ...]
    should_close: bool

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection delimits the body."""
        return (
            "Content-Length" not in self.headers
            and "Transfer-Encoding" not in self.headers
        )


class ResponseParser:
    """The response to one request, with the interim and late ones before it.

    `head` is None until the head of the right response is complete. `has_strays` is
    set if bytes followed the complete response. The `on_` methods are the parser's
    callbacks.
    """

    def __init__(
        self,
        identity: RequestIdentity,
        is_reused: bool,
        report_discarded: Callable[[int, str], None],
        heads: HeadBudget | None = None,
    ) -> None:
        """Await the response to `identity`.

        `is_reused` tells whether the connection has carried requests before. The status
        of a late response, and why it isn't the right one, go to `report_discarded`.
        Heads beyond ordinary ones are charged to `heads`.
        """
        self.identity = identity
        self.is_reused = is_reused
        self.head: ResponseHead | None = None
        self.is_complete = False
        self.has_strays = False
        self.discarded_count = 0
        self.buffered_bytes = 0
        self._report_discarded = report_discarded
        self._body: list[bytes] = []
        self._bytes_without_body = 0
        self._head_bytes = 0  # of the head or trailers that are incomplete
        self._head_charge = HeadCharge(HeadBudget() if heads is None else heads)
        self._heads = HeadSequence()
        self._first_bytes = b""
        self._reason = b""
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._has_head = False
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        # Control characters in the value of a header don't make a response ambiguous.
        self._parser.set_dangerous_leniencies(
            lenient_headers=True,
            lenient_optional_cr_before_lf=True,
            lenient_spaces_after_chunk_size=True,
        )

    def feed(self, data: bytes) -> None:
        """Parse `data`; raise InvalidResponseError.

        A complete response stands whatever follows it.
        """
        assert self._parser is not None, "the response is incomplete"
        self._bytes_without_body += len(data)
        self._head_bytes += len(data)
        self._check_protocol(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                detail = bounded_detail(str(error.__context__ or error))
                raise InvalidResponseError(detail) from error
            self.has_strays = True
        if self.is_complete:
            self.forget_parser()
            return
        if self._bytes_without_body > _MAX_BYTES_WITHOUT_BODY:
            raise InvalidResponseError(
                f"over {_MAX_BYTES_WITHOUT_BODY} bytes without a body"
            )
        self._check_head()

    def _check_head(self) -> None:
        """Limit what the parser keeps of a head, also of a line without an end."""
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise InvalidResponseError(f"over {_MAX_HEAD_BYTES} bytes of a head")
        if not self._head_charge.grow_to(self._head_bytes, len(self._raw_headers)):
            raise InvalidResponseError("the heads of all responses hold too much")

    def feed_end(self) -> None:
        """Take the orderly end of the connection into account."""
        if self.head is not None and self.head.ends_with_connection:
            self.is_complete = True

    def forget_parser(self) -> None:
        """Release the parser, which refers to this object, and what the head held."""
        self._parser = None
        self._head_charge.release()

    def take_body(self) -> bytes:
        """Return the part of the body that has come since the last call."""
        data = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body.clear()
        self.buffered_bytes = 0
        return data

    def on_message_begin(self) -> None:
        """Begin a head, unless the response is complete."""
        self._refuse_strays()
        self._reason = b""
        self._raw_headers = []
        self._has_head = False
        self._head_bytes = 0

    def on_status(self, reason: bytes) -> None:
        """Add to the reason phrase."""
        self._reason += reason
        self._check_line(self._reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or ignore a trailer."""
        if self._has_head:
            return
        self._check_line(name + value)
        if len(self._raw_headers) >= _MAX_HEADERS:
            raise InvalidResponseError(f"over {_MAX_HEADERS} headers")
        self._raw_headers.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Keep the head if it is that of the right response."""
        assert self._parser is not None, "the response is incomplete"
        self._has_head = True
        self._head_bytes = 0
        headers = CIMultiDict(
            (_decode(name), _decode(value)) for name, value in self._raw_headers
        )
        head = ResponseHead(
            self._parser.get_status_code(),
            _decode(self._reason),
            CIMultiDictProxy(headers),
            tuple(self._raw_headers),
            not self._parser.should_keep_alive(),
        )
        version = self._parser.get_http_version()
        if not self._heads.accept(version, head.status, headers):
            return
        mismatch = self._find_mismatch(head)
        if mismatch is not None:
            self._discard(head, mismatch)
            return
        self.head = head
        if self.identity.method == "HEAD":
            self.is_complete = True

    def on_body(self, data: bytes) -> None:
        """Keep a part of the right response's body."""
        self._refuse_strays()
        self._head_bytes = 0
        if self.head is None:
            return
        self._body.append(data)
        self.buffered_bytes += len(data)
        self._bytes_without_body = 0

    def on_message_complete(self) -> None:
        """End the response, if it is the right one."""
        if self.head is not None:
            self.is_complete = True

    def _refuse_strays(self) -> None:
        if self.is_complete:
            raise InvalidResponseError("bytes behind the response")

    def _check_protocol(self, data: bytes) -> None:
        """Check the first bytes, which may follow empty lines."""
        if len(self._first_bytes) == len(_PROTOCOL):
            return
        first_bytes = (self._first_bytes + data).lstrip(b"\r\n")
        self._first_bytes = first_bytes[: len(_PROTOCOL)]
        if not _PROTOCOL.startswith(self._first_bytes):
            raise InvalidResponseError("the bytes of another protocol")

    def _check_line(self, line: bytes) -> None:
        if len(line) > _MAX_HEADER_BYTES:
            raise InvalidResponseError(f"a line over {_MAX_HEADER_BYTES} bytes")
        if _STATUS_LINE.search(line):
            raise InvalidResponseError("the text of two heads in one")

    def _find_mismatch(self, head: ResponseHead) -> str | None:
        """Return why a response belongs to another request, or None."""
        identifiers = set(self.identity.identifiers_of(head.headers))
        if len(identifiers) > 1:
            raise InvalidResponseError("several identifiers in one head")
        if not identifiers:
            return "no identifier" if self.is_reused else None
        if identifiers != {self.identity.request_id}:
            return "other identifier"
        return None

    def _discard(self, head: ResponseHead, mismatch: str) -> None:
        self.discarded_count += 1
        self._report_discarded(head.status, mismatch)
        if self.discarded_count > _MAX_DISCARDED:
            raise InvalidResponseError("only responses to other requests")
        if self.identity.method == "HEAD" or head.should_close:
            raise InvalidResponseError("a late response without a certain end")


def _decode(text: bytes) -> str:
    return text.decode("utf-8", "surrogateescape")
