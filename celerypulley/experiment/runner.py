"""Run an experiment: all policies on the same programs, for several seeds."""

from collections.abc import Callable
from pathlib import Path

from celerypulley.experiment.plan import ExperimentPlan
from celerypulley.experiment.programs import draw_programs
from celerypulley.experiment.report import PolicyFigures, format_figures, write_report
from celerypulley.experiment.trial import Trial, TrialResult

__all__ = ["run_experiment"]


def run_experiment(
    plan: ExperimentPlan, folder: Path, write_line: Callable[[str], None]
) -> list[PolicyFigures]:
    """Run every policy on every seed; write the report and return the figures."""
    results: dict[str, list[TrialResult]] = {each.name: [] for each in plan.policies}
    for seed in plan.seeds:
        programs = draw_programs(plan, seed)
        for policy in plan.policies:
            result = Trial(plan, policy, seed, programs).run()
            results[policy.name].append(result)
    figures = write_report(plan, results, folder)
    write_line(format_figures(figures))
    return figures
