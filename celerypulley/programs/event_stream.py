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
        self._buffer = b""

    @property
    def pending(self) -> bytes:
        """Return what has come of an event that is not whole yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now; raise ValueError on a huge one."""
        self._buffer += data
        events = []
        while True:
            end = _end_of_event(self._buffer)
            if end < 0:
                break
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse(raw))
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("an event is larger than a megabyte")
        return events


def _end_of_event(buffer: bytes) -> int:
    ends = [
        position + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(delimiter)) >= 0
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
