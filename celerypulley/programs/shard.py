"""The state of one shard: programs and call records, changed by records only."""

from collections.abc import Callable, Iterator

import attrs

from celerypulley.programs import records
from celerypulley.programs.identifier import ShardId
from celerypulley.programs.program import CallRecord, CallState, Program, Turn

__all__ = ["InvariantError", "ShardState"]


class InvariantError(AssertionError):
    """A record would break a promise; the shard is left as it was."""


@attrs.define
class ShardState:
    """Programs and calls of a shard, and the sequence number of its last record."""

    shard: ShardId
    sequence: int = 0
    programs: dict[str, Program] = attrs.Factory(dict)
    calls: dict[str, CallRecord] = attrs.Factory(dict)
    history_bytes: int = 0

    def apply(self, record: object) -> None:
        """Apply one record; raise InvariantError where it breaks a promise."""
        _APPLY[type(record)](self, record)
        self.sequence += 1

    def images(self) -> Iterator[object]:
        """Yield records that build this state from nothing."""
        for program in self.programs.values():
            yield program_image(program)
        for call in self.calls.values():
            yield records.CallImage(*attrs.astuple(call, recurse=False))

    def _program(self, name: str) -> Program:
        program = self.programs.get(name)
        if program is None:
            raise InvariantError(f"record for unknown program {name}")
        return program


def program_image(program: Program) -> records.ProgramImage:
    """Return a whole program as one record."""
    return records.ProgramImage(
        program=program.program,
        organisation=program.organisation,
        budget_tokens=program.budget_tokens,
        spent_tokens=program.spent_tokens,
        reserved_tokens=program.reserved_tokens,
        turns=[list(attrs.astuple(turn)) for turn in program.turns],
        draws=dict(program.draws),
        opened_ms=program.opened_ms,
        used_ms=program.used_ms,
        closed_ms=program.closed_ms,
        parent=program.parent,
        runner=program.runner,
    )


def _open(shard: ShardState, record: records.ProgramOpened) -> None:
    if record.program in shard.programs:
        raise InvariantError(f"program {record.program} opened twice")
    shard.programs[record.program] = Program(
        program=record.program,
        organisation=record.organisation,
        budget_tokens=record.budget_tokens,
        opened_ms=record.opened_ms,
        parent=record.parent,
        used_ms=record.opened_ms,
    )


def _begin_turn(shard: ShardState, record: records.TurnBegun) -> None:
    program = shard._program(record.program)
    if record.turn != program.turn_count + 1:
        raise InvariantError(f"turn {record.turn} after {program.turn_count}")
    if record.reserve_tokens > program.left_tokens:
        raise InvariantError(f"{record.program} would exceed its budget")
    program.reserved_tokens += record.reserve_tokens
    program.runner = record.runner


def _end_turn(shard: ShardState, record: records.TurnDone) -> None:
    program = shard._program(record.program)
    if record.turn != program.turn_count + 1:
        raise InvariantError(f"turn {record.turn} after {program.turn_count}")
    _settle(program, record.spent_tokens)
    turn = Turn(record.request_id, record.request_digest, record.messages)
    program.add_turn(turn)
    program.used_ms = record.ended_ms
    shard.history_bytes += len(record.messages)


def _abandon_turn(shard: ShardState, record: records.TurnAbandoned) -> None:
    _settle(shard._program(record.program), record.spent_tokens)


def _settle(program: Program, spent_tokens: int) -> None:
    if program.spent_tokens + spent_tokens > program.budget_tokens:
        raise InvariantError(f"{program.program} would exceed its budget")
    program.reserved_tokens = 0
    program.spent_tokens += spent_tokens


def _draw(shard: ShardState, record: records.BudgetDrawn) -> None:
    program = shard._program(record.program)
    if record.name in program.draws:
        raise InvariantError(f"{record.name} drew twice from {record.program}")
    if record.tokens > program.left_tokens:
        raise InvariantError(f"{record.program} would exceed its budget")
    program.draws[record.name] = record.tokens
    program.spent_tokens += record.tokens


def _close(shard: ShardState, record: records.ProgramClosed) -> None:
    shard._program(record.program).closed_ms = record.closed_ms


def _forget_program(shard: ShardState, record: records.ProgramForgotten) -> None:
    program = shard.programs.pop(record.program, None)
    if program is not None:
        shard.history_bytes -= sum(len(turn.messages) for turn in program.turns)


def _install_program(shard: ShardState, record: records.ProgramImage) -> None:
    program = Program(
        program=record.program,
        organisation=record.organisation,
        budget_tokens=record.budget_tokens,
        opened_ms=record.opened_ms,
        parent=record.parent,
        spent_tokens=record.spent_tokens,
        reserved_tokens=record.reserved_tokens,
        draws=dict(record.draws),
        used_ms=record.used_ms,
        closed_ms=record.closed_ms,
        runner=record.runner,
    )
    for fields in record.turns:
        turn = Turn(*fields)
        program.add_turn(turn)
        shard.history_bytes += len(turn.messages)
    shard.programs[record.program] = program


def _begin_call(shard: ShardState, record: records.CallBegun) -> None:
    if record.call in shard.calls:
        raise InvariantError(f"call {record.call} begun twice")
    shard.calls[record.call] = CallRecord(
        record.call, record.fingerprint, record.begun_ms
    )


def _end_call(shard: ShardState, record: records.CallEnded) -> None:
    call = shard.calls.get(record.call)
    if call is None:
        raise InvariantError(f"call {record.call} ended before it began")
    if record.state == CallState.NOT_RUN:
        del shard.calls[record.call]
        return
    call.state = record.state
    call.status = record.status
    call.content_type = record.content_type
    call.body = record.body


def _forget_call(shard: ShardState, record: records.CallForgotten) -> None:
    shard.calls.pop(record.call, None)


def _install_call(shard: ShardState, record: records.CallImage) -> None:
    shard.calls[record.call] = CallRecord(*attrs.astuple(record, recurse=False))


_APPLY: dict[type, Callable] = {
    records.ProgramOpened: _open,
    records.TurnBegun: _begin_turn,
    records.TurnDone: _end_turn,
    records.TurnAbandoned: _abandon_turn,
    records.BudgetDrawn: _draw,
    records.ProgramClosed: _close,
    records.ProgramForgotten: _forget_program,
    records.ProgramImage: _install_program,
    records.CallBegun: _begin_call,
    records.CallEnded: _end_call,
    records.CallForgotten: _forget_call,
    records.CallImage: _install_call,
}
