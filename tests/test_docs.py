"""Pages that must agree with the code, and the import rules."""

from pathlib import Path

import attrs
import pytest

from celerypulley.contracts.declaration import Limits
from celerypulley.errors import ERROR_RESPONSES, ErrorKind
from tools.error_table import error_page
from tools.import_rules import find_violations

ROOT = Path(__file__).resolve().parent.parent


def test_error_page_matches_the_code() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    assert (ROOT / "docs/ERRORS.md").read_text() == error_page()


@pytest.mark.parametrize("name", [field.name for field in attrs.fields(Limits)])
def test_configuration_page_names_every_limit(name: str) -> None:
    assert f"`{name}`" in (ROOT / "docs/CONFIGURATION.md").read_text()


def test_no_import_rule_is_broken() -> None:
    assert find_violations(ROOT) == []
