"""Desired state for forwarded traffic: routes, services, organisations, limits."""

import attrs

__all__ = [
    "CallerLimits",
    "DesiredState",
    "ForwardRoute",
    "OrganisationRule",
    "ServiceRule",
    "WeightedService",
]


@attrs.frozen
class WeightedService:
    """A service of a route, and its weight among the services of that route."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class ForwardRoute:
    """A route from a host name and path prefix to services.

    `max_attempts` limits the servers to which one request is sent. `resumable`
    streams can continue on another server after the last forwarded event. Where
    `prepends_history` is set, the earlier turns of a chain are prepended to the
    request. `retention_ms` is above zero where the requests are turns of programs.
    `home_regions` are the regions that requests and their data may not leave, none if
    they may go anywhere. If `is_sticky` is set, requests about one object are sent to
    the same server where possible.
    """

    name: str
    http_host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    repeatable: bool = False
    is_streaming: bool = False
    resumable: bool = False
    prepends_history: bool = False
    retention_ms: float = 0.0
    timeout_ms: float = 30_000.0
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()

    @property
    def may_run_again(self) -> bool:
        """Return whether a request may run more than once."""
        return self.repeatable or (self.is_streaming and self.resumable)

    @property
    def is_turn(self) -> bool:
        """Return whether the route's requests are turns of programs."""
        return self.is_streaming and self.retention_ms > 0


@attrs.frozen(kw_only=True)
class ServiceRule:
    """The settings of one service.

    `tokens_per_event` is the number of budget tokens for each event of a stream.
    `memory_tokens` is the memory of one of its engines, 0 if unknown. A server is cold
    for `cold_start_ms` after its start, and takes `cold_per_s` requests a second
    meanwhile (0: no limit).
    """

    name: str
    tokens_per_event: int = 1
    memory_tokens: int = 0
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class OrganisationRule:
    """One organisation: its keys, priority and rate. A rate of 0 means no limit.

    `home_regions` are as in `ForwardRoute`.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on what callers send, and on how long they take or stay idle."""

    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 16_384
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class DesiredState:
    """One version of the desired state, indexed for lookups.

    `requires_keys` is False if the version does not declare organisations at all, so
    that all of its routes are public. If it declares an empty list, no key is valid.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[ForwardRoute, ...],
        services: tuple[ServiceRule, ...],
        organisations: tuple[OrganisationRule, ...] | None,
        limits: CallerLimits,
    ) -> None:
        """Index routes by host name and organisations by name and key.

        `organisations` is None if the version does not declare any.
        """
        self.version = version
        self.routes = routes
        self.requires_keys = organisations is not None
        organisations = organisations or ()
        self.services = {service.name: service for service in services}
        self.organisations = {each.name: each for each in organisations}
        self.limits = limits
        self._routes_of_host: dict[str, list[ForwardRoute]] = {}
        for route in routes:
            self._routes_of_host.setdefault(route.http_host, []).append(route)
        for host_routes in self._routes_of_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._organisation_of_key: dict[str, OrganisationRule] = {}
        for organisation in organisations:
            for key in organisation.keys:
                self._organisation_of_key[key] = organisation

    def find_route(self, http_host: str, path: str) -> ForwardRoute | None:
        """Return the route of `http_host` with the longest prefix of `path`."""
        for route in self._routes_of_host.get(http_host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, api_key: str) -> OrganisationRule | None:
        """Return the organisation to which `api_key` belongs, or None."""
        return self._organisation_of_key.get(api_key)
