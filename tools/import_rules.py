"""Check the rules for imports between packages on the source tree.

Decisions are kept apart from the encoding of messages: modules that decide import
neither aiohttp nor msgpack nor the links, which transfer bytes.
"""

import ast
import sys
from pathlib import Path

import attrs

__all__ = ["Rule", "find_violations", "main"]

_ROOT = Path(__file__).resolve().parent.parent


@attrs.frozen
class Rule:
    """Modules in `package` may not import modules in any package of `forbidden`."""

    package: str
    forbidden: tuple[str, ...]


_ENCODING_LIBRARIES = ("aiohttp", "msgpack", "uvloop")
_PLATFORM_PACKAGE = "celerypulley.platform"
_UPPER_LAYERS = (
    "celerypulley.fleet",
    "celerypulley.hosts",
    "celerypulley.operators",
    "celerypulley.load",
)
_RULES = (
    Rule(
        "celerypulley.contracts",
        (*_ENCODING_LIBRARIES, *_UPPER_LAYERS, "celerypulley.links"),
    ),
    Rule(
        "celerypulley.backend_servers",
        (*_ENCODING_LIBRARIES, *_UPPER_LAYERS, "celerypulley.links"),
    ),
    Rule(
        "celerypulley.failure_domains",
        (*_ENCODING_LIBRARIES, *_UPPER_LAYERS, "celerypulley.links"),
    ),
    Rule("celerypulley.programs", (*_ENCODING_LIBRARIES, *_UPPER_LAYERS)),
    Rule(
        "celerypulley.storage",
        (*_ENCODING_LIBRARIES, *_UPPER_LAYERS, "celerypulley.links"),
    ),
    Rule("celerypulley.stand_ins", _UPPER_LAYERS),
    Rule(
        "celerypulley.hosts",
        ("celerypulley.stand_ins", "celerypulley.load", _PLATFORM_PACKAGE),
    ),
    Rule(
        "celerypulley.fleet",
        ("celerypulley.hosts", "celerypulley.stand_ins", _PLATFORM_PACKAGE),
    ),
    Rule("celerypulley.links", ("celerypulley.fleet", _PLATFORM_PACKAGE)),
    Rule("celerypulley.backend_servers", (_PLATFORM_PACKAGE,)),
    Rule(
        "celerypulley.turn_scheduling",
        (
            *_ENCODING_LIBRARIES,
            *_UPPER_LAYERS,
            "celerypulley.links",
            _PLATFORM_PACKAGE,
        ),
    ),
    Rule(
        "celerypulley.client_limits",
        (
            *_ENCODING_LIBRARIES,
            *_UPPER_LAYERS,
            "celerypulley.links",
            "celerypulley.clock",
            _PLATFORM_PACKAGE,
        ),
    ),
    Rule("celerypulley.contracts", (_PLATFORM_PACKAGE,)),
    Rule("celerypulley.programs", (_PLATFORM_PACKAGE,)),
    Rule("celerypulley", ("dataclasses", "argparse", "tests", "tools")),
)


def find_violations(root: Path) -> list[str]:
    """Return a message for each import that breaks a rule."""
    violations = []
    for path in sorted((root / "celerypulley").rglob("*.py")):
        module = ".".join(path.relative_to(root).with_suffix("").parts)
        for name in _imported_modules(path):
            for rule in _RULES:
                if not _is_within(module, rule.package):
                    continue
                if any(_is_within(name, each) for each in rule.forbidden):
                    violations.append(f"{module} imports {name}")
    return violations


def _is_within(name: str, package: str) -> bool:
    return name == package or name.startswith(package + ".")


def _imported_modules(path: Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def main() -> None:
    """Print the forbidden imports; exit with status 1 if there are any."""
    violations = find_violations(_ROOT)
    print("\n".join(violations) or "import rules hold")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
