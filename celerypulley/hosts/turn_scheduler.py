"""Slots of engines for turns, assigned by one host for each failure domain.

That host follows from the domain's name and its reachable hosts, by rendezvous hashing.
Two hosts that both assign slots for a while fill the engines' own queues, which does no
other harm. A host that gets no reply chooses an engine itself.
"""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress

import attrs
from attrs.validators import instance_of
from mode import Service

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.backend_servers.routing import EngineCall
from celerypulley.clock import NEVER_MS, Clock
from celerypulley.contracts.desired_state import ServiceRule
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.hosts.admission import AdmittedRequest
from celerypulley.hosts.retry_budget import RetryBudget
from celerypulley.hosts.server_directory import ServerDirectory
from celerypulley.turn_scheduling.engine_slots import Assignment
from celerypulley.turn_scheduling.slot_request import SlotRequest
from celerypulley.turn_scheduling.turn_dispatcher import (
    SlotOutcome,
    TurnDispatcher,
    TurnRefusal,
)

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
_UPDATE_PERIOD_MS = 25.0
_IDLE_WAIT_S = 1.0
_MAX_LOGGED_CHARS = 200
_MAX_WAITING = 1_000  # turns that wait at one host, several seconds of work
# A host that wakes from a freeze may read a release before the request that it ends.
_RELEASED_FOR_MS = 2_000.0
_MAX_RELEASED = 10_000
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

    kind: str = attrs.field(validator=instance_of(str))
    server: str = attrs.field(default="", validator=instance_of(str))
    detail: str = attrs.field(default="", validator=instance_of(str))
    retry_after_s: float = attrs.field(default=0.0, validator=instance_of((int, float)))


class TurnScheduler(Service):
    """Ask for slots, and assign those of this host's domain where it is responsible.

    `unanswered` counts requests for a slot without a reply, `spilled` slots in other
    failure domains.
    """

    def __init__(
        self,
        domain: str,
        directory: ServerDirectory,
        datagrams: FleetDatagrams,
        gossip: FleetGossip,
        read_rule: Callable[[str], ServiceRule | None],
        clock: Clock,
    ) -> None:
        """Handle the requests of other hosts for slots of `domain`.

        `read_rule(service)` returns the rule of a service in the desired state.
        """
        super().__init__()
        self.domain = domain
        self.directory = directory
        self.datagrams = datagrams
        self.gossip = gossip
        self.read_rule = read_rule
        self.clock = clock
        self.retry_budget = RetryBudget(clock)
        self.unanswered = 0
        self.spilled = 0
        self._last_number = 0
        self._dispatchers: dict[str, TurnDispatcher] = {}
        self._updated_ms: dict[str, float] = {}
        self._decided: dict[tuple[str, int], asyncio.Future] = {}
        self._released_ms: OrderedDict[tuple[str, int], float] = OrderedDict()
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
        self,
        admitted: AdmittedRequest,
        call: EngineCall,
        excluded: frozenset[str],
        was_shed: bool,
    ) -> TurnSlot | None:
        """Return a slot for a turn, None if this host has to choose an engine itself.

        Raise CallRefusedError if the turn does not fit. A turn that `was_shed` by a
        full engine needs a part of the retry budget.
        """
        if was_shed and not self.retry_budget.try_acquire():
            raise CallRefusedError.of(
                ErrorKind.OVERLOADED, "no further attempt: the retry budget is spent"
            )
        if not excluded:
            self.retry_budget.record_request()
        self._last_number += 1
        try:
            request = _make_request(self._last_number, admitted, call, excluded)
        except ValueError as error:
            _log.write("no slot requested", str(error)[:_MAX_LOGGED_CHARS])
            return None
        full_domain = ""
        for domain in self._domains_to_ask():
            if domain != self.domain and self._is_full(domain, call.model):
                continue
            slot, kind = await self._try_domain(domain, request, may_wait=False)
            if slot is not None:
                return slot
            if kind == _FULL:
                full_domain = full_domain or domain
            elif not kind and domain == self.domain:
                return None
        if not full_domain:
            return None
        slot, _ = await self._try_domain(full_domain, request, may_wait=True)
        return slot

    def _domains_to_ask(self) -> list[str]:
        """Return this host's domain, then the others, in another order each time."""
        others = sorted(set(self.gossip.domains.values()) - {self.domain})
        turn = self._last_number % len(others) if others else 0
        return [self.domain, *others[turn:], *others[:turn]]

    def _is_full(self, domain: str, service: str) -> bool:
        until_ms = self._full_until_ms.get((domain, service), NEVER_MS)
        return self.clock.now_ms() < until_ms

    async def _try_domain(
        self, domain: str, request: SlotRequest, may_wait: bool
    ) -> tuple[TurnSlot | None, str]:
        """Return a slot in a domain if there is one, and the kind of the answer.

        The kind is empty if no host answered. Raise CallRefusedError for a refusal.
        """
        host = self._assigning_host(domain)
        answer = await self._ask(host, request, may_wait) if host else None
        if answer is None:
            return None, ""
        if answer.kind in (_FULL, _NO_ENGINE):
            until_ms = self.clock.now_ms() + _FULL_FOR_MS
            self._full_until_ms[domain, request.service] = until_ms
        if answer.kind == _REFUSED:
            raise CallRefusedError(
                Refusal(
                    ErrorKind.OVERLOADED,
                    f"{domain}: {answer.detail}",
                    retry_after_s=answer.retry_after_s,
                )
            )
        if answer.kind != _ASSIGNED:
            return None, answer.kind
        return self._slot(answer.server, host, domain, request), answer.kind

    def _slot(
        self, name: str, host: str, domain: str, request: SlotRequest
    ) -> TurnSlot | None:
        """Return the slot that `host` assigned, None if its server can't be used."""
        server = self.directory.servers.get(name)
        if (
            server is None
            or server not in self.directory.of_service(request.service)
            or self.directory.is_cold(server)
        ):
            self._send_release(host, request.number, SlotOutcome.UNKNOWN)
            return None
        if domain != self.domain:
            self.spilled += 1

        def end(outcome: SlotOutcome) -> None:
            self._send_release(host, request.number, outcome)

        return TurnSlot(server, end, f"a slot assigned by {host}")

    def _assigning_host(self, domain: str) -> str | None:
        """Return the host that assigns the slots of a domain."""
        hosts = [
            host
            for host, host_domain in self.gossip.domains.items()
            if host_domain == domain and self.gossip.is_reachable(host)
        ]
        return rendezvous(f"turns of {domain}", hosts)

    async def _ask(
        self, host: str, request: SlotRequest, may_wait: bool
    ) -> _Answer | None:
        """Return the answer of a host that assigns slots, None without a valid one.

        A turn whose caller leaves meanwhile gives back what it may have been assigned.
        """
        if self.clock.now_ms() < self._silent_until_ms.get(host, NEVER_MS):
            return None
        try:
            if host == self.datagrams.host:
                return await self._assign(self._own_name(), request, may_wait)
            payload = [self.datagrams.instance_id, may_wait, *request.pack()]
            async with asyncio.timeout(None if may_wait else _REPLY_TIMEOUT_S):
                return _Answer(*await self.datagrams.request(host, _ASSIGN, payload))
        except asyncio.CancelledError:
            self._send_release(host, request.number, SlotOutcome.UNKNOWN)
            raise
        except (NoReplyError, TimeoutError, TypeError) as error:
            self.unanswered += 1
            self._silent_until_ms[host] = self.clock.now_ms() + _SILENT_BACKOFF_MS
            self._send_release(host, request.number, SlotOutcome.UNKNOWN)
            _log.write("no slot assigned", f"no reply: {error!r}", peer=host)
            return None

    def _own_name(self) -> str:
        return f"{self.datagrams.host}/{self.datagrams.instance_id}"

    def _send_release(self, host: str, number: int, outcome: SlotOutcome) -> None:
        if host == self.datagrams.host:
            self._release((self._own_name(), number), outcome)
            return
        payload = [self.datagrams.instance_id, number, outcome.value]
        self.datagrams.send(host, _RELEASE, payload)

    async def _handle_assign(self, sender: str, payload: list) -> list:
        instance_id, may_wait, *fields = payload
        request = SlotRequest.unpack(fields)
        answer = await self._assign(f"{sender}/{instance_id}", request, bool(may_wait))
        return list(attrs.astuple(answer))

    def _handle_release(self, sender: str, payload: list) -> None:
        instance_id, number, outcome = payload
        self._release((f"{sender}/{instance_id}", int(number)), SlotOutcome(outcome))

    def _release(self, identity: tuple[str, int], outcome: SlotOutcome) -> None:
        """End the wait of a turn or free its slot, also if its request comes later."""
        now_ms = self.clock.now_ms()
        for dispatcher in self._dispatchers.values():
            dispatcher.withdraw(identity)
            dispatcher.release(identity, now_ms, outcome)
        decided = self._decided.pop(identity, None)
        if decided is not None and not decided.done():
            decided.set_result(_Answer(_NO_ENGINE))
        self._released_ms[identity] = now_ms
        while self._released_ms:
            oldest = next(iter(self._released_ms))
            is_recent = now_ms - self._released_ms[oldest] < _RELEASED_FOR_MS
            if is_recent and len(self._released_ms) <= _MAX_RELEASED:
                break
            del self._released_ms[oldest]
        self._has_changed.set()

    async def _assign(self, name: str, request: SlotRequest, may_wait: bool) -> _Answer:
        """Assign a slot to a turn, after a wait if it may wait."""
        now_ms = self.clock.now_ms()
        dispatcher = self._dispatcher(request.service, now_ms)
        if dispatcher is None or (name, request.number) in self._released_ms:
            return _Answer(_NO_ENGINE)
        is_known = dispatcher.knows_program(request.program)
        turn = request.turn(name, is_known, now_ms)
        if not dispatcher.slots.is_usable(turn, self.domain, now_ms):
            return _Answer(_NO_ENGINE)
        assignment = dispatcher.try_assign(turn, now_ms)
        if assignment is not None:
            return _Answer(_ASSIGNED, assignment.server)
        if not may_wait or len(dispatcher.waiting) >= _MAX_WAITING:
            return _Answer(_FULL)
        refusal = dispatcher.submit(turn, now_ms)
        if refusal is not None:
            return _answer(refusal)
        decided = asyncio.get_running_loop().create_future()
        self._decided[turn.identity] = decided
        self._has_changed.set()
        try:
            return await decided
        finally:
            dispatcher.withdraw(turn.identity)
            self._decided.pop(turn.identity, None)

    def _dispatcher(self, service: str, now_ms: float) -> TurnDispatcher | None:
        """Return the dispatcher of a service with its engines brought up to date.

        None for a service that the desired state doesn't have.
        """
        rule = self.read_rule(service)
        if rule is None:
            self._dispatchers.pop(service, None)
            return None
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            dispatcher = self._dispatchers[service] = TurnDispatcher(self.domain)
        if now_ms - self._updated_ms.get(service, NEVER_MS) >= _UPDATE_PERIOD_MS:
            self._updated_ms[service] = now_ms
            servers = [
                each
                for each in self.directory.of_service(service)
                if each.domain == self.domain and not self.directory.is_cold(each)
            ]
            dispatcher.update_engines(servers, rule.memory_tokens)
        return dispatcher

    @Service.task
    async def _decide_waiting(self) -> None:
        while not self.should_stop:
            due_ms = min(
                (each.next_due_ms() for each in self._dispatchers.values()),
                default=math.inf,
            )
            wait_s = min(_IDLE_WAIT_S, max(0.0, due_ms - self.clock.now_ms()) / 1000)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._has_changed.wait()
            self._has_changed.clear()
            self._decide_all()

    def _decide_all(self) -> None:
        now_ms = self.clock.now_ms()
        for service in list(self._dispatchers):
            dispatcher = self._dispatcher(service, now_ms)
            if dispatcher is None or not dispatcher.waiting:
                continue
            for decision in dispatcher.decide(now_ms):
                decided = self._decided.get(decision.turn.identity)
                if decided is not None and not decided.done():
                    decided.set_result(_answer(decision.outcome))


def _answer(outcome: Assignment | TurnRefusal) -> _Answer:
    if isinstance(outcome, TurnRefusal):
        return _Answer(_REFUSED, "", outcome.detail, outcome.retry_after_s)
    return _Answer(_ASSIGNED, outcome.server)


def _make_request(
    number: int, admitted: AdmittedRequest, call: EngineCall, excluded: frozenset[str]
) -> SlotRequest:
    request = admitted.request
    priority = admitted.route.priority
    organisation = admitted.organisation
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    target_ms = None
    if request.program_deadline_ms:
        target_ms = round(request.program_deadline_ms - call.now_ms)
    return SlotRequest(
        number=number,
        service=call.model,
        organisation=admitted.organisation_name,
        program=request.program,
        continues_turn=bool(request.previous_turn),
        priority=priority,
        prompt_tokens=call.prompt_tokens,
        expected_tokens=call.expected_tokens,
        parts=[[part.name, part.tokens] for part in call.prefix_parts],
        remaining_ms=round(admitted.deadline_ms - call.now_ms),
        target_ms=target_ms,
        excluded=sorted(excluded),
    )
