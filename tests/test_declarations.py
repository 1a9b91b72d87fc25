"""Declarations and settings: every mistake is reported with its place."""

from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration_file import read_declaration
from celerypulley.contracts.stored_configuration import (
    ConfigurationHead,
    join_chunks,
    split_configuration,
)
from celerypulley.operators.differences import differences
from celerypulley.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
VALID = (ROOT / "declarations/aguapunto.yaml").read_text()

THIRD_ENGINE = "engine-3, route: assistant, domain: centro-c"
EXCEPTION_REASON = "forty kiosks share this key and pay for three weights"
EXCEPTION_SET = "set: {rate_per_s: 60, burst: 120, weight: 3}\n    reason: forty"

# Text to replace, its replacement, text on the reported line, part of the message.
MISTAKES = [
    ("  burst: 40", "  bust: 40", "bust", "unknown field bust; allowed:"),
    ("rate_per_s: 20", "rate_per_s: 0", "rate_per_s: 0", "must be above zero"),
    ("rate_per_s: 20", "rate_per_s: fast", "rate_per_s: fast", "is not a number"),
    (
        "rate_per_s: 20",
        "rate_per_min: 20",
        "rate_per_min",
        "unknown field rate_per_min",
    ),
    ("burst: 40", "burst: 0", "burst: 0", "must be at least 1"),
    ("when_stale: serve", "when_stale: maybe", "maybe", "'maybe'"),
    ("version: 1", "version: 7", "version: 7", "version 7 is not 1"),
    ("{name: kiosks-south}", "{name: filters-desk}", "{name: filters-desk}", "twice"),
    ("name: kiosk-plaza", "name: Kiosk Plaza", "Kiosk Plaza", "is not a name"),
    ("issuer-1, route: tokens", "issuer-1, route: c", "issuer-1", "unknown route 'c'"),
    (THIRD_ENGINE, THIRD_ENGINE[:-7], "engine-3", "unknown failure domain"),
    (
        f"    reason: {EXCEPTION_REASON}\n",
        "",
        "organisation: kiosks-north",
        "reason is missing",
    ),
    (EXCEPTION_REASON, "x", "reason: x", "at least 8"),
    (
        EXCEPTION_SET,
        EXCEPTION_SET.replace("rate_per_s", "rate"),
        "rate: 60",
        "allowed: rate_per_s",
    ),
    ("    prefix: /tokens\n", "", "name: tokens", "needs a prefix"),
    ("version: 1", "version: [", "defaults:", "not YAML"),
]


@pytest.mark.parametrize(("old", "new", "where", "problem"), MISTAKES)
def test_mistake_is_reported_with_its_line(
    tmp_path: Path, old: str, new: str, where: str, problem: str
) -> None:
    assert old in VALID
    path = tmp_path / "declared.yaml"
    path.write_text(VALID.replace(old, new, 1))
    lines = path.read_text().splitlines()
    lines_with_mistake = [
        number for number, text in enumerate(lines, 1) if where in text
    ]
    result = read_declaration(path)
    assert isinstance(result, Failure)
    texts = [str(error) for error in result.failure()]
    reported = [text for text in texts if problem in text]
    assert reported, texts
    starts = [f"declared.yaml:{number}:" for number in lines_with_mistake]
    assert any(text.startswith(tuple(starts)) for text in reported), (
        texts,
        lines_with_mistake,
    )


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(["version", "defaults", "routes", "name", "set", "x"]),
                inner,
                max_size=4,
            )
        ),
        max_leaves=20,
    )
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_no_document_breaks_the_reader(document: object) -> None:
    path = Path("/tmp/celerypulley-fuzzed.yaml")
    path.write_text(yaml.safe_dump(document))
    result = read_declaration(path)
    assert isinstance(result, Failure) and result.failure()


@pytest.mark.parametrize("name", ["aguapunto", "jalisco"])
def test_stored_chunks_rebuild_the_declaration(name: str) -> None:
    result = read_declaration(ROOT / f"declarations/{name}.yaml")
    assert isinstance(result, Success)
    declaration = result.unwrap()
    digests, chunks = split_configuration(declaration, ())
    head = ConfigurationHead(1, digests, 0, "test")
    rebuilt, keys = join_chunks(head, chunks)
    assert not [line for line in differences(declaration, rebuilt) if "[" not in line]
    assert sorted(o.name for o in rebuilt.organisations) == sorted(
        o.name for o in declaration.organisations
    )
    assert keys == ()
    for organisation in declaration.organisations:
        before = Configuration(1, declaration, ()).organisation_limits(
            organisation.name
        )
        assert (
            Configuration(1, rebuilt, ()).organisation_limits(organisation.name)
            == before
        )


def test_explanation_names_the_deciding_rule_and_its_reason() -> None:
    declaration = read_declaration(ROOT / "declarations/aguapunto.yaml").unwrap()
    explanations = Configuration(3, declaration, ()).explain("kiosks-north")
    by_name = {each.name: each for each in explanations}
    assert by_name["rate_per_s"].decided_by == "exception"
    assert by_name["rate_per_s"].reason.startswith("forty kiosks")
    assert by_name["max_tokens"].decided_by == "default"
    assert by_name["max_tokens"].version == 3


FLAGS = {
    "host_id": "h1",
    "domain": "north",
    "caller_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "platform_address": "127.0.0.1:4",
    "peer_secret": "0123456789abcdef",
}

BAD_SETTINGS = [
    ({"host_id": "H 1"}, ["host_id"]),
    ({"caller_address": "nowhere"}, ["caller_address"]),
    ({"peer_secret": "short"}, ["peer_secret"]),
    ({"lease_ttl_ms": "1"}, ["lease_ttl_ms"]),
    ({"unknown": "x"}, ["unknown"]),
    ({"domain": None, "log_format": "xml"}, ["domain", "log_format"]),
]


@pytest.mark.parametrize(("changes", "names"), BAD_SETTINGS)
def test_every_bad_setting_is_named_at_once(changes: dict, names: list[str]) -> None:
    flags = {**FLAGS, **changes}
    result = load_settings(
        {name: value for name, value in flags.items() if value is not None}, {}
    )
    assert sorted(error.name for error in result.failure()) == sorted(names)
    assert all("CELERYPULLEY_" in str(error) for error in result.failure())


def test_flag_overrides_the_environment() -> None:
    environment = {"CELERYPULLEY_DOMAIN": "south", "CELERYPULLEY_PROMISE_MS": "900"}
    loaded = load_settings(FLAGS, environment).unwrap()
    assert (loaded.domain, loaded.promise_ms) == ("north", 900)
