"""Counts of the requests in a window, in the form in which hosts copy them."""

import enum
from collections.abc import Iterable, Mapping

import attrs
import msgpack

from celerypulley.elapsed_time import elapsed_ms
from celerypulley.fleet.fleet_gossip import PeerCounts

__all__ = [
    "WINDOW_STEPS",
    "WindowReport",
    "WindowRow",
    "WindowSource",
    "WindowTable",
    "count_by_step",
    "counted_total",
    "merge_tables",
    "spread_counts",
]

WINDOW_STEPS = 5  # parts of a window for which its requests are copied

# Requests by organisation and part of the window, the newest part first.
WindowTable = dict[str, list[float]]


@attrs.frozen
class WindowRow:
    """Requests by organisation that were counted together, and when."""

    at_ms: float
    counts: dict[str, float]

    def pack(self) -> bytes:
        """Return the row encoded for a file."""
        return msgpack.packb((self.at_ms, self.counts))

    @classmethod
    def unpack(cls, raw: bytes) -> "WindowRow":
        """Return an encoded row; raise ValueError if it is invalid."""
        try:
            at_ms, counts = msgpack.unpackb(raw)
            counts = {str(name): float(count) for name, count in counts.items()}
            return cls(float(at_ms), counts)
        except (TypeError, AttributeError, msgpack.UnpackException) as error:
            raise ValueError(f"row of a window is invalid: {error!r}") from error


class WindowSource(enum.Enum):
    """What a window is known from."""

    NONE = "none"
    HEARD = "heard"  # since the beginning of the window
    RESTORED = "restored"  # from the time before a start, and heard since


@attrs.frozen
class WindowReport:
    """What one process knows of the requests of the last window."""

    source: WindowSource
    table: WindowTable = attrs.Factory(dict)

    def to_payload(self) -> list:
        """Return the report as it is sent in a datagram."""
        return [self.source.value, self.table]

    @classmethod
    def from_payload(cls, payload: list) -> "WindowReport":
        """Return a received report; raise ValueError if it is invalid."""
        try:
            source, table = payload
            return cls(WindowSource(source), {**table})
        except TypeError as error:
            raise ValueError(f"report of a window is invalid: {error}") from error


def count_by_step(
    recent: Mapping[str, Iterable[tuple[float, float]]], now_ms: float, window_ms: float
) -> WindowTable:
    """Return the requests of the last window; `recent` has their times and counts.

    Organisations without requests are left out.
    """
    step_ms = window_ms / WINDOW_STEPS
    table: WindowTable = {}
    for organisation, rows in recent.items():
        counts = [0.0] * WINDOW_STEPS
        for at_ms, count in rows:
            age_ms = elapsed_ms(at_ms, now_ms, "window of an organisation")
            step = int(age_ms // step_ms)
            if step < WINDOW_STEPS:
                counts[step] += count
        if any(counts):
            table[organisation] = counts
    return table


def spread_counts(
    counts: Iterable[float], now_ms: float, window_ms: float
) -> list[tuple[float, float]]:
    """Return one organisation's counts of a table with times, oldest first.

    Requests get the newest moment of their part of the window.
    """
    step_ms = window_ms / WINDOW_STEPS
    rows = [(now_ms - step * step_ms, count) for step, count in enumerate(counts)]
    return [row for row in reversed(rows) if row[1] > 0]


def merge_tables(tables: Iterable[WindowTable]) -> WindowTable:
    """Return the largest counts of tables of which each may lack some requests.

    Raise ValueError if one has another form.
    """
    merged: WindowTable = {}
    for table in tables:
        for organisation, counts in table.items():
            known = merged.get(organisation, [0.0] * WINDOW_STEPS)
            if len(counts) != WINDOW_STEPS:
                raise ValueError(f"window of {organisation} has {len(counts)} parts")
            merged[organisation] = [
                max(a, b) for a, b in zip(known, counts, strict=True)
            ]
    return merged


def counted_total(
    organisation: str,
    peer: PeerCounts,
    previous: PeerCounts | None,
    max_uptime_ms: float,
) -> int:
    """Return how many of a peer's requests were counted, or are too old to count.

    `previous` is its last message. Without one of the same instance, the requests of a
    peer that has run for longer than `max_uptime_ms` are of unknown age.
    """
    if previous is not None and previous.instance_id == peer.instance_id:
        total = previous.admitted.get(organisation)
        if total is not None:
            return total
        if previous.has_all_totals:
            return 0
    return 0 if peer.uptime_ms <= max_uptime_ms else peer.admitted[organisation]
