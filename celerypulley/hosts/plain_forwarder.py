"""Forwarding to plain services: at most one run where a call may not run twice."""

import random

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import choose_plain
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import Admitted
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.server_connection import ServerLinkError

__all__ = ["PlainForwarder"]


# The work of plain calls varies as much as its mean: many answers tell the pace.
_PACE_GAIN = 0.05
_MEAN_GAIN = 0.02


class PlainForwarder:
    """Send whole requests to servers and pass whole answers back."""

    def __init__(self, context: ForwardContext) -> None:
        """Use the links and beliefs of `context`."""
        self.context = context
        self._mean_ms: dict[str, float] = {}

    async def run(self, admitted: Admitted, sink: ForwardSink) -> str:
        """Pass the answer of a server on; return its name, raise CallRefusedError."""
        context = self.context
        route = admitted.route
        service = pick_service(route, random.random())
        avoid: frozenset[str] = frozenset()
        sends = 0
        failure = Refusal(ErrorKind.NO_BACKEND_SERVER, f"no server of {service}")
        while sends < route.attempts:
            server = context.choose(admitted, service, avoid, choose_plain)
            if server is None:
                break
            avoid = avoid | {server.name}
            call = None
            begun_ms = context.clock.now_ms()
            try:
                with context.counted(server):
                    call = await context.begin(server)
                    sends += 1
                    context.send(call, server, admitted)
                    with context.watched(call, server, admitted, sends):
                        head, says = await context.head(call, server, admitted)
                        body = await call.body()
                    call.finish()
            except ServerLinkError as error:
                context.note_failure(admitted, server, error)
                if error.sent and not route.may_run_again:
                    raise CallRefusedError.of(
                        ErrorKind.BACKEND_SERVER_FAILED, f"{server.name}: {error}"
                    ) from error
                failure = context.failure(server, error)
                continue
            finally:
                if call is not None and not call.is_finished:
                    call.abort()
            if says.not_run:
                sends -= int(says.wrong_server)
                failure = context.shed(server, head)
                continue
            if head.status >= 500 and route.may_run_again and sends < route.attempts:
                context.note_error_answer(admitted, server, head)
                continue
            server.note_success()
            self._note_pace(route.name, server, begun_ms)
            await sink.whole(head.status, head.reason, says.headers, body)
            return server.name
        raise CallRefusedError(failure)

    def _note_pace(self, route: str, server: EngineState, begun_ms: float) -> None:
        """Compare an answer's time with the route's mean over all servers."""
        now_ms = self.context.clock.now_ms()
        took_ms = now_ms - begun_ms
        mean_ms = self._mean_ms.get(route, took_ms)
        server.note_pace(now_ms, took_ms, mean_ms, _PACE_GAIN)
        self._mean_ms[route] = mean_ms + (took_ms - mean_ms) * _MEAN_GAIN
