"""Seeded plans of agent programs: their turns and when they start.

Plans are generated before the run, so that a seed gives the same programs whatever
the system does.
"""

import random
from collections.abc import Sequence

import attrs

__all__ = ["MIXES", "PlannedProgram", "PlannedTurn", "ProgramMix", "plan_programs"]


@attrs.frozen(kw_only=True)
class ProgramMix:
    """The distribution of a deployment's programs.

    Shares are from 0 to 1, lengths in words, pauses in ms; a pair gives the bounds of
    a uniform distribution.
    """

    short_share: float
    short_turns: tuple[int, int]
    long_turns: tuple[int, int]
    prompt_words: tuple[int, int]
    first_prompt_words: tuple[int, int]
    answer_tokens: tuple[int, int]
    pause_ms: tuple[float, float]
    child_share: float
    order_share: float
    large_organisation_share: float


MIXES = {
    "aguapunto": ProgramMix(
        short_share=0.7,
        short_turns=(1, 3),
        long_turns=(4, 10),
        prompt_words=(5, 40),
        first_prompt_words=(40, 400),
        answer_tokens=(8, 48),
        pause_ms=(20.0, 400.0),
        child_share=0.05,
        order_share=0.3,
        large_organisation_share=0.5,
    ),
    "jalisco": ProgramMix(
        short_share=0.5,
        short_turns=(1, 2),
        long_turns=(6, 14),
        prompt_words=(10, 120),
        first_prompt_words=(200, 1_200),
        answer_tokens=(16, 80),
        pause_ms=(50.0, 800.0),
        child_share=0.1,
        order_share=0.15,
        large_organisation_share=0.4,
    ),
}


@attrs.frozen
class PlannedTurn:
    """One turn: its prompt, its output limit and the pause before it.

    `order` is the identifier of a non-repeatable call after the turn, empty for none.
    """

    prompt: str
    max_tokens: int
    pause_ms: float
    stream: bool
    order: str


@attrs.frozen
class PlannedProgram:
    """One program: its organisation, model, start time and turns.

    `child_after` is the number of the turn after which a sub-agent runs a child
    program, 0 for none.
    """

    number: int
    organisation: str
    model: str
    starts_ms: float
    turns: tuple[PlannedTurn, ...]
    child_after: int


def plan_programs(
    mix: ProgramMix,
    seed: int,
    organisations: Sequence[str],
    models: Sequence[str],
    programs_per_s: float,
    duration_ms: float,
) -> list[PlannedProgram]:
    """Return the programs that start within `duration_ms`.

    The first quarter of the organisations gets `large_organisation_share` of them.
    """
    rng = random.Random(seed)
    large_count = max(1, len(organisations) // 4)
    planned = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(programs_per_s) * 1_000
        if at_ms >= duration_ms:
            return planned
        candidates = organisations[large_count:] or organisations
        if rng.random() < mix.large_organisation_share:
            candidates = organisations[:large_count]
        number = len(planned)
        turns = _plan_turns(mix, rng, seed, number)
        has_child = len(turns) > 1 and rng.random() < mix.child_share
        planned.append(
            PlannedProgram(
                number=number,
                organisation=rng.choice(list(candidates)),
                model=rng.choice(list(models)),
                starts_ms=at_ms,
                turns=turns,
                child_after=1 if has_child else 0,
            )
        )


def _plan_turns(
    mix: ProgramMix, rng: random.Random, seed: int, number: int
) -> tuple[PlannedTurn, ...]:
    turn_range = mix.short_turns if rng.random() < mix.short_share else mix.long_turns
    turns = []
    for position in range(rng.randint(*turn_range)):
        word_range = mix.first_prompt_words if position == 0 else mix.prompt_words
        has_order = rng.random() < mix.order_share
        turns.append(
            PlannedTurn(
                prompt=_make_prompt(
                    rng, seed, number, position, rng.randint(*word_range)
                ),
                max_tokens=rng.randint(*mix.answer_tokens),
                pause_ms=rng.uniform(*mix.pause_ms) if position else 0.0,
                stream=rng.random() < 0.7,
                order=f"o-{seed}-{number}-{position}" if has_order else "",
            )
        )
    return tuple(turns)


def _make_prompt(
    rng: random.Random, seed: int, number: int, position: int, word_count: int
) -> str:
    body = " ".join(f"w{rng.randrange(10_000)}" for _ in range(word_count))
    return f"program {seed}-{number} turn {position}: {body}"
