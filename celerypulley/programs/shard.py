"""The state of one shard: programs and calls, changed by records only."""

from collections.abc import Callable, Iterator

import attrs

from celerypulley.programs import records
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.program import CallRecord, CallState, Program, Turn

__all__ = ["InvariantError", "ShardState"]


class InvariantError(AssertionError):
    """A record would violate an invariant; the shard is unchanged."""


@attrs.define
class ShardState:
    """Programs and calls of a shard, with the sequence number of the last record."""

    shard: ShardId
    sequence: int = 0
    programs: dict[str, Program] = attrs.Factory(dict)
    calls: dict[str, CallRecord] = attrs.Factory(dict)
    history_bytes: int = 0

    def apply(self, record: object) -> None:
        """Apply one record; raise InvariantError if it violates an invariant."""
        _APPLY_BY_TYPE[type(record)](self, record)
        self.sequence += 1

    def snapshot_records(self) -> Iterator[object]:
        """Yield records that rebuild this state from an empty shard."""
        for program in self.programs.values():
            yield program_snapshot(program)
        for call in self.calls.values():
            yield records.CallSnapshot(*attrs.astuple(call, recurse=False))

    def _require_program(self, name: str) -> Program:
        program = self.programs.get(name)
        if program is None:
            raise InvariantError(f"record for unknown program {name}")
        return program


def program_snapshot(program: Program) -> records.ProgramSnapshot:
    """Return the whole state of a program as one record."""
    return records.ProgramSnapshot(
        program=program.program_id,
        organisation=program.organisation,
        budget_tokens=program.budget_tokens,
        spent_tokens=program.spent_tokens,
        reserved_tokens=program.reserved_tokens,
        turns=[list(attrs.astuple(turn)) for turn in program.turns],
        draws=dict(program.draws),
        opened_ms=program.opened_ms,
        last_used_ms=program.last_used_ms,
        closed_ms=program.closed_ms,
        parent=program.parent,
        runner=program.runner,
    )


def _open_program(shard: ShardState, record: records.ProgramOpened) -> None:
    if record.program in shard.programs:
        raise InvariantError(f"program {record.program} already exists")
    shard.programs[record.program] = Program(
        program_id=record.program,
        organisation=record.organisation,
        budget_tokens=record.budget_tokens,
        opened_ms=record.opened_ms,
        parent=record.parent,
        last_used_ms=record.opened_ms,
    )


def _begin_turn(shard: ShardState, record: records.TurnBegun) -> None:
    program = shard._require_program(record.program)
    if record.turn != program.turn_count + 1:
        raise InvariantError(
            f"turn {record.turn} after {program.turn_count} is out of order"
        )
    if record.reserve_tokens > program.remaining_tokens:
        raise InvariantError(f"{record.program} would exceed its budget")
    program.reserved_tokens += record.reserve_tokens
    program.runner = record.runner


def _complete_turn(shard: ShardState, record: records.TurnCompleted) -> None:
    program = shard._require_program(record.program)
    if record.turn != program.turn_count + 1:
        raise InvariantError(
            f"turn {record.turn} after {program.turn_count} is out of order"
        )
    _settle_reservation(program, record.spent_tokens)
    turn = Turn(record.request_id, record.request_digest, record.messages)
    program.add_turn(turn)
    program.last_used_ms = record.ended_ms
    shard.history_bytes += len(record.messages)


def _abandon_turn(shard: ShardState, record: records.TurnAbandoned) -> None:
    _settle_reservation(shard._require_program(record.program), record.spent_tokens)


def _settle_reservation(program: Program, spent_tokens: int) -> None:
    if program.spent_tokens + spent_tokens > program.budget_tokens:
        raise InvariantError(f"{program.program_id} would exceed its budget")
    program.reserved_tokens = 0
    program.spent_tokens += spent_tokens


def _draw_budget(shard: ShardState, record: records.BudgetDrawn) -> None:
    program = shard._require_program(record.program)
    if record.name in program.draws:
        raise InvariantError(
            f"{record.name} already drew from the budget of {record.program}"
        )
    if record.tokens > program.remaining_tokens:
        raise InvariantError(f"{record.program} would exceed its budget")
    program.draws[record.name] = record.tokens
    program.spent_tokens += record.tokens


def _close_program(shard: ShardState, record: records.ProgramClosed) -> None:
    shard._require_program(record.program).closed_ms = record.closed_ms


def _remove_program(shard: ShardState, record: records.ProgramRemoved) -> None:
    program = shard.programs.pop(record.program, None)
    if program is not None:
        shard.history_bytes -= sum(
            len(turn.compressed_messages) for turn in program.turns
        )


def _restore_program(shard: ShardState, record: records.ProgramSnapshot) -> None:
    program = Program(
        program_id=record.program,
        organisation=record.organisation,
        budget_tokens=record.budget_tokens,
        opened_ms=record.opened_ms,
        parent=record.parent,
        spent_tokens=record.spent_tokens,
        reserved_tokens=record.reserved_tokens,
        draws=dict(record.draws),
        last_used_ms=record.last_used_ms,
        closed_ms=record.closed_ms,
        runner=record.runner,
    )
    for fields in record.turns:
        turn = Turn(*fields)
        program.add_turn(turn)
        shard.history_bytes += len(turn.compressed_messages)
    shard.programs[record.program] = program


def _begin_call(shard: ShardState, record: records.CallBegun) -> None:
    if record.call in shard.calls:
        raise InvariantError(f"call {record.call} has already begun")
    shard.calls[record.call] = CallRecord(
        record.call, record.fingerprint, record.begun_ms
    )


def _end_call(shard: ShardState, record: records.CallEnded) -> None:
    call = shard.calls.get(record.call)
    if call is None:
        raise InvariantError(f"call {record.call} ended without having begun")
    if record.state == CallState.NOT_RUN:
        del shard.calls[record.call]
        return
    call.state = record.state
    call.status = record.status
    call.content_type = record.content_type
    call.body = record.body


def _remove_call(shard: ShardState, record: records.CallRemoved) -> None:
    shard.calls.pop(record.call, None)


def _restore_call(shard: ShardState, record: records.CallSnapshot) -> None:
    shard.calls[record.call] = CallRecord(*attrs.astuple(record, recurse=False))


_APPLY_BY_TYPE: dict[type, Callable] = {
    records.ProgramOpened: _open_program,
    records.TurnBegun: _begin_turn,
    records.TurnCompleted: _complete_turn,
    records.TurnAbandoned: _abandon_turn,
    records.BudgetDrawn: _draw_budget,
    records.ProgramClosed: _close_program,
    records.ProgramRemoved: _remove_program,
    records.ProgramSnapshot: _restore_program,
    records.CallBegun: _begin_call,
    records.CallEnded: _end_call,
    records.CallRemoved: _remove_call,
    records.CallSnapshot: _restore_call,
}
