"""Text from outside in the heads of responses."""

import re

__all__ = ["sendable_text"]

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
