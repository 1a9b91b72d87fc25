"""The interface between the forwarder and the HTTP dialect of a front end."""

from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

from celerypulley.errors import ErrorKind
from celerypulley.links.response_parser import ResponseHead
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Dialect", "ForwardedCall", "ResponseMetadata"]


@attrs.frozen(kw_only=True)
class ForwardedCall:
    """Values that the product adds to a request when it forwards it to a server."""

    server: str
    remaining_ms: float
    organisation: str
    priority: int | None
    last_event_id: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """Metadata in the head of a server's response.

    `not_run` means that the server reports that it did not run the request, and
    `wrong_server` that it is not the server to which the request was addressed.
    `leaving` tells whether the server announces that it leaves, or None where the
    announcement cannot be read.
    `is_sealed` means that the response carries the seal of a backend server.
    `running` and `waiting` are its load, or None if it reports none. `slots` is the
    number of calls that it runs at once, and `pace` the factor by which work takes
    longer than usual on its machine at the moment, each None if it reports none.
    `cold_left_ms` is the time for which the server stays cold, or None if it doesn't
    say. `headers` are forwarded to the caller.
    """

    not_run: bool
    wrong_server: bool
    is_sealed: bool
    leaving: bool | None
    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None
    headers: tuple[tuple[bytes, bytes], ...]
    cold_left_ms: int | None = None


@attrs.frozen
class Dialect:
    """The HTTP dialect of one front end, as plain functions.

    `decode(request, body, now_ms)` parses a caller's request and `encode(request,
    call)` serialises it for a server. `response_metadata(head)` parses the head of a
    response. `response_identifiers(headers)` returns the request identifiers that the
    headers of a response state. `status_of` overrides the HTTP status of error kinds.
    """

    decode: Callable[[web.BaseRequest, bytes, float], OpaqueRequest]
    encode: Callable[[OpaqueRequest, ForwardedCall], bytes]
    response_metadata: Callable[[ResponseHead], ResponseMetadata]
    response_identifiers: Callable[[Any], list[str]]
    status_of: dict[ErrorKind, int] = attrs.Factory(dict)
