"""The definition of an experiment: workload, engines, policies and seeds."""

from pathlib import Path

import attrs
import cattrs
import yaml

from celerypulley.contracts.declaration import Ordering, Policy

__all__ = ["ExperimentPlan", "PolicySet", "TokenMix", "read_plan"]


@attrs.frozen(kw_only=True)
class TokenMix:
    """The distribution of programs, with lengths in tokens and pauses in ms.

    A pair gives the bounds of a uniform distribution. `large_share` is the share of
    programs that come from the first `large_organisations`; the first of these sends
    `greedy_factor` times as many as each of the others.
    """

    short_share: float
    short_turns: tuple[int, int]
    long_turns: tuple[int, int]
    system_tokens: int
    first_prompt_tokens: tuple[int, int]
    prompt_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    pause_ms: tuple[float, float]
    organisations: int
    large_organisations: int
    large_share: float
    greedy_factor: float = 1.0


@attrs.frozen(kw_only=True)
class PolicySet:
    """The policies of one variant: routing, ordering and cache release.

    `releases` states whether the cache of a closed program is released at once.
    """

    name: str
    routing: Policy
    ordering: Ordering
    releases: bool = False


@attrs.frozen(kw_only=True)
class ExperimentPlan:
    """One experiment.

    One engine fails for good at `engine_lost_at_s` (0: never). Load reports arrive
    `report_lag_ms` late. `memory_tokens` is the memory of each engine.
    """

    name: str
    mix: TokenMix
    policies: list[PolicySet]
    seeds: list[int]
    hosts: int
    engines: int
    programs_per_s: float
    seconds: float
    report_lag_ms: float = 500.0
    engine_lost_at_s: float = 0.0
    memory_tokens: int = 1_300_000


def read_plan(path: Path) -> ExperimentPlan:
    """Return the experiment of a YAML file; raise ValueError listing its problems."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    data = yaml.safe_load(path.read_text(encoding="utf-8"))
    try:
        return converter.structure(data, ExperimentPlan)
    except Exception as error:
        problems = "; ".join(cattrs.transform_error(error))
        raise ValueError(f"{path.name}: {problems}") from None
