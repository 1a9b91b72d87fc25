"""The report of an experiment: a Markdown page, JSON and plots."""

import statistics
from pathlib import Path

import attrs
import orjson

from celerypulley.experiment.plan import ExperimentPlan
from celerypulley.experiment.trial import TrialResult
from celerypulley.load.summary import percentile

__all__ = ["PolicyFigures", "format_figures", "median_figures", "write_report"]

_BASELINE_PREFIX = "baseline"
_TOKEN_GAP_TARGET_MS = 52.0
_FIRST_TOKEN_TARGET_MS = 1_900.0


@attrs.frozen(kw_only=True)
class PolicyFigures:
    """The measures of one policy, each the median over all seeds.

    `dead_token_s` is the cache that closed programs occupied, in tokens x s;
    `finished` is the number of finished programs of all seeds.
    """

    policy: str
    program_p50_ms: float
    program_p95_ms: float
    worst_slowdown_p95: float
    first_token_p95_ms: float
    token_gap_p95_ms: float
    repeated_tokens: float
    prefilled_tokens: float
    dead_token_s: float
    finished: int


def median_figures(results: list[TrialResult]) -> PolicyFigures:
    """Return the medians of one policy's results over its seeds."""

    def median(measure: object) -> float:
        return statistics.median(measure(each) for each in results)

    return PolicyFigures(
        policy=results[0].policy,
        program_p50_ms=median(lambda r: percentile(_flatten(r.program_ms), 50)),
        program_p95_ms=median(lambda r: percentile(_flatten(r.program_ms), 95)),
        worst_slowdown_p95=median(_worst_slowdown),
        first_token_p95_ms=median(lambda r: percentile(r.first_token_ms, 95)),
        token_gap_p95_ms=median(lambda r: percentile(r.token_gap_ms, 95)),
        repeated_tokens=median(lambda r: r.repeated_tokens),
        prefilled_tokens=median(lambda r: r.prefilled_tokens),
        dead_token_s=median(lambda r: r.dead_token_s),
        finished=sum(each.finished for each in results),
    )


def _flatten(by_organisation: dict[str, list[float]]) -> list[float]:
    return [each for values in by_organisation.values() for each in values]


def _worst_slowdown(result: TrialResult) -> float:
    return max(percentile(values, 95) for values in result.slowdowns.values())


def format_figures(figures: list[PolicyFigures]) -> str:
    """Return a table of the measures, each with its ratio to the best baseline."""
    baselines = [f for f in figures if f.policy.startswith(_BASELINE_PREFIX)]
    names = (
        "program_p50_ms",
        "program_p95_ms",
        "worst_slowdown_p95",
        "first_token_p95_ms",
        "token_gap_p95_ms",
        "repeated_tokens",
        "dead_token_s",
    )
    lines = ["| policy | " + " | ".join(names) + " |"]
    lines.append("| --- " * (len(names) + 1) + "|")
    for each in figures:
        cells = []
        for name in names:
            value = getattr(each, name)
            best = min(getattr(other, name) for other in baselines or figures)
            ratio = value / best if best else float("nan")
            cells.append(f"{value:,.1f} ({ratio:.2f})")
        lines.append(f"| {each.policy} | " + " | ".join(cells) + " |")
    lines.append("")
    lines.append("In brackets: the ratio to the best baseline for that measure.")
    return "\n".join(lines)


def write_report(
    plan: ExperimentPlan, results: dict[str, list[TrialResult]], folder: Path
) -> list[PolicyFigures]:
    """Write `report.md`, `report.json` and `report.png`; return the figures."""
    folder.mkdir(parents=True, exist_ok=True)
    figures = [median_figures(trials) for trials in results.values()]
    page = [f"# Experiment {plan.name}", "", _describe_setup(plan), ""]
    page += [format_figures(figures), "", "![plots](report.png)", ""]
    (folder / "report.md").write_text("\n".join(page))
    data = {"plan": attrs.asdict(plan), "figures": [attrs.asdict(f) for f in figures]}
    encoded = orjson.dumps(data, default=str, option=orjson.OPT_INDENT_2)
    (folder / "report.json").write_bytes(encoded)
    _plot(results, folder / "report.png")
    return figures


def _describe_setup(plan: ExperimentPlan) -> str:
    return (
        f"{plan.engines} engines, {plan.hosts} hosts, {plan.programs_per_s} programs/s "
        f"for {plan.seconds:.0f} s, seeds {plan.seeds}; load reports are "
        f"{plan.report_lag_ms:.0f} ms late."
    )


def _plot(results: dict[str, list[TrialResult]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(12, 8))
    for policy, trials in results.items():
        first_trial = trials[0]
        latencies_ms = sorted(_flatten(first_trial.program_ms))
        shares = [
            (number + 1) / len(latencies_ms) for number in range(len(latencies_ms))
        ]
        axes[0][0].plot([each / 1_000 for each in latencies_ms], shares, label=policy)
        slowdowns = sorted(percentile(v, 95) for v in first_trial.slowdowns.values())
        axes[0][1].plot(slowdowns, "o-", label=policy)
        seconds = [each[0] for each in first_trial.cache_samples]
        axes[1][0].plot(
            seconds, [each[1] / 1e6 for each in first_trial.cache_samples], label=policy
        )
        axes[1][1].plot(
            seconds, [each[2] / 1e6 for each in first_trial.cache_samples], label=policy
        )
    titles = (
        ("program latency, s", "share of programs"),
        ("organisations, best to worst", "p95 slowdown"),
        ("time, s", "cached tokens, millions"),
        ("time, s", "cached tokens of closed programs, millions"),
    )
    for axis, (x_label, y_label) in zip(axes.flat, titles, strict=True):
        axis.set_xlabel(x_label)
        axis.set_ylabel(y_label)
        axis.legend(fontsize=7)
    axes[0][0].set_xscale("log")
    figure.tight_layout()
    figure.savefig(path)
