"""A caller that follows one planned program through any host."""

import asyncio
import random
from collections.abc import Sequence

import aiohttp
import attrs
import orjson

from celerypulley.clock import Clock
from celerypulley.load.ledger import Ledger, Operation, Outcome
from celerypulley.load.workload import PlannedProgram, PlannedTurn
from celerypulley.stand_ins.engine import conversation_digest

__all__ = ["AttemptResult", "Balancer", "ProgramClient"]

_MAX_ATTEMPTS = 40
_RETRY_DELAY_S = (0.1, 0.4)
_ATTEMPT_TIMEOUT_S = 60.0
_MAX_RETRY_AFTER_S = 2.0


class Balancer:
    """Send each request to any host, as the platform's balancer does."""

    def __init__(
        self, addresses: Sequence[str], session: aiohttp.ClientSession, seed: int
    ) -> None:
        """Choose among `addresses` (ip:port)."""
        self.addresses = list(addresses)
        self.session = session
        self.random = random.Random(seed)

    def pick_url(self) -> str:
        """Return the base URL of a host."""
        return f"http://{self.random.choice(self.addresses)}"


@attrs.define
class AttemptResult:
    """One try's answer."""

    outcome: Outcome
    error: str = ""
    detail: str = ""
    text: str = ""
    body: bytes = b""
    receipt: str = ""
    retry_after_s: float = 0.0
    first_token_ms: float | None = None
    last_token_ms: float | None = None
    token_count: int = 0


class ProgramClient:
    """One program's caller: it keeps its own history and compares."""

    def __init__(
        self,
        plan: PlannedProgram,
        key: str,
        balancer: Balancer,
        ledger: Ledger,
        clock: Clock,
        order_path: str,
    ) -> None:
        """Follow `plan` with `key`."""
        self.plan = plan
        self.key = key
        self.balancer = balancer
        self.ledger = ledger
        self.clock = clock
        self.order_path = order_path
        self.program_id = ""
        self.receipt = ""
        self.messages: list[dict] = []
        self.spent_tokens = 0
        self.paused_ms = 0.0

    async def run(self) -> None:
        """Open the program, run its turns, close it."""
        begun_ms = self.clock.now_ms()
        finished = await self._run_to_close()
        if not finished:
            self.ledger.unfinished_programs += 1
            await self._close_unfinished()
            return
        self.ledger.finished_programs += 1
        took_ms = self.clock.now_ms() - begun_ms - self.paused_ms
        self.ledger.program_latencies_ms.setdefault(self.plan.organisation, []).append(
            took_ms
        )

    async def _run_to_close(self) -> bool:
        if not await self._open(parent="", budget_tokens=None):
            return False
        for number, turn in enumerate(self.plan.turns, start=1):
            self.paused_ms += turn.pause_ms
            await asyncio.sleep(turn.pause_ms / 1_000)
            if not await self._run_turn(number, turn):
                return False
            if turn.order and not await self._send_order(turn.order):
                return False
            if number == self.plan.child_after and not await self._run_child(turn):
                return False
        return await self._check_and_close()

    async def _open(self, parent: str, budget_tokens: int | None) -> bool:
        headers = {}
        if parent:
            headers["X-Celerypulley-Parent"] = parent
        if budget_tokens is not None:
            headers["X-Celerypulley-Budget-Tokens"] = str(budget_tokens)
        answer = await self._send_with_retries(
            "open", "", "POST", "/v1/programs", headers
        )
        if answer is None or answer.outcome is not Outcome.OK:
            return False
        self.program_id = orjson.loads(answer.body)["id"]
        return True

    async def _run_turn(self, number: int, turn: PlannedTurn) -> bool:
        asked = {"role": "user", "content": turn.prompt}
        body = {
            "model": self.plan.model,
            "messages": [asked],
            "max_tokens": turn.max_tokens,
            "stream": turn.stream,
        }
        headers = {
            "X-Celerypulley-Program": self.program_id,
            "X-Celerypulley-Turn": str(number),
        }
        if self.receipt:
            headers["X-Celerypulley-Receipt"] = self.receipt
        begun_ms = self.clock.now_ms()
        path = "/v1/chat/completions"
        answer = await self._send_with_retries(
            "turn", f"turn-{number}", "POST", path, headers, orjson.dumps(body)
        )
        if answer is None:
            return False
        self.ledger.acknowledged_turns += 1
        self.ledger.turn_latencies_ms.append(
            (self.plan.organisation, self.clock.now_ms() - begun_ms)
        )
        self._record_tokens(answer, begun_ms)
        self._check_history(number, asked, answer)
        self.messages.append(asked)
        self.messages.append({"role": "assistant", "content": answer.text})
        self.receipt = answer.receipt or self.receipt
        return True

    def _record_tokens(self, result: AttemptResult, begun_ms: float) -> None:
        self.spent_tokens += len(result.text.split(" w"))
        if result.first_token_ms is None or result.last_token_ms is None:
            return
        self.ledger.first_token_latencies_ms.append(result.first_token_ms - begun_ms)
        if result.token_count > 1:
            span_ms = result.last_token_ms - result.first_token_ms
            self.ledger.token_gaps_ms.append(span_ms / (result.token_count - 1))

    def _check_history(self, number: int, message: dict, result: AttemptResult) -> None:
        expected = conversation_digest([*self.messages, message])
        count = len(self.messages) + 1
        if not result.text.startswith(f"n={count} h={expected}"):
            self.ledger.add_violation(
                "history",
                f"{self.program_id} turn {number}: expected n={count} h={expected}, "
                f"got {result.text[:40]!r}",
            )

    async def _send_order(self, name: str) -> bool:
        headers = {
            "X-Celerypulley-Program": self.program_id,
            "Idempotency-Key": name,
            "Content-Type": "application/json",
        }
        body = orjson.dumps({"id": name})
        answer = await self._send_with_retries(
            "order", name, "POST", self.order_path, headers, body
        )
        return answer is not None

    async def _run_child(self, turn: PlannedTurn) -> bool:
        child = ProgramClient(
            attrs.evolve(self.plan, child_after=0),
            self.key,
            self.balancer,
            self.ledger,
            self.clock,
            self.order_path,
        )
        if not await child._open(self.program_id, budget_tokens=turn.max_tokens):
            return False
        single = attrs.evolve(turn, order="", stream=False)
        if not await child._run_turn(1, single):
            await child._close_unfinished()
            return False
        self.spent_tokens += turn.max_tokens
        return await child._check_and_close()

    async def _check_and_close(self) -> bool:
        path = f"/v1/programs/{self.program_id}"
        answer = await self._send_with_retries("close", "", "DELETE", path, {})
        if answer is None:
            return False
        report = orjson.loads(answer.body)
        spent = report["spent_tokens"] + report["reserved_tokens"]
        if spent > report["budget_tokens"]:
            self.ledger.add_violation(
                "budget", f"{self.program_id} spent {spent}: {report}"
            )
        if report["spent_tokens"] < self.spent_tokens:
            self.ledger.add_violation(
                "budget",
                f"{self.program_id} counts {report['spent_tokens']} tokens, "
                f"its caller got {self.spent_tokens}",
            )
        return True

    async def _close_unfinished(self) -> None:
        """Close a program that cannot go on, so that nothing is held for it."""
        if self.program_id:
            path = f"/v1/programs/{self.program_id}"
            await self._send_with_retries("close", "", "DELETE", path, {})

    async def _send_with_retries(
        self,
        kind: str,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> AttemptResult | None:
        """Send until there is a final answer; None where it never came."""
        for _ in range(_MAX_ATTEMPTS):
            begun_ms = self.clock.now_ms()
            answer = await self._send_once(method, path, headers, body)
            self.ledger.add(
                Operation(
                    kind=kind,
                    organisation=self.plan.organisation,
                    program=self.program_id,
                    name=name,
                    begun_ms=begun_ms,
                    ended_ms=self.clock.now_ms(),
                    outcome=answer.outcome.value,
                    error=answer.error,
                    detail=answer.detail[:200],
                )
            )
            if answer.outcome in (Outcome.OK, Outcome.REPLAYED):
                return answer
            if kind == "order" and answer.error == "outcome_unknown":
                return answer
            if kind == "open" and answer.outcome is Outcome.UNKNOWN:
                return None
            if answer.error == "budget_exhausted":
                return None
            if answer.error in ("history_lost", "unknown_program", "turn_out_of_order"):
                self.ledger.add_violation(
                    "history", f"{self.program_id}: {answer.detail}"
                )
                return None
            pause_s = self.balancer.random.uniform(*_RETRY_DELAY_S)
            await asyncio.sleep(max(pause_s, min(answer.retry_after_s, 1.0)))
        return None

    async def _send_once(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> AttemptResult:
        named = {**headers, "Authorization": f"Bearer {self.key}"}
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S, sock_connect=1.0)
        try:
            async with self.balancer.session.request(
                method,
                self.balancer.pick_url() + path,
                data=body,
                headers=named,
                timeout=timeout,
            ) as response:
                return await self._read_response(response)
        except aiohttp.ClientConnectorError as error:
            return AttemptResult(Outcome.NOT_RUN, "no_connection", repr(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return AttemptResult(Outcome.UNKNOWN, "connection_broke", repr(error))

    async def _read_response(self, response: aiohttp.ClientResponse) -> AttemptResult:
        if response.status >= 400 and "X-Celerypulley-Error" in response.headers:
            return await _read_error(response)
        if response.headers.get("Content-Type", "").startswith("text/event-stream"):
            return await self._read_stream(response)
        raw = await response.read()
        replayed = "X-Celerypulley-Replayed" in response.headers
        answer = AttemptResult(
            Outcome.REPLAYED if replayed else Outcome.OK,
            body=raw,
            receipt=response.headers.get("X-Celerypulley-Receipt", ""),
        )
        if raw.startswith(b'{"id"') and b'"choices"' in raw:
            choice = orjson.loads(raw)["choices"][0]
            answer.text = choice["message"]["content"]
        return answer

    async def _read_stream(self, response: aiohttp.ClientResponse) -> AttemptResult:
        replayed = "X-Celerypulley-Replayed" in response.headers
        answer = AttemptResult(Outcome.REPLAYED if replayed else Outcome.OK)
        done = False
        parts = []
        async for line in response.content:
            if line.startswith(b": receipt "):
                answer.receipt = line[10:].strip().decode()
            if not line.startswith(b"data: "):
                continue
            payload = line[6:].strip()
            if payload == b"[DONE]":
                done = True
                continue
            event = orjson.loads(payload)
            if "error" in event:
                return AttemptResult(
                    Outcome.UNKNOWN, event["error"]["type"], event["error"]["message"]
                )
            for choice in event["choices"]:
                content = choice["delta"].get("content")
                if not content:
                    continue
                parts.append(content)
                answer.token_count += 1
                answer.last_token_ms = self.clock.now_ms()
                if answer.first_token_ms is None:
                    answer.first_token_ms = answer.last_token_ms
        if not done:
            return AttemptResult(Outcome.UNKNOWN, "stream_broke", "no [DONE] came")
        answer.text = "".join(parts)
        return answer


async def _read_error(response: aiohttp.ClientResponse) -> AttemptResult:
    error = orjson.loads(await response.read())["error"]
    run = response.headers.get("X-Celerypulley-Run")
    outcome = Outcome.NOT_RUN if run == "not-run" else Outcome.UNKNOWN
    retry_after_s = float(response.headers.get("Retry-After", "0"))
    return AttemptResult(
        outcome, error["type"], error["message"], retry_after_s=retry_after_s
    )
