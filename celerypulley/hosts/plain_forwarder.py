"""Forward requests to plain services.

A request that is not repeatable is sent again only if it certainly did not run.
"""

import random

from celerypulley.backend_servers.cost_model import PlainSample
from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import (
    choose_plain_server,
    expected_duration_ms,
)
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.hosts.server_attempts import (
    FailedAttempt,
    ServerAttempt,
    not_run_attempt,
    try_servers,
)
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.header_text import parse_whole_number

__all__ = ["PlainForwarder"]


# Durations of plain calls deviate by as much as their mean, so the averages need
# many samples.
_PACE_GAIN = 0.05
_MEAN_GAIN = 0.02


class PlainForwarder:
    """Send requests to servers and return their complete responses."""

    def __init__(self, context: ForwardContext) -> None:
        """Use the connections and server states of `context`."""
        self.context = context
        self._mean_ms: dict[str, float] = {}

    async def run(self, admitted: AdmittedRequest, sink: ForwardSink) -> str:
        """Forward a server's response and return the server's name.

        Raise CallRefusedError where no server gave one.
        """
        service = pick_service(admitted.route, random.random())

        async def run_attempt(server_attempt: ServerAttempt) -> FailedAttempt | None:
            return await self._attempt(admitted, service, server_attempt, sink)

        return await try_servers(
            self.context, admitted, service, choose_plain_server, run_attempt
        )

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        service: str,
        server_attempt: ServerAttempt,
        sink: ForwardSink,
    ) -> FailedAttempt | None:
        context = self.context
        server, call = server_attempt.server, server_attempt.call
        started_ms = context.clock.now_ms()
        queued = server.is_full(started_ms)
        context.send(call, server, admitted)
        head, metadata = await context.read_head(call, server, admitted)
        if metadata.not_run:
            return not_run_attempt(server, head, metadata)
        if admitted.request.method != "HEAD":
            length = parse_whole_number(head.headers.get("Content-Length", ""))
            await sink.reserve_response(length or 0)
        body = await call.read_body(sink.hold_response)
        call.release()
        if (
            head.status >= 500
            and admitted.route.may_run_again
            and not server_attempt.is_last
        ):
            return FailedAttempt(context.server_error_refusal(admitted, server, head))
        server.record_success()
        if 200 <= head.status < 300:
            context.crash_counts.record_whole_run(admitted.fingerprint)
        sample = PlainSample(
            body_bytes=len(admitted.request.body),
            took_ms=context.clock.now_ms() - started_ms,
            pace=metadata.pace or 1.0,
            queued=queued or bool(metadata.waiting),
        )
        if context.costs.is_learned(service):
            # A server that fails at once is not fast.
            if 200 <= head.status < 300:
                self._learn(admitted, service, server, sample)
        else:
            self._record_pace(admitted.route.name, server, sample.took_ms)
        await sink.respond(head.status, head.reason, metadata.headers, body)
        return None

    def _learn(
        self,
        admitted: AdmittedRequest,
        service: str,
        server: EngineState,
        sample: PlainSample,
    ) -> None:
        """Compare a response time with the learned one, and learn from it."""
        context = self.context
        expected_ms = expected_duration_ms(
            context.engine_call(admitted, service), server
        )
        server.record_duration(
            context.clock.now_ms(),
            sample.took_ms,
            expected_ms * sample.pace,
            _PACE_GAIN,
        )
        context.costs.add_plain(service, admitted.route.name, server, sample)

    def _record_pace(self, route: str, server: EngineState, took_ms: float) -> None:
        """Compare a response time with the route's mean over all servers."""
        now_ms = self.context.clock.now_ms()
        mean_ms = self._mean_ms.get(route, took_ms)
        server.record_duration(now_ms, took_ms, mean_ms, _PACE_GAIN)
        self._mean_ms[route] = mean_ms + (took_ms - mean_ms) * _MEAN_GAIN
