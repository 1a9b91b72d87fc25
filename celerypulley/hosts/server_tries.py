"""Tries of one request at servers, one after the other, until one has answered."""

from collections.abc import Awaitable, Callable

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import Admitted
from celerypulley.hosts.forward_context import Chooser, ForwardContext
from celerypulley.links.server_connection import ServerCall, ServerLinkError

__all__ = ["FailedTry", "Try", "try_servers"]


@attrs.frozen(eq=False)
class Try:
    """One request on its way to one server; `is_last` says that no other follows."""

    server: EngineState
    call: ServerCall
    is_last: bool


@attrs.frozen
class FailedTry:
    """Why a server's answer is not passed on.

    `not_run` is the server's word that it did not run the request; one that had
    another server's address, `wrong_server`, does not count as a try.
    """

    refusal: Refusal
    not_run: bool = False
    wrong_server: bool = False


async def try_servers(
    context: ForwardContext,
    admitted: Admitted,
    service: str,
    chooser: Chooser,
    attempt: Callable[[Try], Awaitable[FailedTry | None]],
    fresh_tokens: Callable[[EngineState], float] = lambda _server: 0.0,
) -> str:
    """Return the name of the server whose answer `attempt` passed on.

    `fresh_tokens(server)` is what the server has to prefill. Raise CallRefusedError;
    its refusal says "not run" only where every server that was sent the request has
    said so.
    """
    route = admitted.route
    trail = admitted.trail
    avoid: frozenset[str] = frozenset()
    sends = 0
    failure = Refusal(ErrorKind.NO_BACKEND_SERVER, f"no server of {service}")
    while sends < route.attempts:
        server = context.choose(admitted, service, avoid, chooser)
        if server is None:
            break
        avoid = avoid | {server.name}
        call = None
        try:
            with context.counted(server, fresh_tokens(server)):
                call = await context.links.begin(server.address)
                sends += 1
                with context.watched(call, server, admitted, sends):
                    failed = await attempt(Try(server, call, sends >= route.attempts))
        except ServerLinkError as error:
            context.note_failure(admitted, server, error)
            failure = context.failure(server, error)
            if error.sent and not route.may_run_again:
                raise CallRefusedError(failure) from error
            continue
        finally:
            if call is not None and not call.is_finished:
                call.abort()
        if failed is None:
            return server.name
        failure = failed.refusal
        if failed.not_run:
            trail.not_run += 1
        if failed.wrong_server:
            sends -= 1
    if trail.may_have_run:
        failure = Refusal(ErrorKind.BACKEND_SERVER_FAILED, failure.detail)
    raise CallRefusedError(failure)
