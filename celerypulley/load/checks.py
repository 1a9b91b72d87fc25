"""Checks of a finished run against the records of the stand-ins."""

from collections import defaultdict

import attrs

from celerypulley.load.ledger import Ledger, Outcome

__all__ = ["Check", "check_headers", "check_history", "check_orders", "check_rate"]


@attrs.frozen
class Check:
    """The result of checking one promise: the number of cases and the violations."""

    promise: str
    cases: int
    broken: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Return whether there was at least one case and no violation."""
        return not self.broken and self.cases > 0


def check_history(ledger: Ledger) -> list[Check]:
    """Return the checks of history and budget that the clients made."""
    history = [each for each in ledger.violations if each.startswith("history")]
    budget = [each for each in ledger.violations if each.startswith("budget")]
    return [
        Check("history and order", ledger.acknowledged_turns, tuple(history)),
        Check("budget", ledger.finished_programs, tuple(budget)),
    ]


def check_orders(ledger: Ledger, runs: dict[str, int]) -> list[Check]:
    """Check the runs of plain services against the outcomes reported to callers."""
    reported: dict[str, set[str]] = defaultdict(set)
    for each in ledger.operations:
        if each.kind == "order":
            reported[each.name].add(each.outcome)
    repeated = [
        f"{name} ran {count} times" for name, count in runs.items() if count > 1
    ]
    contradicted = []
    refused = 0
    for name, outcomes in reported.items():
        count = runs.get(name, 0)
        succeeded = outcomes & {Outcome.OK.value, Outcome.REPLAYED.value}
        if succeeded and count == 0:
            contradicted.append(f"{name} was reported as run but never ran")
        if outcomes == {Outcome.NOT_RUN.value}:
            refused += 1
            if count:
                contradicted.append(f"{name} was reported as not-run but ran")
    return [
        Check("at most once", len(reported), tuple(repeated)),
        Check("truth about what ran", len(reported), tuple(contradicted)),
    ]


def check_rate(
    arrivals_ms: dict[str, list[float]],
    limits: dict[str, tuple[float, float]],
    max_delay_ms: float,
) -> Check:
    """Check that no window of arrivals exceeds rate x time + burst.

    `limits` gives the rate per s and the burst of each organisation. `max_delay_ms`
    is the longest time from a meter to the stand-in, by which arrivals may bunch up.
    """
    broken = []
    cases = 0
    for organisation, times in arrivals_ms.items():
        rate_per_s, burst = limits[organisation]
        ordered = sorted(times)
        cases += len(ordered)
        excess = _largest_excess(ordered, rate_per_s, burst, max_delay_ms)
        if excess > 0:
            broken.append(f"{organisation} was {excess:.1f} requests above its rate")
    return Check("rate and burst", cases, tuple(broken))


def _largest_excess(
    arrivals_ms: list[float], rate_per_s: float, burst: float, max_delay_ms: float
) -> float:
    """Return the largest excess over all windows, in requests.

    The excess of a window from arrival i to j is (j - i + 1) - rate x time - burst,
    so one pass with a running minimum finds the largest.
    """
    largest = float("-inf")
    lowest = float("inf")
    for number, at_ms in enumerate(arrivals_ms):
        surplus = number - rate_per_s * at_ms / 1_000
        lowest = min(lowest, surplus)
        largest = max(largest, surplus - lowest + 1)
    return largest - burst - rate_per_s * max_delay_ms / 1_000


def check_headers(header_names: set[str]) -> Check:
    """Check that backend servers received no header that could carry a key."""
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
    unexpected = sorted(header_names - allowed)
    return Check("no key at backend servers", len(header_names), tuple(unexpected))
