"""Admit, forward and log opaque requests."""

import asyncio
import traceback

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.admission import Admission, AdmittedRequest
from celerypulley.hosts.forward_metrics import ForwardMetrics
from celerypulley.hosts.plain_forwarder import PlainForwarder
from celerypulley.hosts.stream_forwarder import StreamForwarder
from celerypulley.links.forward_server import ForwardSink
from celerypulley.links.response_sink import CallerDisconnectedError
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Forwarder"]

# A request with less time until the host stops is refused, so that another host can
# serve it. Calls take up to 0.4 s on the site sheets, and turns half as long.
_MIN_SERVICE_MS = 1_000.0
_SHUTDOWN_RETRY_S = 0.1  # other hosts are ready
_log = DecisionLog("request")


class Forwarder:
    """Admit requests and forward them as streams or as plain calls."""

    def __init__(
        self,
        admission: Admission,
        plain: PlainForwarder,
        streams: StreamForwarder,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        """Record the outcome of every request in `metrics`."""
        self.admission = admission
        self.plain = plain
        self.streams = streams
        self.metrics = metrics
        self.clock = clock
        self._stop_ms = float("inf")
        self._last_call_ms = float("inf")
        self._running: set[asyncio.Timeout] = set()

    def stop_by(self, stop_ms: float, last_call_ms: float = float("inf")) -> None:
        """End every request with a response by `stop_ms` at the latest.

        Requests that come shortly before that are refused, and so are those that come
        after `last_call_ms` and may last longer.
        """
        self._stop_ms = stop_ms
        self._last_call_ms = last_call_ms
        remaining_s = (stop_ms - self.clock.now_ms()) / 1000
        stop_at_s = asyncio.get_running_loop().time() + remaining_s
        for timeout in self._running:
            if timeout.expired():
                continue
            timeout.reschedule(min(timeout.when() or stop_at_s, stop_at_s))

    async def run(self, request: OpaqueRequest, sink: ForwardSink) -> Refusal | None:
        """Respond through `sink`; return a refusal if the response is not complete."""
        admitted: AdmittedRequest | None = None
        refusal: Refusal | None = None
        try:
            self._check_shutdown(is_outlasting=False)
            admitted = await self.admission.admit(request)
            is_late = request.received_ms > self._last_call_ms
            self._check_shutdown(is_late and admitted.deadline_ms > self._stop_ms)
            await self._run_admitted(admitted, sink)
        except CallRefusedError as error:
            refusal = error.refusal
        except CallerDisconnectedError as error:
            refusal = Refusal(
                ErrorKind.OUTCOME_UNKNOWN, f"the caller disconnected: {error}"
            )
        except asyncio.CancelledError:
            disconnected = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller disconnected")
            self._record_outcome(request, admitted, sink, disconnected)
            raise
        except Exception as error:
            _log.write(
                "unhandled exception",
                "".join(traceback.format_exception(error))[-2_000:],
            )
            refusal = Refusal(ErrorKind.INTERNAL, repr(error))
        self._record_outcome(request, admitted, sink, refusal)
        return refusal

    async def _run_admitted(self, admitted: AdmittedRequest, sink: ForwardSink) -> None:
        deadline_ms = min(admitted.deadline_ms, self._stop_ms)
        remaining_ms = deadline_ms - self.clock.now_ms()
        run = self.streams.run if admitted.route.is_streaming else self.plain.run
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000) as timeout:
                self._running.add(timeout)
                await run(admitted, sink)
        except TimeoutError:
            now_ms = self.clock.now_ms()
            limit = "the deadline" if admitted.deadline_ms <= now_ms else "the stop"
            refusal = admitted.attempts.deadline_refusal(
                f"no complete response before {limit}"
            )
            raise CallRefusedError(refusal) from None
        finally:
            self._running.discard(timeout)

    def _check_shutdown(self, is_outlasting: bool) -> None:
        remaining_ms = self._stop_ms - self.clock.now_ms()
        if is_outlasting or remaining_ms < _MIN_SERVICE_MS:
            raise CallRefusedError(
                Refusal(
                    ErrorKind.SHUTTING_DOWN,
                    f"this host stops in {remaining_ms:.0f} ms",
                    retry_after_s=_SHUTDOWN_RETRY_S,
                )
            )

    def _record_outcome(
        self,
        request: OpaqueRequest,
        admitted: AdmittedRequest | None,
        sink: ForwardSink,
        refusal: Refusal | None,
    ) -> None:
        took_ms = self.clock.now_ms() - request.received_ms
        if admitted is not None:
            route, organisation = admitted.route.name, admitted.organisation_name
        else:
            route, organisation = self.admission.describe(request)
        status = sink.response.status if sink.response is not None else 0
        self.metrics.record_request(route, took_ms, refusal)
        _log.write(
            refusal.kind.value if refusal else "answered",
            refusal.detail if refusal else f"status {status}",
            request=request.request_id,
            program=request.program,
            previous_turn=request.previous_turn,
            organisation=organisation,
            route=route,
            version=self.admission.desired_state.version,
            version_age_ms=_rounded_ms(self.admission.desired_state.age_ms()),
            servers=",".join(admitted.attempts.servers) if admitted else "",
            requests_before=(
                admitted.attempts.describe_connections() if admitted else ""
            ),
            took_ms=round(took_ms, 1),
            response_started=sink.response is not None,
        )


def _rounded_ms(value_ms: float) -> int | None:
    return None if value_ms == float("inf") else round(value_ms)
