"""Valid declarations whose entries have no effect or contradict each other."""

import asyncio
from pathlib import Path

import orjson
import pytest

from celerypulley.cli import CommandLine
from celerypulley.contracts.declaration import Limits
from celerypulley.contracts.declaration_file import declaration_from_dict
from celerypulley.contracts.declaration_review import (
    find_limit_conflicts,
    review_declaration,
)
from celerypulley.operators import commands
from tests.harness import running_deployment

ROOT = Path(__file__).resolve().parent.parent
SHIPPED = sorted((ROOT / "declarations").glob("*.yaml"))
VALID = (ROOT / "declarations/aguapunto.yaml").read_text()
REASON = "for a test of the review"


def _declaration(**changes: object) -> dict:
    """Return a declaration without findings; `changes` replace its sections."""
    servers = [
        {"name": f"s-{name}", "route": name, "domain": "a", "address": "10.0.0.1:80"}
        for name in ("chat", "shop")
    ]
    sections = {
        "version": 1,
        "failure_domains": ["a"],
        "defaults": {"rate_per_s": 20, "burst": 40},
        "routes": [
            {"name": "chat", "kind": "engine", "models": ["m"]},
            {"name": "shop", "kind": "plain", "prefix": "/shop"},
        ],
        "backend_servers": servers,
        "organisations": [{"name": "kiosk"}],
        "exceptions": [],
    }
    return {**sections, **changes}


def _routes(*routes: dict) -> dict:
    """Return changes with these plain routes, each with a server."""
    rows = [{"kind": "plain", **each} for each in routes]
    servers = [
        {"name": f"s-{n}", "route": each["name"], "domain": "a", "address": "b:1"}
        for n, each in enumerate(routes)
    ]
    return {"routes": rows, "backend_servers": servers}


def _exceptions(*values: dict) -> dict:
    rows = [{"organisation": "kiosk", "set": each, "reason": REASON} for each in values]
    return {"exceptions": rows}


FINDINGS = {
    "none": ({}, []),
    "server missing": (
        {"backend_servers": []},
        [("$.routes[0]", "never matches"), ("$.routes[1]", "never matches")],
    ),
    "same prefix": (
        _routes({"name": "x", "prefix": "/p"}, {"name": "y", "prefix": "/p"}),
        [("$.routes[1].prefix", "never matches")],
    ),
    "prefix with a slash": (
        _routes({"name": "x", "prefix": "/p"}, {"name": "y", "prefix": "/p/"}),
        [("$.routes[0].prefix", "never matches")],
    ),
    "longer prefix": (
        _routes({"name": "x", "prefix": "/p"}, {"name": "y", "prefix": "/p/q"}),
        [],
    ),
    "prefix with a query": (
        _routes({"name": "x", "prefix": "/p?q=1"}),
        [("$.routes[0].prefix", "never matches")],
    ),
    "prefix of an engine": (
        _routes({"name": "x", "kind": "engine", "models": ["m"], "prefix": "/p"}),
        [("$.routes[0].prefix", "changes nothing")],
    ),
    "models of a plain route": (
        _routes({"name": "x", "prefix": "/p", "models": ["m"]}),
        [("$.routes[0].models", "contradiction")],
    ),
    "exception as the defaults": (
        _exceptions({"burst": 40}),
        [("$.exceptions[0]", "changes nothing")],
    ),
    "empty exception": (_exceptions({}), [("$.exceptions[0]", "changes nothing")]),
    "exception set again": (
        _exceptions({"burst": 50}, {"burst": 60}),
        [("$.exceptions[0]", "changes nothing")],
    ),
    "exception back to the defaults": (
        _exceptions({"burst": 50, "weight": 2}, {"burst": 40}),
        [],
    ),
    "wait above the time-out": (
        {"defaults": {"queue_wait_s": 200}},
        [("$.defaults.queue_wait_s", "contradiction")],
    ),
    "budget below a turn": (
        _exceptions({"program_budget_tokens": 100}),
        [("$.exceptions[0].set", "contradiction")],
    ),
    "contradiction that the defaults have": (
        {"defaults": {"queue_wait_s": 200}, **_exceptions({"weight": 2})},
        [("$.defaults.queue_wait_s", "contradiction")],
    ),
    "contradiction of two exceptions": (
        _exceptions({"turn_timeout_s": 40}, {"queue_wait_s": 50}),
        [("$.exceptions[1].set", "contradiction")],
    ),
    "retention below the time-out": (
        _exceptions({"call_retention_s": 60}),
        [("$.exceptions[0].set", "contradiction")],
    ),
    "organisation missing": (
        {"organisations": [], **_exceptions({"burst": 50})},
        [("$.exceptions[0]", "never matches")],
    ),
}


@pytest.mark.parametrize(("changes", "expected"), FINDINGS.values(), ids=FINDINGS)
def test_entry_without_effect_is_not_reported(changes, expected):
    declaration = declaration_from_dict(_declaration(**changes))
    found = [(each.path, each.kind.value) for each in review_declaration(declaration)]
    assert found == expected


def test_burst_below_one_is_no_contradiction():
    limits = Limits()
    object.__setattr__(limits, "burst", 0)  # the validator refuses it in a file
    assert [field for field, _ in find_limit_conflicts(limits)] == ["burst"]


def _check(capsys, file: Path, **options: object) -> tuple[int, str]:
    with pytest.raises(SystemExit) as ended:
        CommandLine().check(str(file), **options)
    return ended.value.code, capsys.readouterr().out


@pytest.mark.parametrize("file", SHIPPED, ids=lambda file: file.stem)
def test_shipped_declaration_has_findings(capsys, file):
    assert _check(capsys, file)[0] == 0


@pytest.mark.parametrize(
    ("old", "new", "section", "path"),
    [
        ("burst: 40", "burst: 0", "errors", "$.defaults"),
        ("version: 1", "version: [", "errors", "$"),
        ("burst: 40", "burst: 40\n  queue_wait_s: 900", "findings", "$.defaults"),
    ],
)
def test_check_ends_with_another_status_or_line(
    capsys, tmp_path, old, new, section, path
):
    file = tmp_path / "declaration.yaml"
    text = VALID.replace(old, new, 1)
    file.write_text(text)
    status, output = _check(capsys, file, json=True)
    report = orjson.loads(output)
    assert (status, report["clean"]) == (1, False)
    (row,) = report[section]
    assert row["path"].startswith(path)
    human_status, human = _check(capsys, file)
    assert human_status == 1
    assert f"declaration.yaml:{row['line']}: " in human
    if path != "$":
        line = text.splitlines()[row["line"] - 1].strip()
        assert line == new.splitlines()[-1].strip()


async def test_check_does_not_compare_with_the_version_in_force(tmp_path):
    file = tmp_path / "declaration.yaml"
    file.write_text(VALID)
    async with running_deployment() as deployment:
        store = str(deployment.platform_address)
        report = await asyncio.to_thread(commands.check_declaration, str(file), store)
        assert report.changes[0] == "compared with version 3:"
        assert "~ defaults.max_tokens: 8 -> 128" in report.changes
        assert report.is_clean
        newest = await deployment.configuration_store.newest()
        assert newest.head.version == 3


def test_check_takes_a_missing_store_for_an_empty_one(tmp_path):
    file = tmp_path / "declaration.yaml"
    file.write_text(VALID)
    with pytest.raises(commands.CommandFailedError):
        commands.check_declaration(str(file), "127.0.0.1:9")
