"""Server-sent events: whole events from pieces of a stream."""

import attrs

__all__ = ["Event", "EventReader"]

_MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class Event:
    """One event: its bytes as received, its identifier and its data."""

    raw: bytes
    event_id: str
    data: bytes


class EventReader:
    """Cut a stream into whole events; a part of an event is held back."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._held = b""

    @property
    def held(self) -> bytes:
        """Return what has come of an event that is not whole yet."""
        return self._held

    def feed(self, piece: bytes) -> list[Event]:
        """Return the events that are whole now; raise ValueError on a huge one."""
        self._held += piece
        events = []
        while True:
            end = _end_of_event(self._held)
            if end < 0:
                break
            raw, self._held = self._held[:end], self._held[end:]
            events.append(_parse(raw))
        if len(self._held) > _MAX_EVENT_BYTES:
            raise ValueError("an event is larger than a megabyte")
        return events


def _end_of_event(held: bytes) -> int:
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := held.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _parse(raw: bytes) -> Event:
    event_id = ""
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value.decode("latin-1")
        if name == b"data":
            data.append(value)
    return Event(raw, event_id, b"\n".join(data))
