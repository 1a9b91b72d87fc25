"""A request that is forwarded without reading its body, with declared metadata."""

import hashlib

import attrs

__all__ = ["MAX_PREFIX_NAME_CHARS", "MAX_PREFIX_PARTS", "OpaqueRequest", "PrefixPart"]

# Hosts keep the parts while a request runs, send them to each other in one datagram,
# and remember their names for each server.
MAX_PREFIX_PARTS = 48
MAX_PREFIX_NAME_CHARS = 32


@attrs.frozen
class PrefixPart:
    """A part of a prompt that other requests may share, and its token count."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class OpaqueRequest:
    """One decoded request of a caller.

    `headers` are those to forward. `deadline_ms`, `program_deadline_ms` and
    `received_ms`, the time when the request head was read, are monotonic times of
    this host. `prefix_parts` are the first parts of the prompt, as far as the limits
    above allow. Token counts are 0 and strings empty where the caller declared none;
    `token_budget` is None then, since a budget of 0 allows no turn. `affinity_key` is
    the same for requests about one object.
    """

    request_id: str
    method: str
    target: str
    http_host: str
    headers: tuple[tuple[bytes, bytes], ...] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    api_key: str = attrs.field(repr=False)
    received_ms: float
    deadline_ms: float
    last_event_id: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prefix_parts: tuple[PrefixPart, ...] = ()
    program: str = ""
    program_deadline_ms: float = 0.0
    token_budget: int | None = None
    previous_turn: str = ""
    affinity_key: str = ""

    @property
    def path(self) -> str:
        """Return the request target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the rest of the target, which begins with "?", empty without a query.

        An empty query differs from none.
        """
        return self.target[len(self.path) :]

    def body_digest(self) -> str:
        """Return a digest of the body, by which log lines can be compared."""
        return hashlib.blake2b(self.body, digest_size=4).hexdigest()
