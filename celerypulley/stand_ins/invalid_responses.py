"""Responses whose heads are not valid, as stand-in servers send them."""

__all__ = ["INVALID_RESPONSES", "invalid_response"]

_IDENTITY = "Request-Id: REQUEST_ID\r\nServer-Seal: s\r\nServer-Load: 1,0,8\r\n"
_EVENT = "id: 1\ndata: x\n\n"
_BODIES = {
    "with a body": "Content-Length: 4\r\n\r\ntext",
    "without a body": "Content-Length: 0\r\n\r\n",
    "without a length": "\r\n",
    "chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
    "stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    f"{len(_EVENT):x}\r\n{_EVENT}\r\n",
}
_STATUS_LINES = {
    "status 000": "HTTP/1.1 000 Reason",
    "status 099": "HTTP/1.1 099 Reason",
    "status 101": "HTTP/1.1 101 Reason",
    "status 600": "HTTP/1.1 600 Reason",
    "status 999": "HTTP/1.1 999 Reason",
    "status 000, no reason": "HTTP/1.1 000",
    "version 0.9": "HTTP/0.9 200 OK",
    "version 2.0": "HTTP/2.0 200 OK",
}
_FRAMINGS = {
    "status 199 with a body": ("199 Reason", _BODIES["with a body"]),
    "status 199 chunked": ("199 Reason", _BODIES["chunked"]),
    "status 150 with a body": ("150 Reason", _BODIES["with a body"]),
    "status 103 with a length": ("103 Reason", "Content-Length: 4\r\n\r\n"),
    "status of four digits": ("2000 OK", _BODIES["with a body"]),
    "status of two digits": ("20 OK", _BODIES["with a body"]),
    "status with a sign": ("+20 OK", _BODIES["with a body"]),
    "status of letters": ("abc OK", _BODIES["with a body"]),
    "equal lengths": ("200 OK", "Content-Length: 4\r\n" + _BODIES["with a body"]),
    "two lengths": ("200 OK", "Content-Length: 3\r\n" + _BODIES["with a body"]),
    "list of lengths": ("200 OK", "Content-Length: 4, 4\r\n\r\ntext"),
    "length with plus": ("200 OK", "Content-Length: +4\r\n\r\ntext"),
    "length with minus": ("200 OK", "Content-Length: -4\r\n\r\ntext"),
    "length with a space inside": ("200 OK", "Content-Length: 0 4\r\n\r\ntext"),
    "length in base 16": ("200 OK", "Content-Length: 0x4\r\n\r\ntext"),
    "empty length": ("200 OK", "Content-Length: \r\n\r\ntext"),
    "length beyond 64 bits": ("200 OK", f"Content-Length: {2**64}\r\n\r\ntext"),
    "space before the colon": ("200 OK", "Content-Length : 4\r\n\r\ntext"),
    "length, then chunked": ("200 OK", "Content-Length: 4\r\n" + _BODIES["chunked"]),
    "chunked, then length": (
        "200 OK",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
    ),
    "chunked twice": (
        "200 OK",
        "Transfer-Encoding: chunked\r\n" + _BODIES["chunked"],
    ),
    "unknown encoding": ("200 OK", "Transfer-Encoding: gzip\r\n\r\ntext"),
    "chunk size with a sign": (
        "200 OK",
        "Transfer-Encoding: chunked\r\n\r\n+4\r\ntext\r\n0\r\n\r\n",
    ),
}
INVALID_RESPONSES: dict[str, str] = {
    **{
        f"{name} {kind}": f"{line}\r\n{_IDENTITY}{body}"
        for name, line in _STATUS_LINES.items()
        for kind, body in _BODIES.items()
    },
    **{
        name: f"HTTP/1.1 {status}\r\n{_IDENTITY}{framing}"
        for name, (status, framing) in _FRAMINGS.items()
    },
    "interim responses without end": "HTTP/1.1 102 Processing\r\n\r\n" * 1_000,
    "interim response, then status 000": (
        f"HTTP/1.1 103 Reason\r\n\r\nHTTP/1.1 000 Reason\r\n{_IDENTITY}\r\n"
    ),
}


def invalid_response(name: str, request_id: str) -> bytes:
    """Return the bytes of an entry of `INVALID_RESPONSES` for a request."""
    return INVALID_RESPONSES[name].replace("REQUEST_ID", request_id).encode()
