"""Admission control: route, API key, crash count and rate of a request."""

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import (
    DesiredState,
    ForwardRoute,
    OrganisationRule,
)
from celerypulley.contracts.home_regions import HomeRegions
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.fleet.crash_counts import request_fingerprint
from celerypulley.fleet.fleet_meter import FleetMeter
from celerypulley.hosts.crash_trials import CrashTrials
from celerypulley.hosts.desired_state_cache import DesiredStateCache
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Admission", "AdmittedRequest", "Attempts"]

# Keys are refused this long before the desired state reaches its maximum age, since
# clocks run at slightly different rates.
_CLOCK_MARGIN_MS = 100.0
# Above this age of the desired state, an unknown route or key may have been added
# since. The desired state is confirmed every 1.5 s.
_UNCONFIRMED_AFTER_MS = 2_000.0


@attrs.define(eq=False)
class Attempts:
    """The servers that a request was sent to.

    `requests_before` counts, for each of them, the requests that its connection had
    carried before. `not_run_count` of them reported that they did not run it.
    `share_waited_ms` is the time for which it waited for a share of a cold server, and
    `share_server` the server whose share it used last.
    """

    servers: list[str] = attrs.Factory(list)
    not_run_count: int = 0
    requests_before: list[int] = attrs.Factory(list)
    share_waited_ms: float = 0.0
    share_server: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether a server got the request and did not report it as not run."""
        return len(self.servers) > self.not_run_count

    def describe_connections(self) -> str:
        """Return `requests_before` for the log, in the order of `servers`."""
        return ",".join(map(str, self.requests_before))

    def deadline_refusal(self, detail: str) -> Refusal:
        """Return the refusal for a request whose deadline has passed."""
        if self.may_have_run:
            return Refusal(ErrorKind.DEADLINE_PASSED, detail)
        return Refusal(ErrorKind.OVERLOADED, detail)


@attrs.frozen
class AdmittedRequest:
    """A request that may run, with its route, organisation and desired state.

    `deadline_ms` is the earlier of the caller's and the route's deadline, on this
    host's monotonic clock. `fingerprint` does not yet hold a history that the request
    continues.
    """

    request: OpaqueRequest
    route: ForwardRoute
    organisation: OrganisationRule | None
    state: DesiredState
    deadline_ms: float
    fingerprint: str
    attempts: Attempts = attrs.Factory(Attempts)

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, empty on a public route."""
        return self.organisation.name if self.organisation else ""

    @property
    def home_regions(self) -> HomeRegions:
        """Return the regions that the request and its data may not leave."""
        organisation = self.organisation
        return HomeRegions.of(
            self.route.home_regions,
            organisation.home_regions if organisation else frozenset(),
        )

    @property
    def continues_history(self) -> bool:
        """Return whether servers get the history of an earlier turn before the body."""
        return self.route.prepends_history and bool(self.request.previous_turn)

    def with_history(self, history: bytes) -> "AdmittedRequest":
        """Return the same request, recognised also by the history that it continues."""
        fingerprint = _fingerprint(self.request, self.organisation_name, history)
        return attrs.evolve(self, fingerprint=fingerprint)


class Admission:
    """Check requests before they are sent to a server."""

    def __init__(
        self,
        desired_state: DesiredStateCache,
        meter: FleetMeter,
        crash_trials: CrashTrials,
        max_state_age_ms: float,
        clock: Clock,
    ) -> None:
        """Check against the version in `desired_state`.

        API keys are refused shortly before the time since its last confirmation
        reaches `max_state_age_ms`.
        """
        self.desired_state = desired_state
        self.meter = meter
        self.crash_trials = crash_trials
        self.stale_after_ms = max_state_age_ms - _CLOCK_MARGIN_MS
        self.clock = clock

    async def admit(self, request: OpaqueRequest) -> AdmittedRequest:
        """Admit a request, after a wait for its rate, or raise CallRefusedError.

        Crashes of one that continues a history are checked once that is loaded.
        """
        state = self.desired_state.state
        if state is None:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE, "no desired state received yet"
            )
        if not self.crash_trials.crash_counts.is_restored:
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE, "crashes of servers not read yet"
            )
        route = state.find_route(request.http_host, request.path)
        if route is None:
            self._refuse_unknown(
                ErrorKind.UNKNOWN_ROUTE, "no route matches host and path"
            )
        organisation = None
        if state.requires_keys and not route.is_public:
            organisation = self._authenticate(state, request)
        fingerprint = _fingerprint(request, organisation.name if organisation else "")
        deadline_ms = min(request.deadline_ms, request.received_ms + route.timeout_ms)
        admitted = AdmittedRequest(
            request, route, organisation, state, deadline_ms, fingerprint
        )
        if not admitted.continues_history:
            self.crash_trials.check(fingerprint)
        if organisation is not None:
            await self.meter.acquire(organisation)
        return admitted

    def describe(self, request: OpaqueRequest) -> tuple[str, str]:
        """Return the names of route and organisation of a request that was refused."""
        state = self.desired_state.state
        if state is None:
            return "", ""
        route = state.find_route(request.http_host, request.path)
        organisation = state.find_organisation(request.api_key)
        return (
            route.name if route else "",
            organisation.name if organisation else "",
        )

    def _authenticate(
        self, state: DesiredState, request: OpaqueRequest
    ) -> OrganisationRule:
        age_ms = self.desired_state.age_ms()
        if age_ms > self.stale_after_ms:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE,
                f"API keys were last confirmed {age_ms:.0f} ms ago",
            )
        organisation = state.find_organisation(request.api_key)
        if organisation is None:
            self._refuse_unknown(
                ErrorKind.KEY_REFUSED, "no organisation has this API key"
            )
        return organisation

    def _refuse_unknown(self, kind: ErrorKind, detail: str) -> None:
        age_ms = self.desired_state.age_ms()
        if age_ms > _UNCONFIRMED_AFTER_MS:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE,
                f"{detail} as of {age_ms:.0f} ms ago; it may have been added since",
            )
        raise CallRefusedError.of(kind, detail)


def _fingerprint(
    request: OpaqueRequest, organisation: str, history: bytes = b""
) -> str:
    return request_fingerprint(
        request.method,
        request.path,
        organisation,
        history,
        request.body,
        request.query,
    )
