"""The path of one opaque request through a host, and the line that it leaves."""

import asyncio
import traceback

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import Admission, Admitted
from celerypulley.hosts.forward_metrics import ForwardMetrics
from celerypulley.hosts.plain_forwarder import PlainForwarder
from celerypulley.hosts.stream_forwarder import StreamForwarder
from celerypulley.links.answer_sink import CallerGoneError
from celerypulley.links.forward_server import ForwardSink
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Forwarder"]

_log = DecisionLog("request")


class Forwarder:
    """Admit requests and have them run as streams or as plain calls."""

    def __init__(
        self,
        admission: Admission,
        plain: PlainForwarder,
        streams: StreamForwarder,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        """Count every request in `metrics`."""
        self.admission = admission
        self.plain = plain
        self.streams = streams
        self.metrics = metrics
        self.clock = clock

    async def run(self, request: OpaqueRequest, sink: ForwardSink) -> Refusal | None:
        """Answer a request through `sink`, or return why there is no answer."""
        admitted: Admitted | None = None
        refusal: Refusal | None = None
        try:
            admitted = await self.admission.admit(request)
            await self._run_admitted(admitted, sink)
        except CallRefusedError as error:
            refusal = error.refusal
        except CallerGoneError as error:
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, f"the caller left: {error}")
        except asyncio.CancelledError:
            left = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller left")
            self._note(request, admitted, sink, left)
            raise
        except Exception as error:
            _log.write("fault", "".join(traceback.format_exception(error))[-2_000:])
            refusal = Refusal(ErrorKind.INTERNAL, repr(error))
        self._note(request, admitted, sink, refusal)
        return refusal

    async def _run_admitted(self, admitted: Admitted, sink: ForwardSink) -> None:
        left_ms = admitted.deadline_ms - self.clock.now_ms()
        run = self.streams.run if admitted.route.streams else self.plain.run
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await run(admitted, sink)
        except TimeoutError:
            refusal = admitted.trail.deadline_refusal(
                f"no whole answer within {left_ms:.0f} ms"
            )
            raise CallRefusedError(refusal) from None

    def _note(
        self,
        request: OpaqueRequest,
        admitted: Admitted | None,
        sink: ForwardSink,
        refusal: Refusal | None,
    ) -> None:
        took_ms = self.clock.now_ms() - request.received_ms
        if admitted is not None:
            route, organisation = admitted.route.name, admitted.organisation_name
        else:
            route, organisation = self.admission.describe(request)
        status = sink.response.status if sink.response is not None else 0
        self.metrics.note(route, took_ms, refusal)
        _log.write(
            refusal.kind.value if refusal else "answered",
            refusal.detail if refusal else f"status {status}",
            request=request.request_id,
            program=request.program,
            previous=request.previous_turn,
            organisation=organisation,
            route=route,
            version=self.admission.holder.version,
            version_age_ms=_whole(self.admission.holder.age_ms()),
            servers=",".join(admitted.trail.servers) if admitted else "",
            took_ms=round(took_ms, 1),
            begun=sink.response is not None,
        )


def _whole(value_ms: float) -> int | None:
    return None if value_ms == float("inf") else round(value_ms)
