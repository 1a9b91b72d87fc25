"""A request whose body the product does not read, with what it declares of itself."""

import attrs

__all__ = ["OpaqueRequest", "PrefixPart"]


@attrs.frozen
class PrefixPart:
    """A part of a prompt that other requests may share, and its tokens."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class OpaqueRequest:
    """One request of a caller, decoded once.

    `headers` are those to pass on. `deadline_ms` and `program_deadline_ms` are on
    this host's monotonic clock; `received_ms` is when the head was read. Tokens are
    0 and texts empty where the caller declared none.
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
    token_budget: int = 0
    previous_turn: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]
