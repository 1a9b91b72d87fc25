"""The declaration: one set of defaults and a short list of exceptions.

Field names carry their units. A declaration is plain data, which
`declaration_file` reads from YAML.
"""

import enum
import re
from typing import Any

import attrs

__all__ = [
    "BackendServer",
    "Declaration",
    "ExceptionRule",
    "Limits",
    "Ordering",
    "Organisation",
    "Policy",
    "Route",
    "RouteKind",
    "WhenStale",
]

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_MIN_REASON_CHARS = 8


class RouteKind(enum.Enum):
    """The kind of backend server behind a route."""

    ENGINE = "engine"
    PLAIN = "plain"


class WhenStale(enum.Enum):
    """What a host does while it cannot confirm its configuration."""

    SERVE = "serve"
    REFUSE = "refuse"


class Policy(enum.Enum):
    """How the engine for a call is chosen."""

    SHARED_COST = "shared-cost"
    EXPECTED_FINISH = "expected-finish"
    ROUND_ROBIN = "round-robin"
    LEAST_OUTSTANDING = "least-outstanding"
    PREFIX_HASH = "prefix-hash"


class Ordering(enum.Enum):
    """The order in which engines serve waiting calls."""

    FIRST_COME = "first-come"
    ATTAINED_SERVICE = "attained-service"
    FAIR_ATTAINED_SERVICE = "fair-attained-service"


def _validate_positive(_instance: object, field: attrs.Attribute, value: float) -> None:
    if value <= 0:
        raise ValueError(f"{field.name} is {value}; it must be above zero")


def _validate_at_least_one(
    _instance: object, field: attrs.Attribute, value: float
) -> None:
    if value < 1:
        raise ValueError(f"{field.name} is {value}; it must be at least 1")


def _validate_name(_instance: object, field: attrs.Attribute, value: str) -> None:
    if not _NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{field.name} {value!r} is not a name of 1 to 63 characters a-z, 0-9 and -"
        )


def _validate_reason(_instance: object, field: attrs.Attribute, value: str) -> None:
    if len(value.strip()) < _MIN_REASON_CHARS:
        raise ValueError(
            f"{field.name} {value!r} needs at least {_MIN_REASON_CHARS} characters"
        )


@attrs.frozen(kw_only=True)
class Limits:
    """The limits of an organisation or route, from the defaults or exceptions."""

    rate_per_s: float = attrs.field(default=5.0, validator=_validate_positive)
    burst: int = attrs.field(default=10, validator=_validate_at_least_one)
    weight: float = attrs.field(default=1.0, validator=_validate_positive)
    program_budget_tokens: int = attrs.field(
        default=100_000, validator=_validate_positive
    )
    max_tokens: int = attrs.field(default=512, validator=_validate_positive)
    program_idle_s: float = attrs.field(default=3_600.0, validator=_validate_positive)
    call_retention_s: float = attrs.field(
        default=86_400.0, validator=_validate_positive
    )
    turn_timeout_s: float = attrs.field(default=120.0, validator=_validate_positive)
    queue_wait_s: float = attrs.field(default=30.0, validator=_validate_positive)
    stale_after_s: float = attrs.field(default=20.0, validator=_validate_positive)
    when_stale: WhenStale = WhenStale.SERVE
    policy: Policy = Policy.SHARED_COST
    ordering: Ordering = Ordering.FAIR_ATTAINED_SERVICE
    latency_weight: float = attrs.field(default=1.0, validator=_validate_positive)
    fairness_weight: float = attrs.field(default=1.0, validator=_validate_positive)


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation, to which keys can be given."""

    name: str = attrs.field(validator=_validate_name)


@attrs.frozen(kw_only=True)
class ExceptionRule:
    """The values in which one organisation or route differs, and the reason."""

    reason: str = attrs.field(validator=_validate_reason)
    set: dict[str, Any]
    organisation: str | None = None
    route: str | None = None


@attrs.frozen(kw_only=True)
class Route:
    """A route to one kind of backend server.

    `models` belong to engine routes, the path `prefix` to plain ones. `priority`
    orders routes that share engines, lowest first.
    """

    name: str = attrs.field(validator=_validate_name)
    kind: RouteKind
    models: list[str] = attrs.Factory(list)
    prefix: str | None = None
    repeatable: bool = True
    priority: int = 10


@attrs.frozen(kw_only=True)
class BackendServer:
    """An engine or a plain service, and the failure domain in which it runs."""

    name: str = attrs.field(validator=_validate_name)
    route: str
    domain: str
    address: str
    checks_fencing: bool = True


@attrs.frozen(kw_only=True)
class Declaration:
    """The whole declared configuration, except keys."""

    version: int
    failure_domains: list[str]
    defaults: Limits
    routes: list[Route]
    backend_servers: list[BackendServer]
    organisations: list[Organisation]
    exceptions: list[ExceptionRule] = attrs.Factory(list)
