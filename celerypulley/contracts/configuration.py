"""The configuration in force, with exceptions applied to the defaults."""

import attrs

from celerypulley.contracts.declaration import (
    Declaration,
    ExceptionRule,
    Limits,
    Route,
    RouteKind,
)
from celerypulley.contracts.declaration_file import make_declaration_converter
from celerypulley.contracts.keys import KeyRing, StoredKey

__all__ = ["Configuration", "Explanation"]

_CONVERTER = make_declaration_converter()


@attrs.frozen
class Explanation:
    """One value of an organisation or route, and the rule that decides it."""

    subject: str
    name: str
    value: object
    decided_by: str
    reason: str
    version: int


class Configuration:
    """One version of the configuration, indexed for lookups."""

    def __init__(
        self, version: int, declaration: Declaration, keys: tuple[StoredKey, ...]
    ) -> None:
        """Index `declaration` and the stored `keys` of version `version`."""
        self.version = version
        self.declaration = declaration
        self.keys = KeyRing(keys)
        self.stored_keys = keys
        self.domains = tuple(declaration.failure_domains)
        self.organisations = {each.name for each in declaration.organisations}
        self.routes = {route.name: route for route in declaration.routes}
        self._model_routes: dict[str, Route] = {}
        for route in declaration.routes:
            for model in route.models:
                self._model_routes[model] = route
        self._rules_by_subject: dict[str, list[ExceptionRule]] = {}
        for rule in declaration.exceptions:
            subject = rule.organisation or f"route:{rule.route}"
            self._rules_by_subject.setdefault(subject, []).append(rule)
        self._limits_by_subject: dict[str, Limits] = {}

    def organisation_limits(self, organisation: str) -> Limits:
        """Return the limits of an organisation."""
        return self._limits_of(organisation)

    def route_limits(self, route: str) -> Limits:
        """Return the limits of a route."""
        return self._limits_of(f"route:{route}")

    def _limits_of(self, subject: str) -> Limits:
        cached = self._limits_by_subject.get(subject)
        if cached is not None:
            return cached
        limits = self.declaration.defaults
        for rule in self._rules_by_subject.get(subject, ()):
            overrides = _CONVERTER.structure(rule.set, Limits)
            values = {name: getattr(overrides, name) for name in rule.set}
            limits = attrs.evolve(limits, **values)
        self._limits_by_subject[subject] = limits
        return limits

    def route_of_model(self, model: str) -> Route | None:
        """Return the engine route that serves a model, or None."""
        return self._model_routes.get(model)

    def route_of_path(self, path: str) -> Route | None:
        """Return the plain route with the longest prefix of `path`, or None."""
        best = None
        for route in self.declaration.routes:
            if route.kind is not RouteKind.PLAIN or route.prefix is None:
                continue
            prefix = route.prefix.rstrip("/") + "/"
            if not (path + "/").startswith(prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix or ""):
                best = route
        return best

    def explain(self, subject: str) -> list[Explanation]:
        """Return the deciding rule of every value of an organisation or route."""
        subject_key = subject
        if subject in self.routes and subject not in self.organisations:
            subject_key = f"route:{subject}"
        limits = self._limits_of(subject_key)
        deciding_rules: dict[str, ExceptionRule] = {}
        for rule in self._rules_by_subject.get(subject_key, ()):
            for name in rule.set:
                deciding_rules[name] = rule
        explanations = []
        for field in attrs.fields(Limits):
            rule = deciding_rules.get(field.name)
            decided_by = "exception" if rule else "default"
            reason = rule.reason if rule else "no exception sets it"
            value = getattr(limits, field.name)
            plain_value = getattr(value, "value", value)
            explanations.append(
                Explanation(
                    subject, field.name, plain_value, decided_by, reason, self.version
                )
            )
        return explanations
