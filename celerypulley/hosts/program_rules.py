"""Checks of the calls of a program at its owner."""

from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import Route
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import Program

__all__ = [
    "check_receipt",
    "find_program",
    "parse_program_id",
    "require_configuration",
    "require_route",
]


def find_program(
    owner: ShardOwner, program_id: ProgramId, organisation: str
) -> Program:
    """Return an organisation's program; raise CallRefusedError.

    Another organisation's program is reported as unknown. An owner that may have been
    superseded gives no information about any program.
    """
    owner.require_promise()
    program = owner.state.programs.get(str(program_id))
    if program is not None and program.organisation == organisation:
        return program
    lost_epoch = owner.entry.lost_epoch
    if program is None and program_id.epoch < lost_epoch:
        raise CallRefusedError.of(
            ErrorKind.HISTORY_LOST, f"owner and replica of {program_id} were lost"
        )
    raise CallRefusedError.of(ErrorKind.UNKNOWN_PROGRAM, f"no program {program_id}")


def check_receipt(program: Program, receipt: str) -> None:
    """Raise CallRefusedError if the receipt is not part of the program's history.

    The caller has then seen turns that this owner does not hold. A receipt is
    `turns.digest`, as an earlier response returned it.
    """
    if not receipt:
        return
    turns, _, digest = receipt.partition(".")
    if not (turns.isascii() and turns.isdigit()):
        raise CallRefusedError.of(
            ErrorKind.BAD_REQUEST,
            f"receipt {receipt!r} does not have the form turns.digest",
        )
    behind = int(turns) > program.turn_count
    forked = int(turns) == program.turn_count and digest != program.digest
    if behind or forked:
        raise CallRefusedError.of(
            ErrorKind.HISTORY_BEHIND,
            f"receipt {receipt} is not part of the history {program.receipt}",
        )


def require_configuration(follower: ConfigurationFollower) -> Configuration:
    """Return the active configuration; raise CallRefusedError without one."""
    if follower.current is None:
        raise CallRefusedError.of(
            ErrorKind.CONFIGURATION_STALE, "no configuration is active yet"
        )
    return follower.current


def require_route(configuration: Configuration, model: str) -> Route:
    """Return the route of a model; raise CallRefusedError without one."""
    route = configuration.route_of_model(model)
    if route is None:
        raise CallRefusedError.of(
            ErrorKind.UNKNOWN_MODEL, f"no route serves model {model!r}"
        )
    return route


def parse_program_id(text: str) -> ProgramId:
    """Return a program's identifier; raise CallRefusedError if it is malformed."""
    try:
        return ProgramId.parse(text)
    except ValueError as error:
        raise CallRefusedError.of(ErrorKind.UNKNOWN_PROGRAM, str(error)) from None
