"""Forwarding to plain services: at most one run where a call may not run twice."""

import random

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import choose_plain
from celerypulley.hosts.admission import Admitted
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.hosts.server_tries import FailedTry, Try, try_servers
from celerypulley.links.forward_server import ForwardSink

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
        service = pick_service(admitted.route, random.random())

        async def attempt(trying: Try) -> FailedTry | None:
            return await self._attempt(admitted, trying, sink)

        return await try_servers(self.context, admitted, service, choose_plain, attempt)

    async def _attempt(
        self, admitted: Admitted, trying: Try, sink: ForwardSink
    ) -> FailedTry | None:
        context = self.context
        server, call = trying.server, trying.call
        begun_ms = context.clock.now_ms()
        context.send(call, server, admitted)
        head, says = await context.head(call, server, admitted)
        body = await call.body()
        call.finish()
        if says.not_run:
            return FailedTry(context.shed(server, head), True, says.wrong_server)
        if head.status >= 500 and admitted.route.may_run_again and not trying.is_last:
            return FailedTry(context.error_answer(admitted, server, head))
        server.note_success()
        self._note_pace(admitted.route.name, server, begun_ms)
        await sink.whole(head.status, head.reason, says.headers, body)
        return None

    def _note_pace(self, route: str, server: EngineState, begun_ms: float) -> None:
        """Compare an answer's time with the route's mean over all servers."""
        now_ms = self.context.clock.now_ms()
        took_ms = now_ms - begun_ms
        mean_ms = self._mean_ms.get(route, took_ms)
        server.note_pace(now_ms, took_ms, mean_ms, _PACE_GAIN)
        self._mean_ms[route] = mean_ms + (took_ms - mean_ms) * _MEAN_GAIN
