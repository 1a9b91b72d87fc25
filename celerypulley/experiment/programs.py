"""Seeded programs of an experiment, described by their token counts."""

import random

import attrs

from celerypulley.experiment.plan import ExperimentPlan, TokenMix

__all__ = ["TokenProgram", "TokenTurn", "draw_programs"]


@attrs.frozen
class TokenTurn:
    """One turn: its new prompt tokens, its output tokens and the pause before it."""

    prompt_tokens: int
    answer_tokens: int
    pause_ms: float


@attrs.frozen
class TokenProgram:
    """One program; `host` is the index of the host that owns it."""

    name: str
    organisation: str
    host: int
    starts_ms: float
    turns: tuple[TokenTurn, ...]


def draw_programs(plan: ExperimentPlan, seed: int) -> list[TokenProgram]:
    """Return the programs of one seed, which all policies share."""
    rng = random.Random(seed)
    mix = plan.mix
    names = [f"organisation-{number}" for number in range(mix.organisations)]
    programs = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(plan.programs_per_s) * 1_000
        if at_ms >= plan.seconds * 1_000:
            return programs
        programs.append(
            TokenProgram(
                name=f"p{len(programs)}",
                organisation=_draw_organisation(mix, names, rng),
                host=rng.randrange(plan.hosts),
                starts_ms=at_ms,
                turns=_draw_turns(mix, rng),
            )
        )


def _draw_organisation(mix: TokenMix, names: list[str], rng: random.Random) -> str:
    large = names[: mix.large_organisations]
    small = names[mix.large_organisations :]
    if rng.random() >= mix.large_share:
        return rng.choice(small)
    weights = [mix.greedy_factor] + [1.0] * (len(large) - 1)
    return rng.choices(large, weights)[0]


def _draw_turns(mix: TokenMix, rng: random.Random) -> tuple[TokenTurn, ...]:
    turn_range = mix.short_turns if rng.random() < mix.short_share else mix.long_turns
    turns = []
    for number in range(rng.randint(*turn_range)):
        prompt_range = mix.prompt_tokens if number else mix.first_prompt_tokens
        turns.append(
            TokenTurn(
                rng.randint(*prompt_range),
                rng.randint(*mix.answer_tokens),
                rng.uniform(*mix.pause_ms) if number else 0.0,
            )
        )
    return tuple(turns)
