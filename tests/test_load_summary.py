"""Whether a run of the soak or the demo counts as passed."""

import pytest

from celerypulley.load.checks import Check
from celerypulley.load.ledger import Ledger
from celerypulley.load.summary import summarize

HELD = Check("held", 3, ())
BROKEN = Check("broken", 3, ("a case",))
UNCHECKED = Check("unchecked", 0, ())


@pytest.mark.parametrize(
    ("checks", "unproved"),
    [
        ([HELD], []),
        ([HELD, BROKEN], ["broken"]),
        ([HELD, UNCHECKED], ["unchecked"]),
        ([BROKEN, UNCHECKED], ["broken", "unchecked"]),
    ],
)
def test_check_without_cases_passes(checks, unproved):
    summary = summarize(Ledger(), checks, [])
    assert summary.unproved_promises() == unproved
    assert summary.holds() == (not unproved)
