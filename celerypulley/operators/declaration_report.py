"""The report of `celerypulley check`, as lines and as JSON."""

from collections.abc import Callable
from pathlib import Path

import attrs
import orjson

from celerypulley.contracts.declaration import Declaration
from celerypulley.contracts.declaration_file import DeclarationError
from celerypulley.contracts.declaration_review import Finding

__all__ = ["DeclarationReport"]


@attrs.frozen(kw_only=True)
class DeclarationReport:
    """What a check of a declaration found.

    `declaration` is None if there are errors. `line_of(path)` returns the line of a
    place. `changes` are lines about the version in force, empty if none was read.
    """

    file: str = attrs.field(kw_only=False)
    declaration: Declaration | None = None
    errors: tuple[DeclarationError, ...] = ()
    findings: tuple[Finding, ...] = ()
    line_of: Callable[[str], int] = lambda _path: 1
    changes: tuple[str, ...] = ()

    @property
    def is_clean(self) -> bool:
        """Return whether there is neither an error nor a finding."""
        return not self.errors and not self.findings

    def lines(self) -> list[str]:
        """Return the report for an operator."""
        lines = [f"{error} ({error.path})" for error in self.errors]
        for each in self.findings:
            place = f"{Path(self.file).name}:{self.line_of(each.path)}"
            lines.append(f"{place}: {each.kind.value}: {each.name}: {each.problem}")
        if self.declaration is not None:
            lines.append(
                f"{self.file}: valid; {len(self.declaration.organisations)} "
                f"organisations, {len(self.declaration.routes)} routes, "
                f"{len(self.declaration.exceptions)} exceptions"
            )
        return [*lines, *self.changes]

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        errors = [
            {
                "line": each.line,
                "path": each.path,
                "problem": each.problem,
            }
            for each in self.errors
        ]
        findings = [
            {
                "line": self.line_of(each.path),
                "path": each.path,
                "name": each.name,
                "kind": each.kind.value,
                "problem": each.problem,
            }
            for each in self.findings
        ]
        report = {
            "file": self.file,
            "clean": self.is_clean,
            "errors": errors,
            "findings": findings,
            "changes": list(self.changes),
        }
        return orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
