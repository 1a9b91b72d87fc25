"""The account of the memory that a process holds for its clients."""

import enum

import attrs

__all__ = [
    "ClientCharge",
    "MemoryAccount",
    "Progress",
    "client_memory_bytes",
    "connection_limit",
    "head_memory_bytes",
    "record_memory_bytes",
    "request_memory_bytes",
]

_MB = 1024 * 1024
_PROCESS_MB = 60  # a host that serves nobody has 55 MB
_HISTORY_CACHE_MB = 12  # of hosts/turn_archive.py
# The rest is for the allocator's fragments, for what is read before a closed connection
# is freed, and for estimates that are too low.
_ACCOUNT_FRACTION = 0.5
_MIN_ACCOUNT_MB = 8
_RECORDS_FRACTION = 0.35  # the account has half of the rest
_MIN_RECORDS_MB = 8
_CONNECTION_BYTES = 12 * 1024  # 9.4 KB with aiohttp 3.14.5, and the socket
_REQUEST_BYTES = 12 * 1024  # its tasks, and the connection to a server
_SMALL_HEAD_BYTES = 4 * 1024
# What a small request holds. Connections that hold no more are never closed.
_NEVER_CLOSED_BYTES = _CONNECTION_BYTES + _REQUEST_BYTES + _SMALL_HEAD_BYTES
_CONNECTIONS_FRACTION = 0.75  # of the account, if each connection has a small request
# With aiohttp 3.14.5, lines of 4 to 35 bytes take 180 to 410 bytes once parsed, and are
# copied when the request is forwarded.
_HEADER_LINE_BYTES = 512
_FILE_DESCRIPTORS = 200  # which the platform keeps for files
_OTHER_DESCRIPTORS = 96  # listeners, probes, store, peers, log and disk
_MIN_CONNECTIONS = 16


def client_memory_bytes(memory_mb: float) -> int:
    """Return what a process on a machine of `memory_mb` may hold for clients."""
    spare_mb = (memory_mb - _PROCESS_MB - _HISTORY_CACHE_MB) * _ACCOUNT_FRACTION
    return int(max(_MIN_ACCOUNT_MB, spare_mb) * _MB)


def record_memory_bytes(memory_mb: float) -> int:
    """Return what a storage host of `memory_mb` may hold of its records."""
    spare_mb = (memory_mb - _PROCESS_MB) * _RECORDS_FRACTION
    return int(max(_MIN_RECORDS_MB, spare_mb) * _MB)


def connection_limit(max_descriptors: int, memory_mb: float) -> int:
    """Return how many clients may be connected.

    Each may need a connection to a server, and memory for a small request on a machine
    of `memory_mb`.
    """
    by_descriptors = (max_descriptors - _FILE_DESCRIPTORS - _OTHER_DESCRIPTORS) // 2
    memory_bytes = client_memory_bytes(memory_mb) * _CONNECTIONS_FRACTION
    by_memory = int(memory_bytes) // _NEVER_CLOSED_BYTES
    return max(_MIN_CONNECTIONS, min(by_descriptors, by_memory))


def head_memory_bytes(lines: int, wire_bytes: int) -> int:
    """Return the memory of a parsed head, or of a part of one."""
    return lines * _HEADER_LINE_BYTES + 2 * wire_bytes


def request_memory_bytes(lines: int, wire_bytes: int) -> int:
    """Return the memory of a request without its body, and of what runs it."""
    return _REQUEST_BYTES + head_memory_bytes(lines, wire_bytes)


class Progress(enum.IntEnum):
    """What a connection waits for; those of lower values are closed first.

    INCOMPLETE: the rest of a request. UNTAKEN: the client, which doesn't read its
    response or has sent requests ahead. RUNNING: the host or a server.
    """

    INCOMPLETE = 0
    UNTAKEN = 1
    RUNNING = 2


# A connection that holds no more is closed only where closing the others is not enough:
# a request of 20 kB holds 60 kB.
_ORDINARY_BYTES = {
    Progress.INCOMPLETE: 64 * 1024,
    Progress.UNTAKEN: 64 * 1024,
    Progress.RUNNING: 256 * 1024,
}
_SMALL_BYTES = 64 * 1024
_LARGE_FRACTION = 0.75  # of the limit, for requests and responses that aren't small
_CALM_FRACTION = 0.25
# Of the limit, by which more is closed than needed, so that not every byte of a crowd
# makes another choice necessary. Requests under way are never closed for it.
_EVICTION_MARGIN = 1 / 16


@attrs.define(eq=False)
class ClientCharge:
    """What one connection holds, in bytes of memory."""

    progress: Progress = Progress.INCOMPLETE
    head_bytes: int = 0
    body_bytes: int = 0
    history_bytes: int = 0
    response_bytes: int = 0
    stream_bytes: int = 0
    ahead_bytes: int = 0
    is_closed: bool = False
    total_bytes: int = _CONNECTION_BYTES  # the parts and the connection itself

    def replace(self, **parts: int) -> None:
        """Replace parts of the charge by `parts`."""
        for name, count in parts.items():
            self.total_bytes += count - getattr(self, name)
            setattr(self, name, count)


class MemoryAccount:
    """The charges of all connections of a process, and what is closed if they exceed.

    `held_bytes` is the sum of all charges.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Allow all connections together `limit_bytes`."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._charges: set[ClientCharge] = set()

    def open(self) -> ClientCharge:
        """Return the charge of a new connection."""
        charge = ClientCharge()
        self._charges.add(charge)
        self.held_bytes += charge.total_bytes
        return charge

    def close(self, charge: ClientCharge) -> None:
        """Drop the charge of a connection that is closed; later changes are ignored."""
        if charge.is_closed:
            return
        charge.is_closed = True
        self._charges.discard(charge)
        self.held_bytes -= charge.total_bytes

    def change(self, charge: ClientCharge, **parts: int) -> None:
        """Replace parts of a charge by `parts`."""
        if charge.is_closed:
            return
        self.held_bytes -= charge.total_bytes
        charge.replace(**parts)
        self.held_bytes += charge.total_bytes

    def fits(self, count: int) -> bool:
        """Return whether there is room for `count` more bytes.

        A quarter of the limit is left to small requests and responses. While little is
        held, any single one has room.
        """
        if self.held_bytes <= self.limit_bytes * _CALM_FRACTION:
            return True
        limit_bytes = self.limit_bytes
        if count > _SMALL_BYTES:
            limit_bytes = int(limit_bytes * _LARGE_FRACTION)
        return self.held_bytes + count <= limit_bytes

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than allowed."""
        return self.held_bytes > self.limit_bytes

    def choose_evictions(self) -> list[ClientCharge]:
        """Return the connections to close so that the others fit.

        The lowest progress comes first, then the largest charge. Connections that hold
        no more than ordinary ones come after all others: what counts as ordinary is
        halved until the rest fits, but connections that hold hardly more than
        themselves are never closed. Some more are closed than needed.
        """
        chosen: list[ClientCharge] = []
        if not self.is_exceeded:
            return chosen
        margin_bytes = int(self.limit_bytes * _EVICTION_MARGIN)
        kept_bytes = self.held_bytes
        remaining = sorted(
            (each for each in self._charges if each.total_bytes > _NEVER_CLOSED_BYTES),
            key=lambda each: (each.progress, -each.total_bytes),
        )
        divisor = 1
        while kept_bytes > self.limit_bytes and remaining:
            kept: list[ClientCharge] = []
            for charge in remaining:
                is_running = charge.progress is Progress.RUNNING
                target_bytes = self.limit_bytes - (0 if is_running else margin_bytes)
                ordinary_bytes = _ORDINARY_BYTES[charge.progress] // divisor
                if kept_bytes <= target_bytes or charge.total_bytes <= ordinary_bytes:
                    kept.append(charge)
                    continue
                chosen.append(charge)
                kept_bytes -= charge.total_bytes
            remaining = kept
            divisor *= 2
        return chosen
