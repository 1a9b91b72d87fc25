"""Steps that forwarding to model engines and to plain services share."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager, nullcontext

import attrs

from celerypulley.backend_servers.affinity import with_affinity
from celerypulley.backend_servers.cost_model import CostModel
from celerypulley.backend_servers.engine_state import (
    EngineReport,
    EngineState,
    RunningCall,
)
from celerypulley.backend_servers.routing import (
    Choice,
    EngineCall,
    expected_duration_ms,
    usable_engines,
)
from celerypulley.clock import NEVER_MS, Clock
from celerypulley.contracts.desired_state import ForwardRoute
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.fleet.crash_counts import CrashCounts
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.crash_detector import CrashDetector
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.hosts.stall_monitor import STALL_TIMEOUT_MS, StallMonitor
from celerypulley.links.forward_dialect import Dialect, ForwardedCall, ResponseMetadata
from celerypulley.links.response_parser import RequestIdentity, ResponseHead
from celerypulley.links.server_connection import (
    ServerCall,
    ServerCallError,
    ServerLinks,
)

__all__ = ["Chooser", "ForwardContext", "pick_service"]

Chooser = Callable[[EngineCall, list[EngineState], frozenset[str]], Choice | None]

_CROSS_DOMAIN_RTT_MS = 2.0  # round trip between failure domains (site sheets)
# Traffic between domains is expensive: a kilobyte costs as much as one more sequence
# on a local engine, 4 ms for a turn of 73 tokens (site sheets). Headers take 1 kB.
_CROSS_DOMAIN_MS_PER_KB = 4.0
_MIN_REMAINING_MS = 5.0  # with less, no response can arrive in time
_log = DecisionLog("forward")


def pick_service(route: ForwardRoute, draw: float) -> str:
    """Return a service of a route by weight; `draw` is a random number in [0, 1)."""
    total = sum(share.weight for share in route.services)
    remaining = draw * total
    for share in route.services:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.services[-1].service


@attrs.frozen
class ForwardContext:
    """What this host needs to forward a request.

    `unreachable_domains()` returns the failure domains from which no host is
    reachable. `region_of_domain` has the regions of all failure domains.
    `affinity_counts` counts requests about objects that went to the first server for
    the object, and to another one.
    """

    directory: ServerDirectory
    links: ServerLinks
    dialect: Dialect
    crash_counts: CrashCounts
    crash_trials: CrashTrials
    crash_detector: CrashDetector
    unreachable_domains: Callable[[], frozenset[str]]
    clock: Clock
    stall_monitor: StallMonitor
    region_of_domain: Mapping[str, str] = attrs.Factory(dict)
    costs: CostModel = attrs.Factory(CostModel)
    affinity_counts: Counter[str] = attrs.Factory(Counter)

    def engine_call(self, admitted: AdmittedRequest, service: str) -> EngineCall:
        """Return the properties of a request that routing depends on."""
        request = admitted.request
        route = admitted.route
        return EngineCall(
            program=request.program,
            model=service,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=self.costs.expected_tokens(
                service, route.name, request.expected_tokens, request.max_tokens
            ),
            domain=self.directory.domain,
            now_ms=self.clock.now_ms(),
            prefix_parts=request.prefix_parts,
            cross_domain_ms=_CROSS_DOMAIN_RTT_MS
            + _CROSS_DOMAIN_MS_PER_KB * (1.0 + len(request.body) / 1024),
            costs=self.costs.call_costs(
                service, route.name, len(request.body), route.is_streaming
            ),
        )

    def choose(
        self,
        admitted: AdmittedRequest,
        service: str,
        avoid: frozenset[str],
        chooser: Chooser,
    ) -> EngineState | None:
        """Return the server for a request, None where there is none.

        Servers that failed recently are chosen only as a last resort, and cold ones
        only within this host's share.
        """
        call = self.engine_call(admitted, service)
        instant = self.directory.instant()
        cold = self.directory.cold
        request = admitted.request
        if (
            admitted.route.is_sticky
            and request.affinity_key
            and not request.prefix_parts
        ):
            chooser = with_affinity(request.affinity_key, chooser, self._count_rank)
        servers = cold.allowed(service, self._candidates(admitted, service), instant)
        choice = chooser(call, servers, avoid)
        if choice is None:
            candidates = [attrs.evolve(each) for each in servers]
            for each in candidates:
                each.backoff_until_ms = NEVER_MS
            choice = chooser(call, candidates, avoid)
        if choice is None:
            draining = self._within_home(
                admitted,
                self.directory.draining_of_service(service, request.received_ms),
            )
            choice = chooser(call, cold.allowed(service, draining, instant), avoid)
        else:
            self.directory.record_choice(service, request.request_id)
        if choice is None:
            return None
        server = self.directory.servers.get(choice.engine.name)
        if server is not None:
            cold_fields = {}
            if cold.take_share(server, instant):
                admitted.attempts.share_server = server.name
                cold_fields["is_cold"] = True
            self._log_server(
                admitted,
                server,
                choice.reason,
                cost_ms=round(choice.estimate_ms, 1),
                avoided=len(avoid),
                **cold_fields,
            )
        return server

    def _count_rank(self, rank: int) -> None:
        self.affinity_counts["other" if rank else "first"] += 1

    def share_wait_ms(
        self, admitted: AdmittedRequest, service: str, avoid: frozenset[str]
    ) -> float:
        """Return the time until this host's next free share of a cold server.

        It is infinite if no cold server could serve the request.
        """
        call = self.engine_call(admitted, service)
        usable = usable_engines(call, self._candidates(admitted, service), avoid)
        cold = self.directory.cold
        position = cold.waiting.get(service, 0)
        return cold.share_wait_ms(usable, position, self.directory.instant())

    def log_slot(
        self, admitted: AdmittedRequest, server: EngineState, reason: str
    ) -> None:
        """Log the server of a slot that was assigned to a request."""
        self.directory.record_choice(_service_of(server), admitted.request.request_id)
        waited_ms = self.clock.now_ms() - admitted.request.received_ms
        self._log_server(admitted, server, reason, waited_ms=round(waited_ms, 1))

    def _log_server(
        self,
        admitted: AdmittedRequest,
        server: EngineState,
        reason: str,
        **fields: object,
    ) -> None:
        now_ms = self.clock.now_ms()
        _log.write(
            f"server {server.name}",
            reason,
            request=admitted.request.request_id,
            load=server.sequence_count(now_ms),
            load_age_ms=_age_ms(now_ms, server.report.taken_ms),
            **fields,
            **self._cost_fields(admitted, server, now_ms),
            **self._crash_fields(admitted),
        )

    def _cost_fields(
        self, admitted: AdmittedRequest, server: EngineState, now_ms: float
    ) -> dict[str, object]:
        """Return the log fields of a call with learned costs."""
        service = _service_of(server)
        if not self.costs.is_learned(service):
            return {}
        call = self.engine_call(admitted, service)
        assert call.costs is not None, "the costs of the service are learned"
        remaining_ms = server.remaining_work_ms(now_ms, call.costs.typical_ms)
        return {
            "expected_ms": round(expected_duration_ms(call, server), 1),
            "remaining_ms": round(remaining_ms, 1),
            "pace": round(server.expected_pace(now_ms), 2),
            "duration_factor": round(server.speed.factor, 2),
            "expected_tokens": call.expected_tokens,
        }

    def _candidates(self, admitted: AdmittedRequest, service: str) -> list[EngineState]:
        """Return the servers that accept a request, cold or not."""
        return self._exclude_unreachable(
            self._within_home(admitted, self.directory.of_service(service))
        )

    def _within_home(
        self, admitted: AdmittedRequest, servers: list[EngineState]
    ) -> list[EngineState]:
        """Return the servers in the regions that a request may not leave."""
        home = admitted.home_regions
        if not home.is_restricted:
            return servers
        return [
            each for each in servers if home.allows(each.domain, self.region_of_domain)
        ]

    def _crash_fields(self, admitted: AdmittedRequest) -> dict[str, object]:
        """Return the log fields of a request that has crashed servers."""
        crashes = self.crash_counts.count(admitted.fingerprint)
        if not crashes:
            return {}
        return {"fingerprint": admitted.fingerprint, "crashes": crashes}

    def _exclude_unreachable(self, servers: list[EngineState]) -> list[EngineState]:
        """Exclude servers in unreachable domains, unless no others remain."""
        unreachable = self.unreachable_domains()
        if not unreachable:
            return servers
        reachable = [each for each in servers if each.domain not in unreachable]
        return reachable or servers

    def remaining_ms(self, admitted: AdmittedRequest) -> float:
        """Return the time to the deadline, or raise CallRefusedError if too short."""
        remaining_ms = admitted.deadline_ms - self.clock.now_ms()
        if remaining_ms < _MIN_REMAINING_MS:
            raise CallRefusedError(
                admitted.attempts.deadline_refusal("deadline exceeded")
            )
        return remaining_ms

    async def start_call(
        self, server: EngineState, admitted: AdmittedRequest
    ) -> ServerCall:
        """Return a call of a request to a server; raise ServerCallError."""
        request = admitted.request
        identity = RequestIdentity(
            request.request_id, request.method, self.dialect.response_identifiers
        )
        return await self.links.start_call(server.address, identity)

    def send(
        self,
        call: ServerCall,
        server: EngineState,
        admitted: AdmittedRequest,
        body: bytes | None = None,
        last_event_id: str = "",
        priority: int | None = None,
    ) -> None:
        """Send the request, with `body` in place of the caller's if it is given.

        Raise CallRefusedError where the deadline has passed and ServerCallError
        where the request cannot be written, or where the server has become cold or
        its domain has been evacuated since it was chosen.
        """
        if self.directory.is_evacuated(server):
            raise ServerCallError("its failure domain was evacuated", False)
        is_without_share = admitted.attempts.share_server != server.name
        if is_without_share and self.directory.is_cold(server):
            raise ServerCallError("it became cold since it was chosen", False)
        request = admitted.request
        forwarded = ForwardedCall(
            server=server.name,
            remaining_ms=self.remaining_ms(admitted),
            organisation=admitted.organisation_name,
            priority=priority,
            last_event_id=last_event_id,
            body=request.body if body is None else body,
        )
        call.send(self.dialect.encode(request, forwarded))
        admitted.attempts.servers.append(server.name)
        admitted.attempts.requests_before.append(call.requests_before)

    async def read_head(
        self, call: ServerCall, server: EngineState, admitted: AdmittedRequest
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the head of the response and its metadata; raise ServerCallError.

        The server's load is updated from the metadata. A success without the server's
        seal counts as no response.
        """
        head = await call.read_head()
        metadata = self.dialect.response_metadata(head)
        now_ms = self.clock.now_ms()
        server.last_received_ms = now_ms
        running = server.in_flight if metadata.running is None else metadata.running
        server.apply_report(EngineReport(now_ms, running, metadata.waiting or 0))
        if 200 <= head.status < 300 and not metadata.is_sealed:
            raise ServerCallError("successful response without the server's seal", True)
        if not metadata.wrong_server:
            self.directory.record_announcement(server, metadata.leaving)
            self._record_load(server, metadata, now_ms)
            if metadata.cold_left_ms is not None:
                self.directory.cold.record_response(
                    server, metadata.cold_left_ms, now_ms
                )
        return head, metadata

    def _record_load(
        self, server: EngineState, metadata: ResponseMetadata, now_ms: float
    ) -> None:
        """Record slots and pace of a server; the first pace enables learned costs."""
        service = _service_of(server)
        is_new = self.costs.record_load(
            service, server, metadata.slots, metadata.pace, now_ms
        )
        if is_new:
            _log.write(
                "learning request costs",
                "the first response of its service with a pace",
                service=service,
                server=server.name,
                pace=metadata.pace,
            )

    @contextmanager
    def count_in_flight(
        self,
        server: EngineState,
        prefill_tokens: float = 0.0,
        running: RunningCall | None = None,
    ) -> Iterator[None]:
        """Count a call to `server` as in flight inside the `with` block.

        `running` has its learned duration, if it has one.
        """
        server.record_send(self.clock.now_ms(), prefill_tokens)
        if running is not None:
            server.running_calls.add(running)
        try:
            yield
        finally:
            server.record_end()
            if running is not None:
                server.running_calls.discard(running)

    def expected_call(
        self, admitted: AdmittedRequest, service: str, server: EngineState
    ) -> RunningCall | None:
        """Return the call with its learned duration, None with constant costs."""
        if not self.costs.is_learned(service):
            return None
        call = self.engine_call(admitted, service)
        assert call.costs is not None, "the costs of the service are learned"
        expected_ms = expected_duration_ms(call, server)
        rest_ms = expected_ms * call.costs.rest_fraction
        return RunningCall(call.now_ms, expected_ms, rest_ms)

    def stall_guard(
        self,
        call: ServerCall,
        server: EngineState,
        admitted: AdmittedRequest,
        send_count: int,
    ) -> AbstractContextManager[None]:
        """Return a context in which a stalled call is aborted.

        It does nothing where the request may not be sent to another server.
        """
        route = admitted.route
        if route.may_run_again and send_count < route.max_attempts:
            return self.stall_monitor.monitor(call, server)
        return nullcontext()

    def record_failure(
        self,
        admitted: AdmittedRequest,
        server: EngineState,
        started_ms: float,
        error: ServerCallError,
    ) -> None:
        """Record that a server gave no complete response, so that it is avoided."""
        now_ms = self.clock.now_ms()
        if error.sent:
            server.record_lost_response(now_ms)
            self.crash_detector.examine(admitted.fingerprint, server, started_ms)
        else:
            server.record_unreachable(now_ms)
        _log.write(
            "call failed",
            str(error),
            request=admitted.request.request_id,
            server=server.name,
            sent=error.sent,
            requests_before=admitted.attempts.describe_connections(),
            failures=server.consecutive_failures,
            fingerprint=admitted.fingerprint,
            method=admitted.request.method,
            path=admitted.request.path,
            body=admitted.request.body_digest(),
        )

    def record_abandoned(
        self, admitted: AdmittedRequest, server: EngineState, started_ms: float
    ) -> None:
        """Record that the caller left, or the deadline passed, before the response.

        A server that has been silent since may have gone dark.
        """
        if admitted.attempts.servers[-1:] != [server.name]:
            return
        if server.silent_ms(started_ms, self.clock.now_ms()) >= STALL_TIMEOUT_MS:
            self.crash_detector.examine(admitted.fingerprint, server, started_ms)

    def server_error_refusal(
        self, admitted: AdmittedRequest, server: EngineState, head: ResponseHead
    ) -> Refusal:
        """Return the refusal for an error response that is retried at other servers."""
        detail = f"{server.name} answered {head.status}"
        _log.write(
            "retry on another server", detail, request=admitted.request.request_id
        )
        return Refusal(ErrorKind.BACKEND_SERVER_FAILED, detail)

    def link_error_refusal(
        self, server: EngineState, error: ServerCallError
    ) -> Refusal:
        """Return the refusal for a server that gave no complete response."""
        if not error.sent:
            return Refusal(ErrorKind.NO_BACKEND_SERVER, f"{server.name}: {error}")
        return Refusal(ErrorKind.BACKEND_SERVER_FAILED, f"{server.name}: {error}")


def _service_of(server: EngineState) -> str:
    return next(iter(server.models), "")


def _age_ms(now_ms: float, then_ms: float) -> int | None:
    return None if then_ms == NEVER_MS else round(now_ms - then_ms)
