"""The summary of a run: measures and checked promises, as text or JSON."""

import attrs
from hdrh.histogram import HdrHistogram

from celerypulley.load.checks import Check
from celerypulley.load.ledger import Ledger, Outcome

__all__ = ["Summary", "format_summary", "percentile", "summarize"]

_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_INCORRECT_REFUSALS = frozenset({"rate_exceeded", "meter_unreachable"})


@attrs.frozen(kw_only=True)
class Summary:
    """The measures of a run and the checks of its promises."""

    programs_finished: int
    programs_unfinished: int
    turns_acknowledged: int
    program_p50_ms: float
    program_p95_ms: float
    first_token_p95_ms: float
    token_gap_p95_ms: float
    worst_organisation: str
    worst_organisation_p95_ms: float
    wasted_cache_tokens: int
    prefilled_tokens: int
    wrongful_refusals: int
    tries: int
    tries_answered: int
    errors: dict[str, int]
    checks: list[Check]

    def holds(self) -> bool:
        """Return whether every promise held and every program finished."""
        return self.programs_unfinished == 0 and not self.unproved_promises()

    def unproved_promises(self) -> list[str]:
        """Return the promises that were broken, or of which no case was checked."""
        return [check.promise for check in self.checks if not check.holds]

    def as_data(self) -> dict:
        """Return the summary as data for JSON."""
        data = attrs.asdict(self)
        data["holds"] = self.holds()
        return data


def percentile(values_ms: list[float], percent: float) -> float:
    """Return a percentile of times in ms, 0 if there are none."""
    if not values_ms:
        return 0.0
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(1, int(value_ms * _US_PER_MS)))
    return histogram.get_value_at_percentile(percent) / _US_PER_MS


def summarize(
    ledger: Ledger, checks: list[Check], engine_counts: list[dict]
) -> Summary:
    """Return the summary of a run.

    `engine_counts` are the counters of the engines. Wasted cache tokens are those that
    were prefilled again for the same program.
    """
    latencies_ms = [
        each for times in ledger.program_latencies_ms.values() for each in times
    ]
    slowest, slowest_ms = "", 0.0
    for organisation, times in sorted(ledger.program_latencies_ms.items()):
        p95_ms = percentile(times, 95)
        if p95_ms > slowest_ms:
            slowest, slowest_ms = organisation, p95_ms
    errors = ledger.error_counts()
    return Summary(
        programs_finished=ledger.finished_programs,
        programs_unfinished=ledger.unfinished_programs,
        turns_acknowledged=ledger.acknowledged_turns,
        program_p50_ms=round(percentile(latencies_ms, 50), 1),
        program_p95_ms=round(percentile(latencies_ms, 95), 1),
        first_token_p95_ms=round(percentile(ledger.first_token_latencies_ms, 95), 1),
        token_gap_p95_ms=round(percentile(ledger.token_gaps_ms, 95), 1),
        worst_organisation=slowest,
        worst_organisation_p95_ms=round(slowest_ms, 1),
        wasted_cache_tokens=sum(each["repeated_tokens"] for each in engine_counts),
        prefilled_tokens=sum(each["prefilled_tokens"] for each in engine_counts),
        wrongful_refusals=sum(errors.get(kind, 0) for kind in _INCORRECT_REFUSALS),
        tries=len(ledger.operations),
        tries_answered=ledger.count_outcome(Outcome.OK)
        + ledger.count_outcome(Outcome.REPLAYED),
        errors=errors,
        checks=checks,
    )


def format_summary(summary: Summary) -> str:
    """Return the summary as text for a terminal."""
    lines = [
        f"programs finished / not        {summary.programs_finished} / "
        f"{summary.programs_unfinished}",
        f"turns acknowledged             {summary.turns_acknowledged}",
        f"program latency p50 / p95      {summary.program_p50_ms} / "
        f"{summary.program_p95_ms} ms",
        f"first token p95                {summary.first_token_p95_ms} ms",
        f"between tokens p95             {summary.token_gap_p95_ms} ms",
        f"worst-served organisation      {summary.worst_organisation}, p95 "
        f"{summary.worst_organisation_p95_ms} ms",
        f"wasted cache                   {summary.wasted_cache_tokens} of "
        f"{summary.prefilled_tokens} prefilled tokens",
        f"refused inside the rate        {summary.wrongful_refusals}",
        f"tries answered                 {summary.tries_answered} of {summary.tries}",
        f"refusals and errors            {summary.errors or 'none'}",
        "",
    ]
    for check in summary.checks:
        state = "holds" if check.holds else "BROKEN"
        lines.append(f"{check.promise:30} {state}, {check.cases} cases")
        lines.extend(f"    {each}" for each in check.broken[:5])
    return "\n".join(lines)
