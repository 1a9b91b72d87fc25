"""Slots of engines for turns, assigned by one host for each failure domain.

That host follows from the domain's name and its reachable hosts, by rendezvous hashing.
Two hosts that both assign slots for a while fill the engines' own queues, which does no
other harm. A host that gets no reply chooses an engine itself.
"""

import asyncio
import math
from collections.abc import Callable

import attrs
from mode import Service

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import EngineCall
from celerypulley.clock import NEVER_MS, Clock
from celerypulley.contracts.desired_state import DesiredState
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.retry_budget import RetryBudget
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.programs.opaque_request import PrefixPart
from celerypulley.turn_scheduling.engine_slots import Assignment
from celerypulley.turn_scheduling.turn_dispatcher import (
    SlotOutcome,
    TurnDispatcher,
    TurnRefusal,
)
from celerypulley.turn_scheduling.turn_order import Turn

__all__ = ["TurnScheduler", "TurnSlot"]

_ASSIGN = "assign turn"
_RELEASE = "release turn"
_ASSIGNED = "assigned"
_REFUSED = "refused"
_FULL = "full"
_NO_ENGINE = "no engine"
# Without a reply by then the turn goes to an engine of this host's choice. A round trip
# between failure domains takes 2 ms, a lost datagram is sent again after 40 ms.
_REPLY_TIMEOUT_S = 0.09
_SILENT_BACKOFF_MS = 1_000.0  # the host that does not reply is asked again after this
_FULL_FOR_MS = 100.0  # a domain without a free slot is not asked for one meanwhile
_MAX_PARTS = 48  # a request stays below the size of one packet
_UPDATE_PERIOD_MS = 25.0
_IDLE_WAIT_S = 1.0
_log = DecisionLog("turns")


@attrs.define(eq=False)
class TurnSlot:
    """A slot on `server` for one attempt; `end` is called once, when it has ended."""

    server: EngineState
    end: Callable[[SlotOutcome], None]
    reason: str


@attrs.frozen
class _Answer:
    """The answer to a request for a slot: a kind, and what belongs to it."""

    kind: str
    server: str = ""
    detail: str = ""
    retry_after_s: float = 0.0


class TurnScheduler(Service):
    """Ask for slots, and assign those of this host's domain if it is its turn to.

    `unanswered` counts requests for a slot without a reply, `spilled` slots in other
    failure domains.
    """

    def __init__(
        self,
        domain: str,
        directory: ServerDirectory,
        datagrams: FleetDatagrams,
        gossip: FleetGossip,
        read_state: Callable[[], DesiredState | None],
        clock: Clock,
    ) -> None:
        """Handle the requests of other hosts for slots of `domain`."""
        super().__init__()
        self.domain = domain
        self.directory = directory
        self.datagrams = datagrams
        self.gossip = gossip
        self.read_state = read_state
        self.clock = clock
        self.retry_budget = RetryBudget(clock)
        self.unanswered = 0
        self.spilled = 0
        self._last_number = 0
        self._dispatchers: dict[str, TurnDispatcher] = {}
        self._updated_ms: dict[str, float] = {}
        self._decided: dict[tuple[str, int], asyncio.Future] = {}
        self._silent_until_ms: dict[str, float] = {}
        self._full_until_ms: dict[tuple[str, str], float] = {}
        self._has_changed = asyncio.Event()
        datagrams.handlers[_ASSIGN] = self._handle_assign
        datagrams.handlers[_RELEASE] = self._handle_release

    def waiting_count(self) -> int:
        """Return the turns that wait at this host for a slot."""
        return sum(len(each.waiting) for each in self._dispatchers.values())

    def refused_count(self) -> int:
        """Return the turns to which this host refused a slot."""
        return sum(each.refused_count for each in self._dispatchers.values())

    def expired_count(self) -> int:
        """Return the slots that this host freed without a release."""
        return sum(each.expired_count for each in self._dispatchers.values())

    async def acquire(
        self, admitted: AdmittedRequest, call: EngineCall, excluded: frozenset[str]
    ) -> TurnSlot | None:
        """Return a slot for a turn, None if this host has to choose an engine itself.

        Raise CallRefusedError if the turn does not fit. A further attempt of a turn
        needs a part of the retry budget.
        """
        if excluded and not self.retry_budget.try_acquire():
            raise CallRefusedError.of(
                ErrorKind.OVERLOADED, "no further attempt: the retry budget is spent"
            )
        if not excluded:
            self.retry_budget.record_request()
        self._last_number += 1
        request = _encode(self._last_number, admitted, call, excluded)
        full_domain = ""
        for domain in self._domains_to_ask():
            if self._is_full(domain, call.model) and domain != self.domain:
                continue
            answer = await self._ask(domain, request, may_wait=False)
            if answer is None:
                continue
            if answer.kind == _FULL:
                full_domain = full_domain or domain
                continue
            slot = self._slot(answer, domain, request)
            if slot is not None:
                return slot
        if not full_domain:
            return None
        answer = await self._ask(full_domain, request, may_wait=True)
        return self._slot(answer, full_domain, request) if answer else None

    def _domains_to_ask(self) -> list[str]:
        """Return this host's domain, then the others, in another order each time."""
        others = sorted(set(self.gossip.domains.values()) - {self.domain})
        turn = self._last_number % len(others) if others else 0
        return [self.domain, *others[turn:], *others[:turn]]

    def _is_full(self, domain: str, service: str) -> bool:
        until_ms = self._full_until_ms.get((domain, service), NEVER_MS)
        return self.clock.now_ms() < until_ms

    def _slot(self, answer: _Answer, domain: str, request: list) -> TurnSlot | None:
        """Return the slot of an answer, None if it has none that can be used."""
        if answer.kind == _REFUSED:
            raise CallRefusedError(
                Refusal(
                    ErrorKind.OVERLOADED,
                    f"{domain}: {answer.detail}",
                    retry_after_s=answer.retry_after_s,
                )
            )
        if answer.kind != _ASSIGNED:
            return None
        host = self._assigning_host(domain)
        number, service = request[0], request[1]
        server = self.directory.servers.get(answer.server)
        if (
            server is None
            or server not in self.directory.of_service(service)
            or self.directory.is_cold(server)
        ):
            self._send_release(host, number, SlotOutcome.NOT_RUN)
            return None
        if domain != self.domain:
            self.spilled += 1

        def end(outcome: SlotOutcome) -> None:
            self._send_release(host, number, outcome)

        return TurnSlot(server, end, f"a slot assigned by {host}")

    def _assigning_host(self, domain: str) -> str | None:
        """Return the host that assigns the slots of a domain."""
        hosts = [
            host
            for host, host_domain in self.gossip.domains.items()
            if host_domain == domain and self.gossip.is_reachable(host)
        ]
        return rendezvous(f"turns of {domain}", hosts)

    async def _ask(self, domain: str, request: list, may_wait: bool) -> _Answer | None:
        """Return the answer of the host that assigns slots, None without a reply."""
        host = self._assigning_host(domain)
        if host is None:
            return None
        if host == self.datagrams.host:
            answer = await self._assign(self._own_name(), request, may_wait)
            return self._record_answer(domain, request, answer)
        now_ms = self.clock.now_ms()
        if now_ms < self._silent_until_ms.get(host, NEVER_MS):
            return None
        payload = [self.datagrams.instance_id, may_wait, *request]
        timeout_s = None if may_wait else _REPLY_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.datagrams.request(host, _ASSIGN, payload)
        except asyncio.CancelledError:
            self._send_release(host, request[0], SlotOutcome.NOT_RUN)
            raise
        except (NoReplyError, TimeoutError) as error:
            self.unanswered += 1
            self._silent_until_ms[host] = self.clock.now_ms() + _SILENT_BACKOFF_MS
            self._send_release(host, request[0], SlotOutcome.NOT_RUN)
            _log.write("no slot assigned", f"no reply: {error!r}", peer=host)
            return None
        return self._record_answer(domain, request, _Answer(*reply))

    def _record_answer(self, domain: str, request: list, answer: _Answer) -> _Answer:
        if answer.kind in (_FULL, _NO_ENGINE):
            until_ms = self.clock.now_ms() + _FULL_FOR_MS
            self._full_until_ms[domain, request[1]] = until_ms
        return answer

    def _own_name(self) -> str:
        return f"{self.datagrams.host}/{self.datagrams.instance_id}"

    def _send_release(
        self, host: str | None, number: int, outcome: SlotOutcome
    ) -> None:
        if host is None:
            return
        if host == self.datagrams.host:
            self._release((self._own_name(), number), outcome)
            return
        payload = [self.datagrams.instance_id, number, outcome.value]
        self.datagrams.send(host, _RELEASE, payload)

    async def _handle_assign(self, sender: str, payload: list) -> list:
        instance_id, may_wait, *request = payload
        answer = await self._assign(f"{sender}/{instance_id}", request, may_wait)
        return list(attrs.astuple(answer))

    def _handle_release(self, sender: str, payload: list) -> None:
        instance_id, number, outcome = payload
        self._release((f"{sender}/{instance_id}", number), SlotOutcome(outcome))

    def _release(self, identity: tuple[str, int], outcome: SlotOutcome) -> None:
        now_ms = self.clock.now_ms()
        for dispatcher in self._dispatchers.values():
            dispatcher.withdraw(identity)
            dispatcher.release(identity, now_ms, outcome)
        decided = self._decided.pop(identity, None)
        if decided is not None:
            decided.cancel()
        self._has_changed.set()

    async def _assign(self, name: str, request: list, may_wait: bool) -> _Answer:
        """Assign a slot to a turn, after a wait if it may wait."""
        now_ms = self.clock.now_ms()
        dispatcher = self._dispatcher(request[1], now_ms)
        if not dispatcher.slots.total:
            return _Answer(_NO_ENGINE)
        turn = _decode(name, request, now_ms, dispatcher.knows_program)
        assignment = dispatcher.try_assign(turn, now_ms)
        if assignment is not None:
            return _Answer(_ASSIGNED, assignment.server)
        if not may_wait:
            return _Answer(_FULL)
        refusal = dispatcher.submit(turn, now_ms)
        if refusal is not None:
            return _answer(refusal)
        decided = asyncio.get_running_loop().create_future()
        self._decided[turn.identity] = decided
        self._has_changed.set()
        try:
            return await decided
        except asyncio.CancelledError:
            dispatcher.withdraw(turn.identity)
            if decided.cancelled():
                return _Answer(_NO_ENGINE)
            raise
        finally:
            self._decided.pop(turn.identity, None)

    def _dispatcher(self, service: str, now_ms: float) -> TurnDispatcher:
        """Return the dispatcher of a service, with its engines brought up to date."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = self._dispatchers[service] = TurnDispatcher(self.domain)
        if now_ms - self._updated_ms.get(service, NEVER_MS) >= _UPDATE_PERIOD_MS:
            self._updated_ms[service] = now_ms
            state = self.read_state()
            rule = state.services.get(service) if state is not None else None
            servers = [
                each
                for each in self.directory.of_service(service)
                if each.domain == self.domain and not self.directory.is_cold(each)
            ]
            dispatcher.update_engines(servers, rule.memory_tokens if rule else 0)
        return dispatcher

    @Service.task
    async def _decide_waiting(self) -> None:
        while not self.should_stop:
            due_ms = min(
                (each.next_due_ms() for each in self._dispatchers.values()),
                default=math.inf,
            )
            wait_s = min(_IDLE_WAIT_S, max(0.0, due_ms - self.clock.now_ms()) / 1000)
            try:
                async with asyncio.timeout(wait_s):
                    await self._has_changed.wait()
            except TimeoutError:
                pass
            self._has_changed.clear()
            self._decide_all()

    def _decide_all(self) -> None:
        now_ms = self.clock.now_ms()
        for service in list(self._dispatchers):
            dispatcher = self._dispatcher(service, now_ms)
            if not dispatcher.waiting:
                continue
            for decision in dispatcher.decide(now_ms):
                decided = self._decided.get(decision.turn.identity)
                if decided is not None and not decided.done():
                    decided.set_result(_answer(decision.outcome))


def _answer(outcome: Assignment | TurnRefusal) -> _Answer:
    if isinstance(outcome, TurnRefusal):
        return _Answer(_REFUSED, "", outcome.detail, outcome.retry_after_s)
    return _Answer(_ASSIGNED, outcome.server)


def _encode(
    number: int, admitted: AdmittedRequest, call: EngineCall, excluded: frozenset[str]
) -> list:
    request = admitted.request
    priority = admitted.route.priority
    organisation = admitted.organisation
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    target_ms = None
    if request.program_deadline_ms:
        target_ms = round(request.program_deadline_ms - call.now_ms)
    return [
        number,
        call.model,
        admitted.organisation_name,
        request.program,
        bool(request.previous_turn),
        priority,
        call.prompt_tokens,
        call.expected_tokens,
        [[part.name, part.tokens] for part in call.prefix_parts[:_MAX_PARTS]],
        round(admitted.deadline_ms - call.now_ms),
        target_ms,
        sorted(excluded),
    ]


def _decode(
    name: str, request: list, now_ms: float, knows_program: Callable[[str], bool]
) -> Turn:
    (
        number,
        service,
        organisation,
        program,
        continues_turn,
        priority,
        prompt_tokens,
        expected_tokens,
        parts,
        remaining_ms,
        target_ms,
        excluded,
    ) = request
    return Turn(
        identity=(name, number),
        service=service,
        organisation=organisation,
        program=program,
        is_first=not continues_turn and not knows_program(program),
        priority=priority,
        prompt_tokens=prompt_tokens,
        expected_tokens=expected_tokens,
        prefix_parts=tuple(PrefixPart(*part) for part in parts),
        submitted_ms=now_ms,
        deadline_ms=now_ms + remaining_ms,
        target_ms=math.inf if target_ms is None else now_ms + target_ms,
        excluded_servers=frozenset(excluded),
    )
