"""What the platform's register says of one backend server."""

import attrs

__all__ = ["ServerEntry"]


@attrs.frozen(kw_only=True)
class ServerEntry:
    """One registered start of a backend server.

    `born_ms` is the wall time of its start: a server that starts again under its
    name remembers nothing.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    started_ms: int = 0
