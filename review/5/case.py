"""Turns with a common text are refused for good after three engines have failed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from harness import (  # noqa: E402
    ZONES,
    CouldNotRunError,
    Deployment,
    is_trouble,
    run_case,
)

_EDGES_PER_ZONE = 2
_ENGINES = 8  # as in the site file: one of them is a share of 0.125
_EVENT_GAP_S = 0.04  # a turn takes about 160 ms, as on the sheet
_PROGRAMS = 16
_PAUSE_S = 0.1
_STAGGER_S = 0.07
_COMMON_TEXT = b"yes\n"
_FAILURES = 3
_BETWEEN_FAILURES_S = 6.0
_CALM_S = 8.0  # more than the engine's down time and contactMs after that
_TRIES = 5
_CONTINUED = 10


async def play(deployment: Deployment) -> str:
    """Return how the rule LOST was broken, or an empty text."""
    deployment.event_gap_s = _EVENT_GAP_S
    deployment.extra_engines = [
        (f"more-{n}", ZONES[n % len(ZONES)], "engines")
        for n in range(_ENGINES - len(ZONES))
    ]
    edges = await deployment.start_all(_EDGES_PER_ZONE)
    is_over = asyncio.Event()

    async def converse(number: int) -> None:
        """Take turns: a text of its own first, then the common text, and again."""
        edge = edges[number % len(edges)]
        turn, count = "", 0
        await asyncio.sleep(number * _STAGGER_S)
        while not is_over.is_set():
            count += 1
            own_text = f"program {number}, turn {count}\n".encode()
            body = _COMMON_TEXT if turn else own_text
            answer = await take_turn(deployment, edge, f"p{number}", body, turn)
            turn = answer.request_id if answer.is_whole and not turn else ""
            await asyncio.sleep(_PAUSE_S)

    programs = [asyncio.create_task(converse(n)) for n in range(_PROGRAMS)]
    await asyncio.sleep(4)
    for _ in range(_FAILURES):
        if is_trouble():
            await deployment.crash_an_engine(_COMMON_TEXT)
        await asyncio.sleep(_BETWEEN_FAILURES_S)
    is_over.set()
    await asyncio.gather(*programs)
    await asyncio.sleep(_CALM_S)
    # All engines are back and idle, and nothing has failed for contactMs.
    firsts, refused, other = 0, [], []
    for number in range(_CONTINUED):
        edge = edges[number % len(edges)]
        text = f"later program {number}\n".encode()
        program = f"later-{number}"
        first = await take_turn(deployment, edge, program, text)
        firsts += first.is_whole
        if not first.is_whole:
            continue
        statuses = []
        for attempt in range(_TRIES):
            edge = edges[(number + attempt) % len(edges)]
            answer = await take_turn(
                deployment, edge, program, _COMMON_TEXT, first.request_id
            )
            statuses.append(answer.status)
            if answer.is_whole:
                break
        else:
            refused.append((first.request_id, statuses))
        answer = await take_turn(
            deployment, edge, program, b"an own text\n", first.request_id
        )
        other.append(answer.is_whole)
    deployment.note(
        "after the calm",
        first_turns_served=firsts,
        kept_turns_without_engine=refused,
        same_turns_with_another_text_served=sum(other),
    )
    if firsts < 0.9 * _CONTINUED:
        raise CouldNotRunError("first turns aren't served either")
    if refused:
        return (
            f"LOST: {len(refused)} of {firsts} kept turns can't be continued with "
            f"{_COMMON_TEXT!r} in {_TRIES} tries; with another text, {sum(other)} can"
        )
    return ""


async def take_turn(
    deployment: Deployment, edge: str, program: str, body: bytes, previous: str = ""
):
    """Send one turn and return its answer."""
    return await deployment.turn(edge, program, body.decode(), previous)


if __name__ == "__main__":
    run_case(FOLDER, play)
