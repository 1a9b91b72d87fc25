"""Forwarding to plain services: at most one run where a call may not run twice."""

import random

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import choose_plain_server
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.hosts.server_attempts import FailedAttempt, ServerAttempt, try_servers
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

    async def run(self, admitted: AdmittedRequest, sink: ForwardSink) -> str:
        """Pass the answer of a server on; return its name, raise CallRefusedError."""
        service = pick_service(admitted.route, random.random())

        async def run_attempt(server_attempt: ServerAttempt) -> FailedAttempt | None:
            return await self._attempt(admitted, server_attempt, sink)

        return await try_servers(
            self.context, admitted, service, choose_plain_server, run_attempt
        )

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        server_attempt: ServerAttempt,
        sink: ForwardSink,
    ) -> FailedAttempt | None:
        context = self.context
        server, call = server_attempt.server, server_attempt.call
        started_ms = context.clock.now_ms()
        context.send(call, server, admitted)
        head, metadata = await context.read_head(call, server, admitted)
        body = await call.read_body()
        call.release()
        if metadata.not_run:
            return FailedAttempt(
                context.not_run_refusal(server, head), True, metadata.wrong_server
            )
        if (
            head.status >= 500
            and admitted.route.may_run_again
            and not server_attempt.is_last
        ):
            return FailedAttempt(context.server_error_refusal(admitted, server, head))
        server.record_success()
        self._record_pace(admitted.route.name, server, started_ms)
        await sink.respond(head.status, head.reason, metadata.headers, body)
        return None

    def _record_pace(self, route: str, server: EngineState, started_ms: float) -> None:
        """Compare an answer's time with the route's mean over all servers."""
        now_ms = self.context.clock.now_ms()
        took_ms = now_ms - started_ms
        mean_ms = self._mean_ms.get(route, took_ms)
        server.record_duration(now_ms, took_ms, mean_ms, _PACE_GAIN)
        self._mean_ms[route] = mean_ms + (took_ms - mean_ms) * _MEAN_GAIN
