"""The rules of who may import whom, checked on the source tree.

Decisions stay apart from the encoding of messages: what decides imports neither
aiohttp nor msgpack nor a link that carries bytes.
"""

import ast
import sys
from pathlib import Path

import attrs

__all__ = ["Rule", "broken_rules", "main"]

_ROOT = Path(__file__).resolve().parent.parent


@attrs.frozen
class Rule:
    """Modules below `package` import nothing that starts with `forbidden`."""

    package: str
    forbidden: tuple[str, ...]


_BYTES = ("aiohttp", "msgpack", "uvloop")
_PLATFORM = "celerypulley.platform"
_LAYERS = ("celerypulley.hosts", "celerypulley.operators", "celerypulley.load")
_RULES = (
    Rule("celerypulley.contracts", (*_BYTES, *_LAYERS, "celerypulley.links")),
    Rule("celerypulley.backend_servers", (*_BYTES, *_LAYERS, "celerypulley.links")),
    Rule("celerypulley.failure_domains", (*_BYTES, *_LAYERS, "celerypulley.links")),
    Rule("celerypulley.programs", (*_BYTES, *_LAYERS)),
    Rule("celerypulley.storage", (*_BYTES, *_LAYERS, "celerypulley.links")),
    Rule("celerypulley.stand_ins", _LAYERS),
    Rule(
        "celerypulley.hosts", ("celerypulley.stand_ins", "celerypulley.load", _PLATFORM)
    ),
    Rule("celerypulley.links", (_PLATFORM,)),
    Rule("celerypulley.backend_servers", (_PLATFORM,)),
    Rule("celerypulley.contracts", (_PLATFORM,)),
    Rule("celerypulley.programs", (_PLATFORM,)),
    Rule("celerypulley", ("dataclasses", "argparse", "tests", "tools")),
)


def broken_rules(root: Path) -> list[str]:
    """Return a line for each import that a rule forbids."""
    broken = []
    for path in sorted((root / "celerypulley").rglob("*.py")):
        module = ".".join(path.relative_to(root).with_suffix("").parts)
        for name in _imports(path):
            for rule in _RULES:
                if not _below(module, rule.package):
                    continue
                if any(_below(name, each) for each in rule.forbidden):
                    broken.append(f"{module} imports {name}")
    return broken


def _below(name: str, package: str) -> bool:
    return name == package or name.startswith(package + ".")


def _imports(path: Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def main() -> None:
    """Print broken rules; exit with 1 if there are any."""
    broken = broken_rules(_ROOT)
    print("\n".join(broken) or "import rules hold")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
