"""A client that runs one planned program and checks the responses.

Every request goes to an arbitrary host; failed requests are sent again.
"""

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
    """Choose an arbitrary host for each request, as a load balancer does."""

    def __init__(
        self, addresses: Sequence[str], session: aiohttp.ClientSession, seed: int
    ) -> None:
        """Choose among `addresses` (ip:port) with a generator seeded by `seed`."""
        self.addresses = list(addresses)
        self.session = session
        self.random = random.Random(seed)

    def pick_url(self) -> str:
        """Return the base URL of a randomly chosen host."""
        return f"http://{self.random.choice(self.addresses)}"


@attrs.define
class AttemptResult:
    """The result of one attempt: its outcome, and the response where there is one."""

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
    """The client of one program; it checks responses against its own history."""

    def __init__(
        self,
        plan: PlannedProgram,
        key: str,
        balancer: Balancer,
        ledger: Ledger,
        clock: Clock,
        order_path: str,
    ) -> None:
        """Run `plan`, authorised by `key`; orders are sent to `order_path`."""
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
        """Open the program, run its turns and close it; record it in the ledger."""
        begun_ms = self.clock.now_ms()
        has_finished = await self._run_to_close()
        if not has_finished:
            self.ledger.unfinished_programs += 1
            await self._close_unfinished()
            return
        self.ledger.finished_programs += 1
        latency_ms = self.clock.now_ms() - begun_ms - self.paused_ms
        self.ledger.program_latencies_ms.setdefault(self.plan.organisation, []).append(
            latency_ms
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
        result = await self._send_with_retries(
            "open", "", "POST", "/v1/programs", headers
        )
        if result is None or result.outcome is not Outcome.OK:
            return False
        self.program_id = orjson.loads(result.body)["id"]
        return True

    async def _run_turn(self, number: int, turn: PlannedTurn) -> bool:
        message = {"role": "user", "content": turn.prompt}
        body = {
            "model": self.plan.model,
            "messages": [message],
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
        result = await self._send_with_retries(
            "turn", f"turn-{number}", "POST", path, headers, orjson.dumps(body)
        )
        if result is None:
            return False
        self.ledger.acknowledged_turns += 1
        self.ledger.turn_latencies_ms.append(
            (self.plan.organisation, self.clock.now_ms() - begun_ms)
        )
        self._record_tokens(result, begun_ms)
        self._check_history(number, message, result)
        self.messages.append(message)
        self.messages.append({"role": "assistant", "content": result.text})
        self.receipt = result.receipt or self.receipt
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
        result = await self._send_with_retries(
            "order", name, "POST", self.order_path, headers, body
        )
        return result is not None

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
        child_turn = attrs.evolve(turn, order="", stream=False)
        if not await child._run_turn(1, child_turn):
            await child._close_unfinished()
            return False
        self.spent_tokens += turn.max_tokens
        return await child._check_and_close()

    async def _check_and_close(self) -> bool:
        path = f"/v1/programs/{self.program_id}"
        result = await self._send_with_retries("close", "", "DELETE", path, {})
        if result is None:
            return False
        report = orjson.loads(result.body)
        committed_tokens = report["spent_tokens"] + report["reserved_tokens"]
        if committed_tokens > report["budget_tokens"]:
            self.ledger.add_violation(
                "budget", f"{self.program_id} spent {committed_tokens}: {report}"
            )
        if report["spent_tokens"] < self.spent_tokens:
            self.ledger.add_violation(
                "budget",
                f"{self.program_id} counts {report['spent_tokens']} spent tokens, "
                f"its client received {self.spent_tokens}",
            )
        return True

    async def _close_unfinished(self) -> None:
        """Close a program that cannot continue, so that its resources are released."""
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
        """Send until there is a final result; return None if there is none.

        An open request with unknown outcome is not sent again, since it could open a
        second program.
        """
        for _ in range(_MAX_ATTEMPTS):
            begun_ms = self.clock.now_ms()
            result = await self._send_once(method, path, headers, body)
            self.ledger.add(
                Operation(
                    kind=kind,
                    organisation=self.plan.organisation,
                    program=self.program_id,
                    name=name,
                    begun_ms=begun_ms,
                    ended_ms=self.clock.now_ms(),
                    outcome=result.outcome.value,
                    error=result.error,
                    detail=result.detail[:200],
                )
            )
            if result.outcome in (Outcome.OK, Outcome.REPLAYED):
                return result
            if kind == "order" and result.error == "outcome_unknown":
                return result
            if kind == "open" and result.outcome is Outcome.UNKNOWN:
                return None
            if result.error == "budget_exhausted":
                return None
            if result.error in ("history_lost", "unknown_program", "turn_out_of_order"):
                self.ledger.add_violation(
                    "history", f"{self.program_id}: {result.detail}"
                )
                return None
            delay_s = self.balancer.random.uniform(*_RETRY_DELAY_S)
            await asyncio.sleep(max(delay_s, min(result.retry_after_s, 1.0)))
        return None

    async def _send_once(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> AttemptResult:
        all_headers = {**headers, "Authorization": f"Bearer {self.key}"}
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S, sock_connect=1.0)
        try:
            async with self.balancer.session.request(
                method,
                self.balancer.pick_url() + path,
                data=body,
                headers=all_headers,
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
        raw_body = await response.read()
        replayed = "X-Celerypulley-Replayed" in response.headers
        result = AttemptResult(
            Outcome.REPLAYED if replayed else Outcome.OK,
            body=raw_body,
            receipt=response.headers.get("X-Celerypulley-Receipt", ""),
        )
        if raw_body.startswith(b'{"id"') and b'"choices"' in raw_body:
            choice = orjson.loads(raw_body)["choices"][0]
            result.text = choice["message"]["content"]
        return result

    async def _read_stream(self, response: aiohttp.ClientResponse) -> AttemptResult:
        replayed = "X-Celerypulley-Replayed" in response.headers
        result = AttemptResult(Outcome.REPLAYED if replayed else Outcome.OK)
        is_done = False
        parts = []
        async for line in response.content:
            if line.startswith(b": receipt "):
                result.receipt = line[10:].strip().decode()
            if not line.startswith(b"data: "):
                continue
            payload = line[6:].strip()
            if payload == b"[DONE]":
                is_done = True
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
                result.token_count += 1
                result.last_token_ms = self.clock.now_ms()
                if result.first_token_ms is None:
                    result.first_token_ms = result.last_token_ms
        if not is_done:
            return AttemptResult(
                Outcome.UNKNOWN, "stream_broke", "stream ended without [DONE]"
            )
        result.text = "".join(parts)
        return result


async def _read_error(response: aiohttp.ClientResponse) -> AttemptResult:
    error = orjson.loads(await response.read())["error"]
    run = response.headers.get("X-Celerypulley-Run")
    outcome = Outcome.NOT_RUN if run == "not-run" else Outcome.UNKNOWN
    retry_after_s = float(response.headers.get("Retry-After", "0"))
    return AttemptResult(
        outcome, error["type"], error["message"], retry_after_s=retry_after_s
    )
