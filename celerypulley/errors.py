"""The closed list of error kinds and the answer that each one gets."""

import enum

import attrs

__all__ = ["ANSWERS", "Answer", "CallRefusedError", "ErrorKind", "Refusal", "RunState"]


class RunState(enum.Enum):
    """Whether the work that a request asked for has run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that a caller can be given."""

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
class Answer:
    """The HTTP answer for one error kind."""

    status: int
    run: RunState
    retry_after_s: float | None = None


_NOT = RunState.NOT_RUN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT),
    ErrorKind.KEY_REFUSED: Answer(401, _NOT),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, _NOT),
    ErrorKind.UNKNOWN_MODEL: Answer(404, _NOT),
    ErrorKind.UNKNOWN_PROGRAM: Answer(404, _NOT),
    ErrorKind.PROGRAM_CLOSED: Answer(409, _NOT),
    ErrorKind.TURN_OUT_OF_ORDER: Answer(409, _NOT),
    ErrorKind.HISTORY_BEHIND: Answer(503, _NOT, 5),
    ErrorKind.HISTORY_LOST: Answer(410, _NOT),
    ErrorKind.BUDGET_EXHAUSTED: Answer(402, _NOT),
    ErrorKind.RATE_EXCEEDED: Answer(429, _NOT, 1),
    ErrorKind.METER_UNREACHABLE: Answer(503, _NOT, 2),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: Answer(400, _NOT),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: Answer(422, _NOT),
    ErrorKind.CALL_IN_PROGRESS: Answer(409, RunState.UNKNOWN, 1),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, RunState.UNKNOWN),
    ErrorKind.OWNER_UNREACHABLE: Answer(503, _NOT, 2),
    ErrorKind.REPLICA_UNREACHABLE: Answer(503, _NOT, 2),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, _NOT, 2),
    ErrorKind.BACKEND_SERVER_FAILED: Answer(502, RunState.UNKNOWN),
    ErrorKind.OVERLOADED: Answer(503, _NOT, 2),
    ErrorKind.QUARANTINED: Answer(422, _NOT),
    ErrorKind.SHUTTING_DOWN: Answer(503, _NOT, 1),
    ErrorKind.CONFIGURATION_STALE: Answer(503, _NOT, 1),
    ErrorKind.UNKNOWN_TURN: Answer(404, _NOT),
    ErrorKind.STATE_UNREACHABLE: Answer(503, _NOT, 0.5),
    ErrorKind.DEADLINE_PASSED: Answer(504, RunState.UNKNOWN),
    ErrorKind.INTERNAL: Answer(500, RunState.UNKNOWN),
}


@attrs.frozen
class Refusal:
    """Why a request got no ordinary answer.

    `run` and `retry_after_s` default to the table's entry for `kind`.
    """

    kind: ErrorKind
    detail: str
    run: RunState = attrs.field()
    retry_after_s: float | None = attrs.field()

    @run.default
    def _default_run(self) -> RunState:
        return ANSWERS[self.kind].run

    @retry_after_s.default
    def _default_retry_after_s(self) -> float | None:
        return ANSWERS[self.kind].retry_after_s


class CallRefusedError(Exception):
    """Carries a refusal up to the task that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal; its detail is the message."""
        super().__init__(f"{refusal.kind.value}: {refusal.detail}")
        self.refusal = refusal

    @classmethod
    def of(
        cls, kind: ErrorKind, detail: str, run: RunState | None = None
    ) -> "CallRefusedError":
        """Build the exception from its parts; `run` overrides the table."""
        if run is None:
            return cls(Refusal(kind, detail))
        return cls(Refusal(kind, detail, run))
