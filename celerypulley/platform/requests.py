"""HTTP dialect of the platform: requests of callers, responses of servers."""

import re
from collections.abc import Iterable

from aiohttp import web

from celerypulley.errors import ErrorKind
from celerypulley.links.forward_dialect import Dialect, ForwardedCall, ResponseMetadata
from celerypulley.links.header_text import parse_whole_number
from celerypulley.links.response_parser import ResponseHead
from celerypulley.programs.opaque_request import (
    MAX_PREFIX_NAME_CHARS,
    MAX_PREFIX_PARTS,
    OpaqueRequest,
    PrefixPart,
)

__all__ = ["DIALECT"]

_DEFAULT_DEADLINE_MS = 30_000
_LOAD_FIGURES = 4  # running, waiting, slots and pace in percent
_PACE_LIMITS_PERCENT = (10, 2_000)  # bounds the effect of one wrong figure
_NO_FIGURES = (None,) * _LOAD_FIGURES
_PROGRAM_ID = re.compile(r"[0-9A-Za-z._~-]{1,100}")
# Hop-by-hop headers, and those that the product sets itself or does not forward.
_DROPPED_REQUEST_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        *("Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization"),
        *("TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"),
        *("Api-Key", "Tenant", "Expect-Instance", "Expect-Version", "Deadline-Ms"),
        *("Request-Priority", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch"),
    )
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer"),
        *(b"transfer-encoding", b"upgrade", b"content-length"),
    )
)


def _decode_request(
    request: web.BaseRequest, body: bytes, now_ms: float
) -> OpaqueRequest:
    headers = request.headers
    prompt_tokens, max_tokens = _parse_pair(headers.get("Token-Usage", ""))
    wait_ms = _parse_integer(headers.get("Deadline-Ms", ""), _DEFAULT_DEADLINE_MS)
    # 0 where the program's target has passed.
    program_wait_ms = _parse_integer(headers.get("Program-Deadline-Ms", ""), None)
    return OpaqueRequest(
        request_id=headers.get("Request-Id", ""),
        method=request.method,
        target=request.raw_path,
        http_host=headers.get("Host", "").lower(),
        headers=tuple(_forwarded_headers(request)),
        body=body,
        api_key=headers.get("Api-Key", ""),
        received_ms=now_ms,
        deadline_ms=now_ms + wait_ms,
        last_event_id=headers.get("Last-Event-Id", ""),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=_parse_integer(headers.get("Length-Hint", ""), 0),
        prefix_parts=_parse_prefix(headers.get("Prefix-Hash", "")),
        program=_parse_program_id(headers.get("Program-Id", "")),
        program_deadline_ms=0.0
        if program_wait_ms is None
        else now_ms + program_wait_ms,
        token_budget=_parse_integer(headers.get("Token-Budget", ""), None),
        previous_turn=headers.get("Previous-Turn", ""),
        affinity_key=headers.get("Affinity-Key", ""),
    )


def _forwarded_headers(request: web.BaseRequest) -> Iterable[tuple[bytes, bytes]]:
    listed = request.headers.get("Connection", "").lower().encode()
    connection_headers = {each.strip() for each in listed.split(b",")}
    for name, value in request.raw_headers:
        lowered = name.lower()
        if (
            lowered not in _DROPPED_REQUEST_HEADERS
            and lowered not in connection_headers
        ):
            yield name, value


def _parse_prefix(text: str) -> tuple[PrefixPart, ...]:
    """Return the first parts of a prompt.

    They end before a part with a very long name: what follows counts as not cached.
    """
    parts = []
    for entry in text.split(",", MAX_PREFIX_PARTS)[:MAX_PREFIX_PARTS]:
        name, _, count = entry.strip().partition(":")
        if len(name) > MAX_PREFIX_NAME_CHARS:
            break
        tokens = parse_whole_number(count)
        if name and tokens is not None:
            parts.append(PrefixPart(name, tokens))
    return tuple(parts)


def _parse_pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return _parse_integer(first.strip(), 0), _parse_integer(second.strip(), 0)


def _parse_integer(text: str, default: int | None) -> int | None:
    number = parse_whole_number(text)
    return default if number is None else number


def _parse_program_id(text: str) -> str:
    return text if _PROGRAM_ID.fullmatch(text) else ""


def _encode_request(request: OpaqueRequest, call: ForwardedCall) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    for name, value in request.headers:
        if call.last_event_id and name.lower() == b"last-event-id":
            continue
        lines.append(name + b": " + value + b"\r\n")
    added = [f"Deadline-Ms: {max(1, int(call.remaining_ms))}"]
    added.append(f"Expect-Instance: {call.server}")
    if call.organisation:
        added.append(f"Tenant: {call.organisation}")
    if call.priority is not None:
        added.append(f"Request-Priority: {call.priority}")
    if call.last_event_id:
        added.append(f"Last-Event-Id: {call.last_event_id}")
    if call.body or request.method not in ("GET", "HEAD", "DELETE"):
        added.append(f"Content-Length: {len(call.body)}")
    lines.append(("\r\n".join(added) + "\r\n\r\n").encode("latin-1"))
    lines.append(call.body)
    return b"".join(lines)


def _decode_response_head(head: ResponseHead) -> ResponseMetadata:
    headers = head.headers
    load = [
        parse_whole_number(figure.strip())
        for figure in headers.get("Server-Load", "").split(",", _LOAD_FIGURES)
    ]
    running, waiting, slots, pace_percent = (*load, *_NO_FIGURES)[:_LOAD_FIGURES]
    has_load = running is not None and waiting is not None
    return ResponseMetadata(
        not_run="Not-Executed" in headers or head.status == 421,
        wrong_server=head.status == 421,
        is_sealed="Server-Seal" in headers,
        leaving=_decode_leaving(headers.getall("Server-Leaving", [])),
        running=running if has_load else None,
        waiting=waiting if has_load else None,
        slots=slots or None if has_load else None,
        pace=_decode_pace(pace_percent) if has_load else None,
        cold_left_ms=parse_whole_number(headers.get("Cold-Ms", "")),
        headers=tuple(
            (name, value)
            for name, value in head.raw_headers
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        ),
    )


def _decode_pace(percent: int | None) -> float | None:
    if not percent:
        return None
    lowest, highest = _PACE_LIMITS_PERCENT
    return min(highest, max(lowest, percent)) / 100


def _decode_leaving(values: list[str]) -> bool | None:
    if not values:
        return False
    return True if values == ["1"] else None


def _response_identifiers(headers) -> list[str]:
    return headers.getall("Request-Id", [])


DIALECT = Dialect(
    decode=_decode_request,
    encode=_encode_request,
    response_metadata=_decode_response_head,
    response_identifiers=_response_identifiers,
    # A quarantined request is valid, so it gets no 4xx; it has not run this time.
    status_of={ErrorKind.QUARANTINED: 503},
)
