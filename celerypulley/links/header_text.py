"""Text and numbers from outside in the heads of requests and responses."""

import re

__all__ = ["parse_whole_number", "sendable_text"]

_MAX_DIGITS = 15  # such a number is exact as a float and has room in 64 bits
_CONTROL_CHARACTERS = re.compile("[\x00-\x08\x0a-\x1f\x7f]")


def sendable_text(text: str) -> str:
    """Return text without what aiohttp's writer and JSON refuse.

    Control characters become spaces, as RFC 9110 allows, and bytes that were not UTF-8
    the characters of Latin-1.
    """
    if text.isascii() and text.isprintable():
        return text
    try:
        text.encode()
    except UnicodeEncodeError:
        text = text.encode("utf-8", "surrogateescape").decode("latin-1")
    return _CONTROL_CHARACTERS.sub(" ", text)


def parse_whole_number(text: str) -> int | None:
    """Return a whole number, at most one of `_MAX_DIGITS` nines, or None.

    int() refuses digits that are not ASCII, and more than 4,300 of them.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    return int(digits if len(digits) <= _MAX_DIGITS else "9" * _MAX_DIGITS)
