"""Read declarations from YAML, with the line of every error."""

from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import cattrs
import yaml
from cattrs.gen import make_dict_structure_fn
from cattrs.v import transform_error
from returns.result import Failure, Result, Success

from celerypulley.contracts.declaration import (
    Declaration,
    ExceptionRule,
    Limits,
    RouteKind,
)

__all__ = [
    "DeclarationError",
    "declaration_from_dict",
    "declaration_to_dict",
    "make_declaration_converter",
    "read_declaration",
    "read_lines",
]

_FORMAT_VERSION = 1
_UNIT_SUFFIXES = ("_s", "_ms", "_per_s", "_tokens", "_bytes")


@attrs.frozen(order=True)
class DeclarationError:
    """One error in a declaration: its file, line, description and place.

    `path` is such as `$.routes[2].prefix`.
    """

    file: str
    line: int
    problem: str
    path: str = "$"

    def __str__(self) -> str:
        """Return `file:line: problem`."""
        return f"{self.file}:{self.line}: {self.problem}"


def make_declaration_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown fields and values of other types."""
    converter = cattrs.Converter(forbid_extra_keys=True)

    def structure_number(value: object, _type: type) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"{value!r} is not a number")
        return float(value)

    def structure_integer(value: object, _type: type) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"{value!r} is not an integer")
        return value

    def structure_string(value: object, _type: type) -> str:
        if not isinstance(value, str):
            raise ValueError(f"{value!r} is not a string")
        return value

    def structure_boolean(value: object, _type: type) -> bool:
        if not isinstance(value, bool):
            raise ValueError(f"{value!r} is not true or false")
        return value

    converter.register_structure_hook(float, structure_number)
    converter.register_structure_hook(int, structure_integer)
    converter.register_structure_hook(str, structure_string)
    converter.register_structure_hook(bool, structure_boolean)
    rule_hook = make_dict_structure_fn(ExceptionRule, converter)
    converter.register_structure_hook(ExceptionRule, rule_hook)
    return converter


_CONVERTER = make_declaration_converter()


def declaration_to_dict(declaration: Declaration) -> dict:
    """Return a declaration as plain data that can be encoded as JSON."""
    return _CONVERTER.unstructure(declaration)


def declaration_from_dict(data: dict) -> Declaration:
    """Return the declaration in plain data; raise an error if it is not valid."""
    return _CONVERTER.structure(data, Declaration)


def read_declaration(
    path: Path,
) -> Result[Declaration, tuple[DeclarationError, ...]]:
    """Return the declaration in a file, or every error in the file."""
    file = path.name
    try:
        text = path.read_text(encoding="utf-8")
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except OSError as error:
        return Failure((DeclarationError(file, 0, str(error)),))
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = str(getattr(error, "problem", None) or error)
        return Failure((DeclarationError(file, line, f"not YAML: {problem}"),))
    if not isinstance(data, dict):
        return Failure(
            (
                DeclarationError(
                    file, 1, "top level of the declaration is not a mapping"
                ),
            )
        )
    lines = dict(_line_numbers(node, "$"))
    errors = tuple(sorted(_find_errors(data, file, lines)))
    if errors:
        return Failure(errors)
    return Success(_CONVERTER.structure(data, Declaration))


def read_lines(path: Path) -> Callable[[str], int]:
    """Return a function that maps a place in a readable declaration to its line."""
    node = yaml.compose(path.read_text(encoding="utf-8"), Loader=yaml.SafeLoader)
    lines = dict(_line_numbers(node, "$"))
    return lambda place: _line_of(lines, place, "-")


def _line_numbers(node: yaml.Node, path: str) -> Iterator[tuple[str, int]]:
    yield path, node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child = f"{path}.{key.value}"
            yield from _line_numbers(value, child)
            yield child, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode):
        for number, value in enumerate(node.value):
            yield from _line_numbers(value, f"{path}[{number}]")


def _find_errors(data: dict, file: str, lines: dict) -> Iterator[DeclarationError]:
    try:
        declaration = _CONVERTER.structure(data, Declaration)
    except Exception as error:
        for text in transform_error(error, format_exception=_describe_error):
            problem, _, path = text.rpartition(" @ ")
            yield DeclarationError(file, _line_of(lines, path, problem), problem, path)
        return
    for path, problem in _check_consistency(declaration):
        yield DeclarationError(file, _line_of(lines, path, problem), problem, path)


def _describe_error(error: BaseException, _type: type | None) -> str:
    if isinstance(error, KeyError):
        return f"required field {error.args[0]} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = sorted(str(name) for name in error.extra_fields)
        allowed = ", ".join(field.name for field in attrs.fields(error.cl))
        return f"unknown field {', '.join(names)}; allowed: {allowed}"
    return str(error) or type(error).__name__


def _line_of(lines: dict, path: str, problem: str) -> int:
    words = problem.removeprefix("unknown field ").split()
    field_path = f"{path}.{words[0].rstrip(';,')}"
    if field_path in lines:
        return lines[field_path]
    while path not in lines and path:
        path = path.rpartition(".")[0] or path.rpartition("[")[0]
    return lines.get(path, 1)


def _check_consistency(declaration: Declaration) -> Iterator[tuple[str, str]]:
    if declaration.version != _FORMAT_VERSION:
        yield (
            "$.version",
            f"version {declaration.version} is not {_FORMAT_VERSION}, the format used",
        )
    if not declaration.failure_domains:
        yield (
            "$.failure_domains",
            "no failure domain is declared; at least one is required",
        )
    yield from _check_duplicates(declaration.failure_domains, "failure_domains")
    yield from _check_duplicates([each.name for each in declaration.routes], "routes")
    names = [each.name for each in declaration.organisations]
    yield from _check_duplicates(names, "organisations")
    servers = [each.name for each in declaration.backend_servers]
    yield from _check_duplicates(servers, "backend_servers")
    yield from _check_routes(declaration)
    yield from _check_servers(declaration)
    yield from _check_exceptions(declaration)


def _check_duplicates(names: list[str], section: str) -> Iterator[tuple[str, str]]:
    seen: dict[str, int] = {}
    for number, name in enumerate(names):
        if name in seen:
            yield f"$.{section}[{number}]", f"{name!r} is listed twice in {section}"
        seen[name] = number


def _check_routes(declaration: Declaration) -> Iterator[tuple[str, str]]:
    models: dict[str, str] = {}
    for number, route in enumerate(declaration.routes):
        path = f"$.routes[{number}]"
        if route.kind is RouteKind.ENGINE and not route.models:
            yield path, f"route {route.name!r} of kind engine needs at least one model"
        if route.kind is RouteKind.PLAIN and not (route.prefix or "").startswith("/"):
            yield path, f"route {route.name!r} needs a prefix that starts with /"
        for model in route.models:
            if model in models:
                yield (
                    path,
                    f"model {model!r} is on route {models[model]!r} too",
                )
            models[model] = route.name


def _check_servers(declaration: Declaration) -> Iterator[tuple[str, str]]:
    routes = sorted(route.name for route in declaration.routes)
    for number, server in enumerate(declaration.backend_servers):
        path = f"$.backend_servers[{number}]"
        if server.route not in routes:
            allowed = ", ".join(routes)
            yield f"{path}.route", f"unknown route {server.route!r}; known: {allowed}"
        if server.domain not in declaration.failure_domains:
            allowed = ", ".join(declaration.failure_domains)
            yield (
                f"{path}.domain",
                f"unknown failure domain {server.domain!r}; known: {allowed}",
            )


def _check_exceptions(declaration: Declaration) -> Iterator[tuple[str, str]]:
    organisations = {each.name for each in declaration.organisations}
    routes = {each.name for each in declaration.routes}
    for number, rule in enumerate(declaration.exceptions):
        path = f"$.exceptions[{number}]"
        if (rule.organisation is None) == (rule.route is None):
            yield path, "an exception needs either an organisation or a route"
        if rule.organisation is not None and rule.organisation not in organisations:
            yield path, f"unknown organisation {rule.organisation!r}"
        if rule.route is not None and rule.route not in routes:
            allowed = ", ".join(sorted(routes))
            yield path, f"unknown route {rule.route!r}; known: {allowed}"
        yield from _check_values(rule, path)


def _check_values(rule: ExceptionRule, path: str) -> Iterator[tuple[str, str]]:
    field_names = {field.name for field in attrs.fields(Limits)}
    for name, value in rule.set.items():
        if name not in field_names:
            allowed = _similar_names(name, field_names) or ", ".join(
                sorted(field_names)
            )
            yield f"{path}.set.{name}", f"unknown field {name}; allowed: {allowed}"
            continue
        try:
            _CONVERTER.structure({name: value}, Limits)
        except Exception as error:
            for text in transform_error(error, format_exception=_describe_error):
                yield f"{path}.set.{name}", text.rpartition(" @ ")[0]


def _similar_names(name: str, known: set[str]) -> str:
    stem = name
    for suffix in _UNIT_SUFFIXES:
        stem = stem.removesuffix(suffix)
    return ", ".join(sorted(each for each in known if each.startswith(stem)))
