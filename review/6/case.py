"""A long conversation whose earliest turn is older than its retention."""

import asyncio
import signal
import time

import attrs
from harness_2 import (
    API_KEY,
    HTTP_HOST,
    IS_TROUBLE,
    ZONES,
    Answer,
    Deployment,
    Engine,
    Received,
    run_case,
    send,
    token,
)

RETAIN_S = 18.0
LINES = 8
TURN_PERIOD_S = 5.0  # far below the retention, which begins anew with each turn
TALK_S = 80.0
CONTACT_S = 3.0
TRIES = 5
TRY_PERIOD_S = 0.4
FRESH_PER_S = 2.0

STATE = {
    "version": 7,
    "routes": [
        {
            "name": "franchisee-chat",
            "host": HTTP_HOST,
            "pathPrefix": "/chat/",
            "service": "asistente",
            "type": "stream",
            "serverHistory": True,
            "retainS": RETAIN_S,
            "timeoutMs": 3000,
            "sloMs": 250,
            "gapTargetMs": 150,
            "priority": 0,
            "attempts": 2,
            "sticky": True,
        }
    ],
    "services": [
        {"name": "asistente", "engineId": {"slots": 64, "chunkTokens": 14}},
    ],
    "limits": {},
    "tenants": [
        {"name": "hule930", "apiKeys": [API_KEY], "ratePerS": 200, "burst": 200}
    ],
}


def _event_data(request: Received) -> list[bytes]:
    return [f"{request.request_id} piece {number}".encode() for number in range(3)]


@attrs.define(eq=False)
class _Line:
    """A line of turns: its history, its last whole turn, and when that ended."""

    number: int
    program: str = attrs.Factory(token)
    session: str = attrs.Factory(token)
    previous: str = ""
    ended_s: float = 0.0
    turns: int = 0
    history: bytes = b""


@attrs.define
class _Talk:
    """What the requesters saw."""

    deployment: Deployment
    lines: list[_Line]
    wrong: list[str] = attrs.Factory(list)
    fresh_sent: int = 0
    fresh_served: int = 0
    is_over: bool = False

    async def turn(self, line: _Line, edge: int) -> Answer | None:
        """Send the next turn of a line; None if no channel could be opened."""
        deployment = self.deployment
        request_id = token()
        body = f"input {line.number}.{line.turns + 1} {request_id};".encode()
        headers = {
            "Request-Id": request_id,
            "Api-Key": API_KEY,
            "Deadline-Ms": "3000",
            "Program-Id": line.program,
            "Session-Id": line.session,
            "Program-Deadline-Ms": "200000",
            "Token-Budget": "100000",
            "Token-Usage": f"{300 + 60 * line.turns},56",
            "Prefix-Hash": f"{line.session}:300",
            "Model": "m",
        }
        if line.previous:
            headers["Previous-Turn"] = line.previous
        try:
            answer = await send(
                deployment.edges[edge].front, "POST", "/chat/4b", headers, body
            )
        except (OSError, TimeoutError):
            deployment.record.write(f"line {line.number}: no channel to edge {edge}")
            return None
        ran = [row for row in deployment.ran() if row.request_id == request_id]
        deployment.record.write(
            f"line {line.number} turn {line.turns + 1} {request_id} after "
            f"{line.previous or 'nothing'} at {deployment.edges[edge].name}: "
            f"{answer.status}, {'whole' if answer.is_whole else 'cut'}, "
            f"{'run by ' + ran[0].engine if ran else 'not run'}"
        )
        for row in ran:
            if row.body != line.history + body:
                self.wrong.append(f"line {line.number} turn {request_id}: wrong body")
        if answer.status == 200 and answer.is_whole:
            line.previous = request_id
            line.ended_s = time.monotonic()
            line.turns += 1
            output = b"".join(data + b"\n" for _, data in answer.events())
            line.history += body + output
        return answer

    async def talk(self, line: _Line, until_s: float) -> None:
        """Send turns until `until_s`, through another zone from one turn to the next.

        The last two go through the last edge.
        """
        edges = len(self.deployment.edges)
        due_s = time.monotonic() + TURN_PERIOD_S * line.number / LINES
        while due_s < until_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            is_last = due_s > until_s - 3 * TURN_PERIOD_S
            edge = edges - 1 if is_last else (line.number + line.turns) % edges
            await self.turn(line, edge)
            due_s += TURN_PERIOD_S

    async def start_fresh_lines(self) -> None:
        """Send first turns all the while, at one edge after another."""
        number = 0
        while not self.is_over:
            number += 1
            line = _Line(100 + number)
            edge = self.deployment.edges[number % len(self.deployment.edges)]
            if await edge.is_ready():
                self.fresh_sent += 1
                answer = await self.turn(line, number % len(self.deployment.edges))
                self.fresh_served += bool(answer and answer.status == 200)
            await asyncio.sleep(1 / FRESH_PER_S)


async def _restart_edges(talk: _Talk) -> None:
    """Stop and start the edges in turn, the next one once the last is ready again."""
    for edge in talk.deployment.edges:
        talk.deployment.record.write(f"SIGTERM to {edge.name}")
        await edge.restart(signal.SIGTERM)
        while not await edge.is_ready():
            await asyncio.sleep(0.1)
        talk.deployment.record.write(f"{edge.name} is ready again")


async def _keep_talking(talk: _Talk, line: _Line, restart: asyncio.Task) -> None:
    """Send turns through the edge that restarts last, while others restart."""
    last = talk.deployment.edges[-1]
    before_s = last.started_s
    while not restart.done() and last.started_s == before_s:
        if time.monotonic() - line.ended_s > TURN_PERIOD_S and await last.is_ready():
            await talk.turn(line, len(talk.deployment.edges) - 1)
        await asyncio.sleep(0.1)


async def _try_next(talk: _Talk, line: _Line) -> str:
    """Try the next turn of a line; return how the rule is broken, "" if it holds."""
    edges = len(talk.deployment.edges)
    statuses = []
    for number in range(TRIES):
        age_s = time.monotonic() - line.ended_s
        if age_s >= RETAIN_S:
            return ""
        answer = await talk.turn(line, (edges - 1 + number) % edges)
        if answer is not None and answer.status == 200:
            return ""
        statuses.append(answer.status if answer is not None else 0)
        if answer is not None and answer.status in (404, 410):
            return f"line {line.number}: {answer.status} after {age_s:.1f} s"
        await asyncio.sleep(TRY_PERIOD_S)
    return f"line {line.number}: {TRIES} tries were answered {statuses}"


async def play(deployment: Deployment) -> str:
    """Hold conversations, restart the edges in turn, and go on."""
    engines = [
        Engine(f"i-{token()}", "asistente", zone, deployment.next_ip(), _event_data)
        for zone in ZONES
    ]
    await deployment.start(STATE, engines)
    await asyncio.sleep(1.0)
    talk = _Talk(deployment, [_Line(number) for number in range(LINES)])
    fresh = asyncio.create_task(talk.start_fresh_lines())
    until_s = time.monotonic() + TALK_S
    await asyncio.gather(*(talk.talk(line, until_s) for line in talk.lines))
    young = [_Line(50 + number) for number in range(LINES)]
    await asyncio.gather(
        *(talk.turn(each, len(deployment.edges) - 1) for each in young)
    )
    if IS_TROUBLE:
        restart = asyncio.create_task(_restart_edges(talk))
        lines = (*talk.lines, *young)
        await asyncio.gather(
            *(_keep_talking(talk, line, restart) for line in lines), restart
        )
        await asyncio.sleep(CONTACT_S + 0.2)
    sent, served = talk.fresh_sent, talk.fresh_served
    results = await asyncio.gather(*(_try_next(talk, line) for line in talk.lines))
    young_results = await asyncio.gather(*(_try_next(talk, line) for line in young))
    talk.is_over = True
    await fresh
    lost = [each for each in results if each]
    lost_young = [each for each in young_results if each]
    sent, served = talk.fresh_sent - sent, talk.fresh_served - served
    deployment.record.write(
        f"{len(lost)} of {LINES} old lines and {len(lost_young)} of {LINES} young ones "
        f"could not be continued; {served} of {sent} first turns were served meanwhile"
    )
    for each in (*lost, *lost_young, *talk.wrong):
        deployment.record.write(each)
    if talk.wrong:
        return talk.wrong[0]
    if not lost and not lost_young:
        return ""
    if served < sent * 0.9:
        return ""
    first = (*lost, *lost_young)[0]
    return f"{len(lost)} of {LINES} lines reach no engine any more: {first}"


if __name__ == "__main__":
    run_case(__file__, play)
