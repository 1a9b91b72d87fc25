"""Server-sent events: splitting of a byte stream into events."""

import attrs

__all__ = ["Event", "EventReader"]

_MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class Event:
    """One event: its raw bytes, its identifier and its data."""

    raw: bytes
    event_id: str
    data: bytes


class EventReader:
    """Split a byte stream into complete events and buffer an incomplete one."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raise ValueError if an incomplete event is longer than 1 MiB.
        """
        self._buffer += data
        events = []
        while True:
            end = _end_of_event(self._buffer)
            if end < 0:
                break
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse_event(raw))
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("incomplete event exceeds the limit of 1 MiB")
        return events


def _end_of_event(buffer: bytes) -> int:
    ends = [
        position + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(delimiter)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event(raw: bytes) -> Event:
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
