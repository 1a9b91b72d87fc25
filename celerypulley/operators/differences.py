"""Differences between two declarations, as lines for operators."""

from collections.abc import Iterator

from celerypulley.contracts.declaration import Declaration
from celerypulley.contracts.declaration_file import declaration_to_dict

__all__ = ["differences"]


def differences(before: Declaration | None, after: Declaration) -> list[str]:
    """Return a line for each value that is added, changed or removed."""
    old = dict(_flatten(declaration_to_dict(before), "")) if before else {}
    new = dict(_flatten(declaration_to_dict(after), ""))
    lines = []
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            lines.append(f"+ {path}: {new[path]}")
        elif path not in new:
            lines.append(f"- {path}: {old[path]}")
        elif old[path] != new[path]:
            lines.append(f"~ {path}: {old[path]} -> {new[path]}")
    return lines


def _flatten(value: object, path: str) -> Iterator[tuple[str, object]]:
    if isinstance(value, dict):
        for name, each in value.items():
            yield from _flatten(each, f"{path}.{name}" if path else str(name))
        return
    if isinstance(value, list):
        for number, each in enumerate(value):
            name = each.get("name", number) if isinstance(each, dict) else number
            yield from _flatten(each, f"{path}[{name}]")
        return
    yield path, value
