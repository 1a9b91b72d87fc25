"""Forwarding to plain services: at most one run where a call may not run twice."""

import random

from celerypulley.backend_servers.routing import PLAIN_WORK_MS, choose_plain
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import Admitted
from celerypulley.hosts.forward_context import ForwardContext, pick_service
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.server_connection import ServerLinkError

__all__ = ["PlainForwarder"]


class PlainForwarder:
    """Send whole requests to servers and pass whole answers back."""

    def __init__(self, context: ForwardContext) -> None:
        """Use the links and beliefs of `context`."""
        self.context = context

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
            now_ms = context.clock.now_ms()
            server.note_pace(now_ms, now_ms - begun_ms, PLAIN_WORK_MS)
            await sink.whole(head.status, head.reason, says.headers, body)
            return server.name
        raise CallRefusedError(failure)
