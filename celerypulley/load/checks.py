"""Checks of a finished run against what the stand-ins saw."""

from collections import defaultdict

import attrs

from celerypulley.load.ledger import Ledger, Outcome

__all__ = ["Check", "check_history", "check_orders", "check_rate", "check_headers"]


@attrs.frozen
class Check:
    """One promise: how many cases were looked at and what broke it."""

    promise: str
    cases: int
    broken: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Return whether the promise held and was put to the test."""
        return not self.broken and self.cases > 0


def check_history(ledger: Ledger) -> list[Check]:
    """Return the checks that the client made turn by turn."""
    history = [each for each in ledger.violations if each.startswith("history")]
    budget = [each for each in ledger.violations if each.startswith("budget")]
    return [
        Check("history and order", ledger.acknowledged_turns, tuple(history)),
        Check("budget", ledger.finished_programs, tuple(budget)),
    ]


def check_orders(ledger: Ledger, runs: dict[str, int]) -> list[Check]:
    """Compare what the plain service ran with what callers were told."""
    told: dict[str, set[str]] = defaultdict(set)
    for each in ledger.operations:
        if each.kind == "order":
            told[each.name].add(each.outcome)
    twice = [f"{name} ran {count} times" for name, count in runs.items() if count > 1]
    wrong = []
    refused = 0
    for name, outcomes in told.items():
        count = runs.get(name, 0)
        answered = outcomes & {Outcome.OK.value, Outcome.REPLAYED.value}
        if answered and count == 0:
            wrong.append(f"{name} was answered but never ran")
        if outcomes == {Outcome.NOT_RUN.value}:
            refused += 1
            if count:
                wrong.append(f"{name} was told not-run but ran")
    return [
        Check("at most once", len(told), tuple(twice)),
        Check("truth about what ran", len(told), tuple(wrong)),
    ]


def check_rate(
    arrivals_ms: dict[str, list[float]],
    limits: dict[str, tuple[float, float]],
    max_delay_ms: float,
) -> Check:
    """Check every window of arrivals against rate x time + burst.

    `limits` gives rate (per s) and burst; `slack_ms` is the longest time from
    a meter to the stand-in.
    """
    broken = []
    cases = 0
    for organisation, times in arrivals_ms.items():
        rate_per_s, burst = limits[organisation]
        ordered = sorted(times)
        cases += len(ordered)
        worst = _largest_excess(ordered, rate_per_s, burst, max_delay_ms)
        if worst > 0:
            broken.append(f"{organisation} was {worst:.1f} requests above its rate")
    return Check("rate and burst", cases, tuple(broken))


def _largest_excess(
    arrivals_ms: list[float], rate_per_s: float, burst: float, max_delay_ms: float
) -> float:
    """Return the largest excess over all windows, in requests.

    For a window from arrival i to j the excess is (j - i + 1) - rate x time
    - burst, so one pass with a running minimum finds the worst.
    """
    worst = float("-inf")
    lowest = float("inf")
    for number, at_ms in enumerate(arrivals_ms):
        drift = number - rate_per_s * at_ms / 1_000
        lowest = min(lowest, drift)
        worst = max(worst, drift - lowest + 1)
    return worst - burst - rate_per_s * max_delay_ms / 1_000


def check_headers(header_names: set[str]) -> Check:
    """Check that no backend server saw a header that could carry a key."""
    allowed = {
        "accept",
        "accept-encoding",
        "connection",
        "content-length",
        "content-type",
        "host",
        "user-agent",
        "x-request-id",
    }
    strange = sorted(header_names - allowed)
    return Check("no key at backend servers", len(header_names), tuple(strange))
