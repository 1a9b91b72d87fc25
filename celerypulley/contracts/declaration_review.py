"""What is likely wrong with a declaration that is valid: values without effect.

The reviews are functions of the declaration; they read no file and no store.
"""

import enum
from collections.abc import Iterator

import attrs

from celerypulley.contracts.declaration import (
    Declaration,
    ExceptionRule,
    Limits,
    Route,
    RouteKind,
)
from celerypulley.contracts.declaration_file import make_declaration_converter

__all__ = ["Finding", "FindingKind", "find_limit_conflicts", "review_declaration"]

_CONVERTER = make_declaration_converter()
_MIN_BURST = 1


class FindingKind(enum.Enum):
    """What is wrong with an entry."""

    NEVER_MATCHES = "never matches"
    CHANGES_NOTHING = "changes nothing"
    CONTRADICTION = "contradiction"


@attrs.frozen
class Finding:
    """One entry that has no effect or contradicts another.

    `path` is its place, such as `$.routes[2].prefix`; `name` that of the route,
    organisation or model.
    """

    path: str
    name: str
    kind: FindingKind
    problem: str


def review_declaration(declaration: Declaration) -> list[Finding]:
    """Return the findings about a valid declaration, in the order of its sections."""
    return [
        *_conflicts("$.defaults", "defaults", declaration.defaults),
        *_review_routes(declaration),
        *_review_exceptions(declaration),
    ]


def find_limit_conflicts(limits: Limits) -> list[tuple[str, str]]:
    """Return the fields that contradict others, each with the reason."""
    rows = (
        (
            "burst",
            limits.burst < _MIN_BURST,
            f"burst {limits.burst} admits no request",
        ),
        (
            "queue_wait_s",
            limits.queue_wait_s > limits.turn_timeout_s,
            f"queue_wait_s {limits.queue_wait_s:g} is above "
            f"turn_timeout_s {limits.turn_timeout_s:g}",
        ),
        (
            "program_budget_tokens",
            limits.program_budget_tokens < limits.max_tokens,
            f"program_budget_tokens {limits.program_budget_tokens} is below "
            f"max_tokens {limits.max_tokens}, so a turn without a limit is refused",
        ),
        (
            "call_retention_s",
            limits.call_retention_s < limits.turn_timeout_s,
            f"call_retention_s {limits.call_retention_s:g} is below "
            f"turn_timeout_s {limits.turn_timeout_s:g}: an outcome may be forgotten "
            "while its call runs",
        ),
    )
    return [(field, problem) for field, is_wrong, problem in rows if is_wrong]


def _conflicts(path: str, name: str, limits: Limits) -> Iterator[Finding]:
    for field, problem in find_limit_conflicts(limits):
        yield Finding(f"{path}.{field}", name, FindingKind.CONTRADICTION, problem)


def _review_routes(declaration: Declaration) -> Iterator[Finding]:
    served = {server.route for server in declaration.backend_servers}
    for number, route in enumerate(declaration.routes):
        path = f"$.routes[{number}]"
        if route.name not in served:
            yield _never(path, route.name, "the route has no backend server")
        if route.kind is RouteKind.ENGINE and route.prefix is not None:
            problem = "the prefix of an engine route is not read"
            yield Finding(
                f"{path}.prefix", route.name, FindingKind.CHANGES_NOTHING, problem
            )
        if route.kind is RouteKind.PLAIN and route.models:
            problem = f"models {', '.join(route.models)} are on a plain route"
            yield Finding(
                f"{path}.models", route.name, FindingKind.CONTRADICTION, problem
            )
        yield from _review_prefix(path, route, declaration.routes)


def _review_prefix(path: str, route: Route, routes: list[Route]) -> Iterator[Finding]:
    if route.kind is not RouteKind.PLAIN or route.prefix is None:
        return
    if any(character in route.prefix for character in "?# "):
        problem = f"no path contains the ?, # or space of the prefix {route.prefix}"
        yield _never(f"{path}.prefix", route.name, problem)
    winner = _winning_route(route.prefix, routes)
    if winner is not route:
        problem = f"its paths go to route {winner.name!r} with prefix {winner.prefix}"
        yield _never(f"{path}.prefix", route.name, problem)


def _winning_route(prefix: str, routes: list[Route]) -> Route:
    """Return the route that serves the paths below `prefix`.

    As in `Configuration.route_of_path`, a slash at the end doesn't count for the match,
    the longest prefix goes first, and the first of equal ones.
    """
    same = [
        route
        for route in routes
        if route.kind is RouteKind.PLAIN
        and route.prefix is not None
        and route.prefix.rstrip("/") == prefix.rstrip("/")
    ]
    return max(same, key=lambda route: len(route.prefix or ""))


def _review_exceptions(declaration: Declaration) -> Iterator[Finding]:
    """Apply the exceptions in their order, as `Configuration` does."""
    limits_of: dict[tuple[str | None, str | None], Limits] = {}
    organisations = {each.name for each in declaration.organisations}
    routes = {each.name for each in declaration.routes}
    for number, rule in enumerate(declaration.exceptions):
        path = f"$.exceptions[{number}]"
        name = rule.organisation or rule.route or ""
        if rule.organisation is not None and rule.organisation not in organisations:
            yield _never(path, name, f"there is no organisation {name!r}")
        if rule.route is not None and rule.route not in routes:
            yield _never(path, name, f"there is no route {name!r}")
        subject = (rule.organisation, rule.route)
        before = limits_of.get(subject, declaration.defaults)
        after = _apply(rule, before)
        limits_of[subject] = after
        later = [
            each
            for each in declaration.exceptions[number + 1 :]
            if (each.organisation, each.route) == subject
        ]
        problem = _find_no_effect(rule, before, after, later)
        if problem:
            yield Finding(path, name, FindingKind.CHANGES_NOTHING, problem)
        known = find_limit_conflicts(before)
        for field, conflict in find_limit_conflicts(after):
            if (field, conflict) not in known:
                yield Finding(f"{path}.set", name, FindingKind.CONTRADICTION, conflict)


def _find_no_effect(
    rule: ExceptionRule, before: Limits, after: Limits, later: list[ExceptionRule]
) -> str:
    if before == after:
        return "all of its values hold without it"
    overridden = set().union(*(each.set for each in later)) if later else set()
    if rule.set.keys() <= overridden:
        return "later exceptions set all of its values again"
    return ""


def _apply(rule: ExceptionRule, limits: Limits) -> Limits:
    overrides = _CONVERTER.structure(rule.set, Limits)
    return attrs.evolve(limits, **{name: getattr(overrides, name) for name in rule.set})


def _never(path: str, name: str, problem: str) -> Finding:
    return Finding(path, name, FindingKind.NEVER_MATCHES, problem)
