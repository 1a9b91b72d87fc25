"""The host that answers a caller: keys, rates, and the way to the owner."""

import random
from collections.abc import Callable

import attrs

from celerypulley.backend_servers.ordering import OrderedCall, priority_of
from celerypulley.clock import Clock
from celerypulley.contracts.declaration import Limits, Route, WhenStale
from celerypulley.contracts.effective import Configuration
from celerypulley.contracts.keys import StoredKey
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, RunState
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.call_runner import CallRunner, call_name
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.engine_runner import EngineJob, EngineRunner
from celerypulley.hosts.meters import Meters
from celerypulley.hosts.owner_calls import OwnerCalls
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.program_desk import ProgramDesk
from celerypulley.hosts.program_rules import (
    parse_program,
    require_configuration,
    require_route,
)
from celerypulley.hosts.quarantine import fingerprint_of
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.turn_runner import TurnRunner
from celerypulley.links.answer_sink import AnswerSink
from celerypulley.links.backend_link import BackendError, BackendLink, PlainAnswer
from celerypulley.links.peer_link import LinkError
from celerypulley.links.peer_messages import (
    CloseProgram,
    OpenProgram,
    ProgramReport,
    ReadProgram,
    RunCall,
    RunTurn,
)
from celerypulley.programs.chat import completion_json, read_chat_request
from celerypulley.programs.identifier import ShardId, shard_of_key

__all__ = ["Caller", "Entry"]


_OPEN_TRIES = 4
_PLAIN_TRIES = 3
_DONE = b"data: [DONE]\n\n"
_log = DecisionLog("entry")


@attrs.frozen
class Caller:
    """Who is calling, as its key tells."""

    organisation: str
    key_id: str


class Entry:
    """Check each request once, then run it here or at its owner."""

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        configuration: ConfigurationFollower,
        meters: Meters,
        turns: TurnRunner,
        calls: CallRunner,
        desk: ProgramDesk,
        engines: EngineRunner,
        servers: BackendServers,
        link: BackendLink,
        clock: Clock,
    ) -> None:
        """Use the parts of this host."""
        self.shards = shards
        self.peers = peers
        self.owners = OwnerCalls(shards, peers, configuration, clock)
        self.configuration = configuration
        self.meters = meters
        self.turns = turns
        self.calls = calls
        self.desk = desk
        self.engines = engines
        self.servers = servers
        self.link = link
        self.clock = clock
        self._random = random.Random()

    def authenticate(self, key: str) -> Caller:
        """Return the caller that a key belongs to; raise CallRefusedError."""
        configuration = require_configuration(self.configuration)
        stored: StoredKey | None = configuration.keys.find(key)
        if stored is None or stored.organisation not in configuration.organisations:
            raise CallRefusedError.of(ErrorKind.KEY_REFUSED, "the key is not in force")
        return Caller(stored.organisation, stored.key_id)

    def check_fresh(self, limits: Limits, irreversible: bool) -> None:
        """Raise CallRefusedError where too old a configuration forbids the call."""
        ago_ms = self.configuration.confirmed_ago_ms()
        if ago_ms <= limits.stale_after_s * 1000:
            return
        if not irreversible and limits.when_stale is WhenStale.SERVE:
            return
        raise CallRefusedError.of(
            ErrorKind.CONFIGURATION_STALE,
            f"the configuration was last confirmed {ago_ms / 1000:.0f} s ago",
        )

    async def chat(self, caller: Caller, message: RunTurn, sink: AnswerSink) -> None:
        """Run one chat completion, in a program or alone."""
        configuration = require_configuration(self.configuration)
        request = read_chat_request(message.body)
        route = require_route(configuration, request.model)
        self.check_fresh(configuration.limits(caller.organisation), False)
        shard = parse_program(message.program).shard if message.program else None
        await self.meters.take(caller.organisation)
        if shard is None:
            await self._chat_alone(caller, message, route, sink)
            return
        await self.owners.run(shard, message, sink, self.turns.run)

    async def call_plain(
        self, caller: Caller, route: Route, key: str, message: RunCall, sink: AnswerSink
    ) -> None:
        """Run one call of a plain service."""
        configuration = require_configuration(self.configuration)
        limits = configuration.limits(caller.organisation)
        self.check_fresh(limits, irreversible=not route.repeatable)
        if not route.repeatable and not key:
            raise CallRefusedError.of(
                ErrorKind.IDEMPOTENCY_KEY_MISSING,
                f"calls of route {route.name!r} are not repeatable",
            )
        shard = self._shard_of_call(configuration, caller, message, route, key)
        await self.meters.take(caller.organisation)
        if route.repeatable:
            await self._call_repeatable(message, limits, sink)
            return
        named = attrs.evolve(
            message,
            shard=str(shard),
            call=call_name(caller.organisation, route.name, message.program, key),
        )
        await self.owners.run(shard, named, sink, self.calls.run)

    def _shard_of_call(
        self,
        configuration: Configuration,
        caller: Caller,
        message: RunCall,
        route: Route,
        key: str,
    ) -> ShardId:
        if message.program:
            return parse_program(message.program).shard
        return shard_of_key(
            call_name(caller.organisation, route.name, "", key),
            configuration.domains,
            self.shards.settings.shards_per_domain,
        )

    async def open_program(self, caller: Caller, message: OpenProgram) -> bytes:
        """Open a program here, or at another host where no shard here can commit."""
        configuration = require_configuration(self.configuration)
        self.check_fresh(configuration.limits(caller.organisation), False)
        if message.parent:
            parse_program(message.parent)
        await self.meters.take(caller.organisation)
        try:
            return (await self.desk.open(message)).report
        except CallRefusedError as error:
            if error.refusal.kind is not ErrorKind.OWNER_UNREACHABLE:
                raise
            first_error = error
        members = [
            member.name
            for member in self.shards.view.members.values()
            if member.name != self.shards.me.name and not member.leaving
        ]
        self._random.shuffle(members)
        for name in members[:_OPEN_TRIES]:
            try:
                reply = await self.peers.request(name, message, 5_000.0)
            except LinkError:
                continue
            if isinstance(reply, ProgramReport):
                return reply.report
        raise first_error

    async def read_program(self, caller: Caller, program: str) -> bytes:
        """Return a program with its history as JSON."""
        message = ReadProgram(program, caller.organisation)
        return await self._report_at_owner(program, message, self.desk.read)

    async def close_program(self, caller: Caller, program: str) -> bytes:
        """Close a program and return it as JSON."""
        message = CloseProgram(program, caller.organisation)
        return await self._report_at_owner(program, message, self.desk.close)

    async def _report_at_owner(
        self, program: str, message: object, run_here: Callable
    ) -> bytes:
        shard = parse_program(program).shard
        return await self.owners.report(shard, message, run_here)

    async def _chat_alone(
        self, caller: Caller, message: RunTurn, route: Route, sink: AnswerSink
    ) -> None:
        configuration = require_configuration(self.configuration)
        limits = configuration.limits(caller.organisation)
        request = read_chat_request(message.body)
        max_tokens = request.max_tokens or limits.max_tokens
        priority = priority_of(limits.ordering, OrderedCall(route.priority, 0, 1.0))
        headers = {"X-Celerypulley-Run": RunState.RAN.value}
        head_sent = False

        async def pass_on(events: bytes) -> None:
            nonlocal head_sent
            if not head_sent:
                head_sent = True
                await sink.head(200, {**headers, "Content-Type": "text/event-stream"})
            await sink.chunk(events)

        job = EngineJob(
            program="",
            organisation=caller.organisation,
            request=request,
            body=request.engine_body(b"", max_tokens, priority, ""),
            prompt_tokens=request.prompt_tokens(0),
            max_tokens=max_tokens,
            request_id=message.request_id,
            limits=limits,
            fingerprint=fingerprint_of(b"", request.messages_json),
            pass_on=pass_on if request.stream else None,
        )
        reader = await self.engines.run(job)
        if request.stream:
            await pass_on(reader.held + _DONE)
            return
        await sink.head(200, {**headers, "Content-Type": "application/json"})
        finish_reason = reader.finish_reason or "stop"
        await sink.chunk(
            completion_json(
                request.model,
                reader.answer_id,
                reader.message(),
                finish_reason,
                reader.usage,
            )
        )

    async def _call_repeatable(
        self, message: RunCall, limits: Limits, sink: AnswerSink
    ) -> None:
        answer = await self._first_answer(message, limits)
        content_type = answer.content_type or "application/octet-stream"
        headers = {
            "Content-Type": content_type,
            "X-Celerypulley-Run": RunState.RAN.value,
        }
        await sink.head(answer.status, headers)
        await sink.chunk(answer.body)

    async def _first_answer(self, message: RunCall, limits: Limits) -> PlainAnswer:
        detail = f"no live server for route {message.route!r}"
        for server in self.servers.live_plain(message.route)[:_PLAIN_TRIES]:
            _log.write(
                f"server {server.name}",
                "nearest live one",
                organisation=message.organisation,
            )
            try:
                return await self.link.call_plain(
                    server.address,
                    message.path,
                    message.body,
                    message.content_type,
                    message.request_id,
                    limits.turn_timeout_s,
                )
            except BackendError as error:
                detail = f"{server.name}: {error}"
        raise CallRefusedError.of(ErrorKind.NO_BACKEND_SERVER, detail[:300])
