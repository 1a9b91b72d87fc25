"""A backend server as registered by the platform."""

import attrs

__all__ = ["ServerEntry"]


@attrs.frozen(kw_only=True)
class ServerEntry:
    """One registered start of a backend server.

    `started_ms` is the wall-clock time of the start. A server that restarts under
    the same name has lost its state. It stays cold for `cold_left_ms` from when it
    wrote the entry.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    started_ms: int = 0
    cold_left_ms: float = 0.0
