"""A request for an engine slot as hosts send it to each other."""

import math
from collections.abc import Sequence

import attrs
from attrs.validators import and_, deep_iterable, ge, instance_of, max_len, optional

from celerypulley.programs.opaque_request import MAX_PREFIX_PARTS, PrefixPart
from celerypulley.turn_scheduling.turn_order import Turn

__all__ = ["SlotRequest"]

_MAX_TEXT = 200
_TEXT = and_(instance_of(str), max_len(_MAX_TEXT))
_COUNT = and_(instance_of(int), ge(0))


def _check_parts(_request: object, _field: object, parts: Sequence) -> None:
    if len(parts) > MAX_PREFIX_PARTS:
        raise ValueError(f"over {MAX_PREFIX_PARTS} parts")
    for name, tokens in parts:
        if not isinstance(name, str) or not isinstance(tokens, int):
            raise TypeError("a part is a name and a number of tokens")


@attrs.frozen(kw_only=True)
class SlotRequest:
    """A turn that asks for a slot, with times relative to the moment of the request.

    `parts` are names and tokens of the prompt's first parts. `target_ms` is None for a
    program without a target. Invalid fields raise TypeError or ValueError.
    """

    number: int = attrs.field(validator=_COUNT)
    service: str = attrs.field(validator=_TEXT)
    organisation: str = attrs.field(validator=_TEXT)
    program: str = attrs.field(validator=_TEXT)
    continues_turn: bool = attrs.field(validator=instance_of(bool))
    priority: int = attrs.field(validator=instance_of(int))
    prompt_tokens: int = attrs.field(validator=_COUNT)
    expected_tokens: int = attrs.field(validator=_COUNT)
    parts: Sequence = attrs.field(validator=_check_parts)
    remaining_ms: int = attrs.field(validator=instance_of(int))
    target_ms: int | None = attrs.field(validator=optional(instance_of(int)))
    excluded: Sequence = attrs.field(validator=deep_iterable(_TEXT))

    @classmethod
    def unpack(cls, fields: Sequence) -> "SlotRequest":
        """Return the request with these fields, which come from another host."""
        names = [each.name for each in attrs.fields(cls)]
        return cls(**dict(zip(names, fields, strict=True)))

    def pack(self) -> list:
        """Return the fields for another host."""
        return [getattr(self, each.name) for each in attrs.fields(type(self))]

    def turn(self, host: str, is_known: bool, now_ms: float) -> Turn:
        """Return the turn of a request by `host`.

        `is_known` tells whether a turn of its program has run.
        """
        target_ms = math.inf if self.target_ms is None else now_ms + self.target_ms
        return Turn(
            identity=(host, self.number),
            service=self.service,
            organisation=self.organisation,
            program=self.program,
            is_first=not self.continues_turn and not is_known,
            priority=self.priority,
            prompt_tokens=self.prompt_tokens,
            expected_tokens=self.expected_tokens,
            prefix_parts=tuple(PrefixPart(*part) for part in self.parts),
            submitted_ms=now_ms,
            deadline_ms=now_ms + self.remaining_ms,
            target_ms=target_ms,
            excluded_servers=frozenset(self.excluded),
        )
