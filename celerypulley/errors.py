"""All error kinds and the HTTP response for each of them."""

import enum

import attrs

__all__ = [
    "ERROR_RESPONSES",
    "CallRefusedError",
    "ErrorKind",
    "ErrorResponse",
    "Refusal",
    "RunState",
]


class RunState(enum.Enum):
    """Whether the work of a request has run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that a caller can receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REFUSED = "key_refused"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PROGRAM = "unknown_program"
    PROGRAM_CLOSED = "program_closed"
    TURN_OUT_OF_ORDER = "turn_out_of_order"
    HISTORY_BEHIND = "history_behind"
    HISTORY_LOST = "history_lost"
    BUDGET_EXHAUSTED = "budget_exhausted"
    RATE_EXCEEDED = "rate_exceeded"
    METER_UNREACHABLE = "meter_unreachable"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CALL_IN_PROGRESS = "call_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    REPLICA_UNREACHABLE = "replica_unreachable"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting_down"
    CONFIGURATION_STALE = "configuration_stale"
    UNKNOWN_TURN = "unknown_turn"
    STATE_UNREACHABLE = "state_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """The HTTP response for one error kind."""

    status: int
    run: RunState
    retry_after_s: float | None = None


_NOT_RUN = RunState.NOT_RUN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN),
    ErrorKind.KEY_REFUSED: ErrorResponse(401, _NOT_RUN),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, _NOT_RUN),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, _NOT_RUN),
    ErrorKind.UNKNOWN_PROGRAM: ErrorResponse(404, _NOT_RUN),
    ErrorKind.PROGRAM_CLOSED: ErrorResponse(409, _NOT_RUN),
    ErrorKind.TURN_OUT_OF_ORDER: ErrorResponse(409, _NOT_RUN),
    ErrorKind.HISTORY_BEHIND: ErrorResponse(503, _NOT_RUN, 5),
    ErrorKind.HISTORY_LOST: ErrorResponse(410, _NOT_RUN),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(402, _NOT_RUN),
    ErrorKind.RATE_EXCEEDED: ErrorResponse(429, _NOT_RUN, 1),
    ErrorKind.METER_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: ErrorResponse(400, _NOT_RUN),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(422, _NOT_RUN),
    ErrorKind.CALL_IN_PROGRESS: ErrorResponse(409, RunState.UNKNOWN, 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, RunState.UNKNOWN),
    ErrorKind.OWNER_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.REPLICA_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.BACKEND_SERVER_FAILED: ErrorResponse(502, RunState.UNKNOWN),
    ErrorKind.OVERLOADED: ErrorResponse(503, _NOT_RUN, 2),
    ErrorKind.QUARANTINED: ErrorResponse(422, _NOT_RUN),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(503, _NOT_RUN, 1),
    ErrorKind.UNKNOWN_TURN: ErrorResponse(404, _NOT_RUN),
    ErrorKind.STATE_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 0.5),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, RunState.UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, RunState.UNKNOWN),
}


@attrs.frozen
class Refusal:
    """The error with which a request is refused or fails.

    `run` and `retry_after_s` default to the entry of `kind` in `ERROR_RESPONSES`.
    """

    kind: ErrorKind
    detail: str
    run: RunState = attrs.field()
    retry_after_s: float | None = attrs.field()

    @run.default
    def _default_run(self) -> RunState:
        return ERROR_RESPONSES[self.kind].run

    @retry_after_s.default
    def _default_retry_after_s(self) -> float | None:
        return ERROR_RESPONSES[self.kind].retry_after_s


class CallRefusedError(Exception):
    """Carries a refusal to the task that responds to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal; its kind and detail form the message."""
        super().__init__(f"{refusal.kind.value}: {refusal.detail}")
        self.refusal = refusal

    @classmethod
    def of(
        cls, kind: ErrorKind, detail: str, run: RunState | None = None
    ) -> "CallRefusedError":
        """Return an exception for a kind; `run` overrides that of the kind."""
        if run is None:
            return cls(Refusal(kind, detail))
        return cls(Refusal(kind, detail, run))
