"""What a front end must tell of its messages, so that the product can forward them."""

from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

from celerypulley.errors import ErrorKind
from celerypulley.links.server_connection import ResponseHead
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Dialect", "ForwardedCall", "ResponseMetadata"]


@attrs.frozen(kw_only=True)
class ForwardedCall:
    """What the product adds to a request on its way to one server."""

    server: str
    remaining_ms: float
    organisation: str
    priority: int | None
    last_event_id: str
    body: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the head of a server's answer says.

    `not_run` is the server's word that it did not run the request. `running` and
    `waiting` are its load, None where it tells none. `headers` are to be passed on.
    """

    not_run: bool
    wrong_server: bool
    is_sealed: bool
    running: int | None
    waiting: int | None
    headers: tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Dialect:
    """The translation of one front end, as plain functions.

    `decode(request, body, now_ms)` reads a caller's request, `encode(request,
    call)` writes it for a server, `says(head)` reads an answer's head, and
    `answers(request_id)` makes the test whether an answer belongs to a request.
    """

    decode: Callable[[web.BaseRequest, bytes, float], OpaqueRequest]
    encode: Callable[[OpaqueRequest, ForwardedCall], bytes]
    response_metadata: Callable[[ResponseHead], ResponseMetadata]
    response_matcher: Callable[[str], Callable[[Any], bool]]
    status_of: dict[ErrorKind, int] = attrs.Factory(dict)
