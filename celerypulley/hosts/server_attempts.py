"""Send a request to one server after another until one has responded."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import attrs

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.forward_context import Chooser, ForwardContext
from celerypulley.hosts.turn_scheduler import TurnSlot
from celerypulley.links.forward_dialect import ResponseMetadata
from celerypulley.links.response_parser import ResponseHead
from celerypulley.links.server_connection import ServerCall, ServerCallError
from celerypulley.turn_scheduling.turn_dispatcher import SlotOutcome

__all__ = [
    "FailedAttempt",
    "ServerAttempt",
    "SlotSource",
    "not_run_attempt",
    "try_servers",
]

SlotSource = Callable[[frozenset[str], bool], Awaitable[TurnSlot | None]]

_SUCCESS = 200  # other statuses say nothing of how long turns take
_MAX_SHARE_WAIT_MS = 400.0
_MIN_SHARE_WAIT_MS = 1.0  # the resolution of the wall clock by which shares begin
# A retry may reach another host, whose share may begin at any time.
_MIN_SHARE_RETRY_S = 0.05
_MAX_SHARE_RETRY_S = 0.5
_SHED_RETRY_S = 0.1  # about the duration of a turn on an engine, which frees a slot
_log = DecisionLog("forward")


@attrs.frozen(eq=False)
class ServerAttempt:
    """A request sent to one server; `is_last` means that no retry follows."""

    server: EngineState
    call: ServerCall
    is_last: bool


@attrs.frozen
class FailedAttempt:
    """Why a server's response is not forwarded.

    `not_run` means that the server reported not to have run the request.
    `wrong_server` means that another server has the address now, which does not
    count as an attempt.
    """

    refusal: Refusal
    not_run: bool = False
    wrong_server: bool = False


def not_run_attempt(
    server: EngineState, head: ResponseHead, metadata: ResponseMetadata
) -> FailedAttempt:
    """Return the failed attempt for a server that refused to run the request.

    The connection is not released and so closed after the attempt: the rest of the
    refusal need not come, and no caller waits for it.
    """
    detail = f"{server.name} answered {head.status} without running the request"
    refusal = Refusal(ErrorKind.OVERLOADED, detail, retry_after_s=_SHED_RETRY_S)
    return FailedAttempt(refusal, True, metadata.wrong_server)


async def _choose(
    context: ForwardContext,
    admitted: AdmittedRequest,
    service: str,
    avoid: frozenset[str],
    chooser: Chooser,
) -> EngineState | None:
    """Return the server for a request, after a wait if all are cold.

    Return None where there is none; raise CallRefusedError where this host may send
    none of them a request soon.
    """
    cold = context.directory.cold
    attempts = admitted.attempts
    while True:
        server = context.choose(admitted, service, avoid, chooser)
        if server is not None:
            return server
        wait_ms = context.share_wait_ms(admitted, service, avoid)
        if math.isinf(wait_ms):
            return None
        now_ms = context.clock.now_ms()
        limit_ms = _MAX_SHARE_WAIT_MS - attempts.share_waited_ms
        if wait_ms > min(limit_ms, admitted.deadline_ms - now_ms):
            cold.refused_count += 1
            retry_after_s = min(
                _MAX_SHARE_RETRY_S, max(_MIN_SHARE_RETRY_S, wait_ms / 1000)
            )
            raise CallRefusedError(
                Refusal(
                    ErrorKind.NO_BACKEND_SERVER,
                    f"service {service} is cold, no share within {wait_ms:.0f} ms",
                    retry_after_s=round(retry_after_s, 2),
                )
            )
        if not attempts.share_waited_ms:
            cold.waited_count += 1
            _log.write(
                "waits for a share",
                f"the servers of service {service} that are left are cold",
                request=admitted.request.request_id,
                wait_ms=round(wait_ms, 1),
            )
        cold.waiting[service] = cold.waiting.get(service, 0) + 1
        try:
            await asyncio.sleep(max(_MIN_SHARE_WAIT_MS, wait_ms) / 1000)
        finally:
            cold.waiting[service] -= 1
            attempts.share_waited_ms += context.clock.now_ms() - now_ms


async def try_servers(
    context: ForwardContext,
    admitted: AdmittedRequest,
    service: str,
    chooser: Chooser,
    run_attempt: Callable[[ServerAttempt], Awaitable[FailedAttempt | None]],
    prefill_tokens: Callable[[EngineState], float] = lambda _server: 0.0,
    acquire_slot: SlotSource | None = None,
) -> str:
    """Return the name of the server whose response `run_attempt` forwarded.

    `prefill_tokens(server)` returns the tokens that the server has to prefill.
    `acquire_slot(excluded, was_shed)` returns a slot of a server that is not excluded,
    or None if `chooser` has to choose. Raise CallRefusedError where all attempts
    failed; its refusal has the run state "not run" only if every server that was sent
    the request reported that it did not run it.
    """
    route = admitted.route
    attempts = admitted.attempts
    trials = context.crash_trials
    avoid: frozenset[str] = frozenset()
    send_count = 0
    is_trial = False
    was_shed = False
    failure = Refusal(
        ErrorKind.NO_BACKEND_SERVER, f"no available server of service {service}"
    )
    while send_count < route.max_attempts:
        quarantined = trials.find_refusal(admitted.fingerprint)
        if quarantined is not None:
            if not is_trial and not attempts.may_have_run:
                is_trial = await trials.claim(admitted.fingerprint)
            if not is_trial or attempts.may_have_run:
                failure = quarantined
                break
        slot = None
        try:
            if acquire_slot is not None:
                slot = await acquire_slot(avoid, was_shed)
            if slot is not None:
                server = slot.server
                context.log_slot(admitted, server, slot.reason)
            else:
                server = await _choose(context, admitted, service, avoid, chooser)
        except CallRefusedError as error:
            failure = error.refusal
            break
        if server is None:
            break
        avoid = avoid | {server.name}
        call = None
        outcome = SlotOutcome.UNKNOWN
        started_ms = context.clock.now_ms()
        try:
            running = context.expected_call(admitted, service, server)
            with context.count_in_flight(server, prefill_tokens(server), running):
                call = await context.start_call(server, admitted)
                send_count += 1
                with context.stall_guard(call, server, admitted, send_count):
                    failed = await run_attempt(
                        ServerAttempt(server, call, send_count >= route.max_attempts)
                    )
            was_shed = failed is not None and failed.not_run and not failed.wrong_server
            if was_shed:
                outcome = SlotOutcome.SHED
            elif failed is None and call.status == _SUCCESS:
                outcome = SlotOutcome.COMPLETE
        except ServerCallError as error:
            outcome = SlotOutcome.FAILED
            context.record_failure(admitted, server, started_ms, error)
            failure = context.link_error_refusal(server, error)
            if error.sent and not route.may_run_again:
                raise CallRefusedError(failure) from error
            continue
        except asyncio.CancelledError:
            context.record_abandoned(admitted, server, started_ms)
            raise
        finally:
            if call is not None and not call.is_released:
                call.abort()
            if slot is not None:
                slot.end(outcome)
        if failed is None:
            return server.name
        failure = failed.refusal
        if failed.not_run:
            attempts.not_run_count += 1
        if failed.wrong_server:
            send_count -= 1
    if is_trial and not attempts.may_have_run:
        trials.give_back(admitted.fingerprint)
    if attempts.may_have_run:
        failure = Refusal(ErrorKind.BACKEND_SERVER_FAILED, failure.detail)
    raise CallRefusedError(failure)
