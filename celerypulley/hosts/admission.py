"""Whether a request may run: its route, its organisation, its rate, its past."""

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import (
    DesiredState,
    ForwardRoute,
    OrganisationRule,
)
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.crash_strikes import CrashStrikes, request_fingerprint
from celerypulley.hosts.desired_state_holder import DesiredStateHolder
from celerypulley.hosts.fleet_meter import FleetMeter
from celerypulley.programs.opaque_request import OpaqueRequest

__all__ = ["Admission", "Admitted", "Trail"]

# A key is refused when what is known of keys is older than the bound less a margin
# for clocks that run at slightly different rates.
_REVOKE_MARGIN_MS = 100.0
# A name that is not known here may have been added since: more than one period of
# the reads that confirm the version, 1.5 s.
_UNSURE_AFTER_MS = 2_000.0


@attrs.define(eq=False)
class Trail:
    """Where a request was sent so far; `not_run` servers said they did not run it."""

    servers: list[str] = attrs.Factory(list)
    not_run: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether a server was sent the request and did not decline it."""
        return len(self.servers) > self.not_run

    def deadline_refusal(self, detail: str) -> Refusal:
        """Return the refusal for a request whose deadline has passed."""
        if self.may_have_run:
            return Refusal(ErrorKind.DEADLINE_PASSED, detail)
        return Refusal(ErrorKind.OVERLOADED, detail)


@attrs.frozen
class Admitted:
    """A request that may run, and under which rules.

    `deadline_ms` is the earlier of the caller's and the route's, on this host's
    monotonic clock.
    """

    request: OpaqueRequest
    route: ForwardRoute
    organisation: OrganisationRule | None
    state: DesiredState
    deadline_ms: float
    fingerprint: str
    trail: Trail = attrs.Factory(Trail)

    @property
    def organisation_name(self) -> str:
        """Return the organisation's name, empty on an open route."""
        return self.organisation.name if self.organisation else ""


class Admission:
    """The checks before a request is sent anywhere."""

    def __init__(
        self,
        holder: DesiredStateHolder,
        meter: FleetMeter,
        strikes: CrashStrikes,
        revoke_ms: float,
        clock: Clock,
    ) -> None:
        """Check against the version that `holder` has in force."""
        self.holder = holder
        self.meter = meter
        self.strikes = strikes
        self.stale_after_ms = revoke_ms - _REVOKE_MARGIN_MS
        self.clock = clock

    async def admit(self, request: OpaqueRequest) -> Admitted:
        """Return what the request may do; raise CallRefusedError."""
        state = self.holder.state
        if state is None:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE, "no desired state is known yet"
            )
        route = state.find_route(request.host, request.path)
        if route is None:
            self._refuse_unknown(ErrorKind.UNKNOWN_ROUTE, "no route has this path")
        organisation = None
        if state.organisations and not route.is_open:
            organisation = self._organisation(state, request)
        fingerprint = request_fingerprint(request)
        self.strikes.check(fingerprint)
        if organisation is not None:
            await self.meter.take(organisation)
        deadline_ms = min(request.deadline_ms, request.received_ms + route.timeout_ms)
        return Admitted(request, route, organisation, state, deadline_ms, fingerprint)

    def describe(self, request: OpaqueRequest) -> tuple[str, str]:
        """Return route and organisation of a request that was not admitted."""
        state = self.holder.state
        if state is None:
            return "", ""
        route = state.find_route(request.host, request.path)
        organisation = state.find_organisation(request.key)
        return (
            route.name if route else "",
            organisation.name if organisation else "",
        )

    def _organisation(
        self, state: DesiredState, request: OpaqueRequest
    ) -> OrganisationRule:
        age_ms = self.holder.age_ms()
        if age_ms > self.stale_after_ms:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE,
                f"keys were confirmed {age_ms:.0f} ms ago",
            )
        organisation = state.find_organisation(request.key)
        if organisation is None:
            self._refuse_unknown(ErrorKind.KEY_REFUSED, "no organisation has this key")
        return organisation

    def _refuse_unknown(self, kind: ErrorKind, detail: str) -> None:
        age_ms = self.holder.age_ms()
        if age_ms > _UNSURE_AFTER_MS:
            raise CallRefusedError.of(
                ErrorKind.CONFIGURATION_STALE,
                f"{detail} as of {age_ms:.0f} ms ago; it may have been added since",
            )
        raise CallRefusedError.of(kind, detail)
