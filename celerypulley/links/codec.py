"""Encoding of typed messages as msgpack arrays.

A message class is an `attrs` class of plain fields. On the wire it is an array:
the class's tag, then its fields in order.
"""

from typing import Any

import attrs
import msgpack

__all__ = ["CodecError", "decode", "encode", "from_wire", "message", "to_wire"]

_CLASSES: dict[int, type] = {}
_TAGS: dict[type, int] = {}
_FIELD_TYPES: dict[type, tuple[tuple[str, tuple[type, ...]], ...]] = {}

_ALLOWED_TYPES: dict[object, tuple[type, ...]] = {
    str: (str,),
    int: (int,),
    float: (float, int),
    bytes: (bytes,),
    bool: (bool,),
    list: (list, tuple),
    dict: (dict,),
    str | None: (str, type(None)),
    int | None: (int, type(None)),
}


class CodecError(ValueError):
    """The data is not a message of this protocol."""


def message(tag: int) -> Any:
    """Return a decorator that registers a class under `tag` as a frozen attrs class."""

    def register(cls: type) -> type:
        if tag in _CLASSES:
            raise ValueError(f"tag {tag} is already used by {_CLASSES[tag].__name__}")
        message_class = attrs.frozen(cls)
        _CLASSES[tag] = message_class
        _TAGS[message_class] = tag
        _FIELD_TYPES[message_class] = tuple(
            (field.name, _ALLOWED_TYPES[field.type])
            for field in attrs.fields(message_class)
        )
        return message_class

    return register


def to_wire(item: object) -> list:
    """Return a message as an array."""
    cls = type(item)
    fields = _FIELD_TYPES[cls]
    return [_TAGS[cls], *(getattr(item, name) for name, _ in fields)]


def from_wire(array: object) -> Any:
    """Return the message in an array; raise CodecError with the reason."""
    if not isinstance(array, list) or not array:
        raise CodecError(f"{array!r:.60} is not a message")
    tag = array[0]
    cls = _CLASSES.get(tag) if isinstance(tag, int) else None
    if cls is None:
        raise CodecError(f"{tag!r:.60} is not a known message tag")
    fields = _FIELD_TYPES[cls]
    if len(array) != len(fields) + 1:
        raise CodecError(f"{cls.__name__} has {len(fields)} fields")
    for value, (name, allowed) in zip(array[1:], fields, strict=True):
        if not isinstance(value, allowed):
            raise CodecError(f"{cls.__name__}.{name} is a {type(value).__name__}")
    return cls(*array[1:])


def encode(stream_id: int, item: object) -> bytes:
    """Return the frame that carries a message on a stream."""
    return msgpack.packb([stream_id, to_wire(item)])


def decode(frame: object) -> tuple[int, Any]:
    """Return the stream identifier and message of a frame; raise CodecError."""
    if not isinstance(frame, list) or len(frame) != 2 or not isinstance(frame[0], int):
        raise CodecError("a frame must be a stream number and a message")
    return frame[0], from_wire(frame[1])
