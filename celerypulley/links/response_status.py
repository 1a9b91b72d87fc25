"""Which heads of responses are valid, and which of them are interim.

Every client of the product decides by these functions, whichever parser it uses.
"""

import enum
from collections.abc import Iterable

import attrs
from multidict import MultiMapping

__all__ = [
    "HeadSequence",
    "InvalidResponseError",
    "StatusKind",
    "bounded_detail",
    "classify_status",
    "find_head_fault",
]

_MAX_INTERIM = 16  # servers send one or two; more than nine must be possible
_MAX_DETAIL_CHARACTERS = 200
_MAX_LENGTH_DIGITS = 19  # of a number below 2 ** 63, without leading zeros
_VERSIONS = ("1.0", "1.1")
_FRAMING_HEADERS = ("content-length", "transfer-encoding")


class InvalidResponseError(Exception):
    """What a server sent is no response, or not certainly one."""


class StatusKind(enum.Enum):
    """What a status says about the response that has it."""

    FINAL = "final"
    INTERIM = "interim"
    INVALID = "invalid"


def classify_status(status: object) -> StatusKind:
    """Return the kind of a status, which may come from anywhere.

    101 is invalid, since no client of the product asks for an upgrade.
    """
    if not isinstance(status, int) or isinstance(status, bool):
        return StatusKind.INVALID
    if 200 <= status <= 599:
        return StatusKind.FINAL
    if 100 <= status <= 199 and status != 101:
        return StatusKind.INTERIM
    return StatusKind.INVALID


def find_head_fault(
    version: str, status: int, headers: MultiMapping[str]
) -> str | None:
    """Return why a head is not valid, or None; `version` is like "1.1"."""
    if version not in _VERSIONS:
        return f"HTTP version {version}"
    kind = classify_status(status)
    if kind is StatusKind.INVALID:
        return f"status {status:03}"
    framing_fault = _find_framing_fault(headers)
    if framing_fault is not None:
        return framing_fault
    if kind is StatusKind.INTERIM and _has_body(headers):
        return f"a body of the interim status {status}"
    return None


def bounded_detail(text: str) -> str:
    """Return text from outside at a length that fits in a log line."""
    return text[:_MAX_DETAIL_CHARACTERS]


@attrs.define
class HeadSequence:
    """The heads that come in response to one request, up to the final one."""

    interim_count: int = 0

    def accept(self, version: str, status: int, headers: MultiMapping[str]) -> bool:
        """Return whether a head is final; raise InvalidResponseError if not valid.

        It is also raised for an interim head after too many others.
        """
        fault = find_head_fault(version, status, headers)
        if fault is not None:
            raise InvalidResponseError(bounded_detail(fault))
        if classify_status(status) is StatusKind.FINAL:
            return True
        self.interim_count += 1
        if self.interim_count > _MAX_INTERIM:
            raise InvalidResponseError(f"over {_MAX_INTERIM} interim responses")
        return False


def _find_framing_fault(headers: MultiMapping[str]) -> str | None:
    if _has_padded_name(headers):
        return "a space before the colon of a framing header"
    lengths = headers.getall("Content-Length", [])
    encodings = headers.getall("Transfer-Encoding", [])
    if len(lengths) > 1:
        return f"{len(lengths)} Content-Length headers"
    if lengths and encodings:
        return "both Content-Length and Transfer-Encoding"
    if lengths and not _is_length(lengths[0]):
        return f"Content-Length {lengths[0]!r}"
    if encodings and [each.lower() for each in encodings] != ["chunked"]:
        return f"transfer encodings {encodings}"
    return None


def _has_padded_name(names: Iterable[str]) -> bool:
    return any(
        name != name.strip() and name.strip().lower() in _FRAMING_HEADERS
        for name in names
    )


def _is_length(text: str) -> bool:
    digits = text.strip(" \t")
    if not (digits.isascii() and digits.isdigit()):
        return False
    return len(digits.lstrip("0")) <= _MAX_LENGTH_DIGITS


def _has_body(headers: MultiMapping[str]) -> bool:
    if "Transfer-Encoding" in headers:
        return True
    return headers.get("Content-Length", "0").strip(" \t").lstrip("0") != ""
