"""The host that a caller connects to: keys, rates and routing to the owner."""

import random
from collections.abc import Callable

import attrs

from celerypulley.backend_servers.ordering import OrderedCall, engine_priority
from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import Limits, Route, WhenStale
from celerypulley.contracts.keys import StoredKey
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, RunState
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.call_runner import CallRunner, call_id
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.engine_runner import (
    EngineJob,
    EngineRunner,
    chat_fingerprint,
)
from celerypulley.hosts.meters import Meters
from celerypulley.hosts.owner_router import OwnerRouter
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.program_manager import ProgramManager
from celerypulley.hosts.program_rules import (
    parse_program_id,
    require_configuration,
    require_route,
)
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.turn_runner import TurnRunner
from celerypulley.links.backend_link import BackendError, BackendLink, PlainResponse
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import (
    CloseProgram,
    OpenProgram,
    ProgramReport,
    ReadProgram,
    RunCall,
    RunTurn,
)
from celerypulley.links.response_sink import ResponseSink
from celerypulley.programs.chat import completion_json, read_chat_request
from celerypulley.programs.identifier import ShardId, shard_of_key

__all__ = ["Caller", "Entry"]


_OPEN_ATTEMPTS = 4
_PLAIN_ATTEMPTS = 3
_DONE_EVENT = b"data: [DONE]\n\n"
_log = DecisionLog("entry")


@attrs.frozen
class Caller:
    """The identity of a caller, as given by its key."""

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
        turn_runner: TurnRunner,
        call_runner: CallRunner,
        program_manager: ProgramManager,
        engine_runner: EngineRunner,
        servers: BackendServers,
        link: BackendLink,
        clock: Clock,
    ) -> None:
        """Serve requests with the services of this host."""
        self.shards = shards
        self.peers = peers
        self.owner_router = OwnerRouter(shards, peers, configuration, clock)
        self.configuration = configuration
        self.meters = meters
        self.turn_runner = turn_runner
        self.call_runner = call_runner
        self.program_manager = program_manager
        self.engine_runner = engine_runner
        self.servers = servers
        self.link = link
        self.clock = clock
        self._random = random.Random()

    def authenticate(self, key: str) -> Caller:
        """Return the caller that a key belongs to; raise CallRefusedError."""
        configuration = require_configuration(self.configuration)
        stored: StoredKey | None = configuration.keys.find(key)
        if stored is None or stored.organisation not in configuration.organisations:
            raise CallRefusedError.of(ErrorKind.KEY_REFUSED, "the key is not valid")
        return Caller(stored.organisation, stored.key_id)

    def require_fresh_configuration(self, limits: Limits, irreversible: bool) -> None:
        """Raise CallRefusedError if the configuration is too old for the call."""
        ago_ms = self.configuration.confirmed_ago_ms()
        if ago_ms <= limits.stale_after_s * 1000:
            return
        if not irreversible and limits.when_stale is WhenStale.SERVE:
            return
        raise CallRefusedError.of(
            ErrorKind.CONFIGURATION_STALE,
            f"the configuration was last confirmed {ago_ms / 1000:.0f} s ago",
        )

    async def chat(self, caller: Caller, message: RunTurn, sink: ResponseSink) -> None:
        """Run one chat completion, in a program or without one."""
        configuration = require_configuration(self.configuration)
        request = read_chat_request(message.body)
        route = require_route(configuration, request.model)
        self.require_fresh_configuration(
            configuration.organisation_limits(caller.organisation), False
        )
        shard = parse_program_id(message.program).shard if message.program else None
        await self.meters.acquire(caller.organisation)
        if shard is None:
            await self._chat_without_program(caller, message, route, sink)
            return
        await self.owner_router.run(shard, message, sink, self.turn_runner.run)

    async def call_plain(
        self,
        caller: Caller,
        route: Route,
        key: str,
        message: RunCall,
        sink: ResponseSink,
    ) -> None:
        """Run one call to a plain service."""
        configuration = require_configuration(self.configuration)
        limits = configuration.organisation_limits(caller.organisation)
        self.require_fresh_configuration(limits, irreversible=not route.repeatable)
        if not route.repeatable and not key:
            raise CallRefusedError.of(
                ErrorKind.IDEMPOTENCY_KEY_MISSING,
                f"calls to route {route.name!r} need an idempotency key",
            )
        shard = self._shard_of_call(configuration, caller, message, route, key)
        await self.meters.acquire(caller.organisation)
        if route.repeatable:
            await self._call_repeatable(message, limits, sink)
            return
        identified = attrs.evolve(
            message,
            shard=str(shard),
            call=call_id(caller.organisation, route.name, message.program, key),
        )
        await self.owner_router.run(shard, identified, sink, self.call_runner.run)

    def _shard_of_call(
        self,
        configuration: Configuration,
        caller: Caller,
        message: RunCall,
        route: Route,
        key: str,
    ) -> ShardId:
        if message.program:
            return parse_program_id(message.program).shard
        return shard_of_key(
            call_id(caller.organisation, route.name, "", key),
            configuration.domains,
            self.shards.settings.shards_per_domain,
        )

    async def open_program(self, caller: Caller, message: OpenProgram) -> bytes:
        """Open a program here, or at another host if no shard here can commit."""
        configuration = require_configuration(self.configuration)
        self.require_fresh_configuration(
            configuration.organisation_limits(caller.organisation), False
        )
        if message.parent:
            parse_program_id(message.parent)
        await self.meters.acquire(caller.organisation)
        try:
            return (await self.program_manager.open(message)).report
        except CallRefusedError as error:
            if error.refusal.kind is not ErrorKind.OWNER_UNREACHABLE:
                raise
            first_error = error
        members = [
            member.name
            for member in self.shards.view.members.values()
            if member.name != self.shards.own_member.name and not member.leaving
        ]
        self._random.shuffle(members)
        for name in members[:_OPEN_ATTEMPTS]:
            try:
                reply = await self.peers.request(name, message, 5_000.0)
            except PeerLinkError:
                continue
            if isinstance(reply, ProgramReport):
                return reply.report
        raise first_error

    async def read_program(self, caller: Caller, program: str) -> bytes:
        """Return a program with its messages as JSON."""
        message = ReadProgram(program, caller.organisation)
        return await self._report_at_owner(program, message, self.program_manager.read)

    async def close_program(self, caller: Caller, program: str) -> bytes:
        """Close a program and return it as JSON."""
        message = CloseProgram(program, caller.organisation)
        return await self._report_at_owner(program, message, self.program_manager.close)

    async def _report_at_owner(
        self, program: str, message: object, run_locally: Callable
    ) -> bytes:
        shard = parse_program_id(program).shard
        return await self.owner_router.fetch_report(shard, message, run_locally)

    async def _chat_without_program(
        self, caller: Caller, message: RunTurn, route: Route, sink: ResponseSink
    ) -> None:
        configuration = require_configuration(self.configuration)
        limits = configuration.organisation_limits(caller.organisation)
        request = read_chat_request(message.body)
        max_tokens = request.max_tokens or limits.max_tokens
        priority = engine_priority(limits.ordering, OrderedCall(route.priority, 0, 1.0))
        headers = {"X-Celerypulley-Run": RunState.RAN.value}
        head_sent = False

        async def forward_events(events: bytes) -> None:
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
            prompt_tokens=request.estimated_prompt_tokens(0),
            max_tokens=max_tokens,
            request_id=message.request_id,
            limits=limits,
            fingerprint=chat_fingerprint(request, caller.organisation, b""),
            on_events=forward_events if request.stream else None,
        )
        reader = await self.engine_runner.run(job)
        if request.stream:
            await forward_events(reader.withheld_events + _DONE_EVENT)
            return
        await sink.head(200, {**headers, "Content-Type": "application/json"})
        finish_reason = reader.finish_reason or "stop"
        await sink.chunk(
            completion_json(
                request.model,
                reader.completion_id,
                reader.message(),
                finish_reason,
                reader.usage,
            )
        )

    async def _call_repeatable(
        self, message: RunCall, limits: Limits, sink: ResponseSink
    ) -> None:
        response = await self._first_response(message, limits, sink)
        content_type = response.content_type or "application/octet-stream"
        headers = {
            "Content-Type": content_type,
            "X-Celerypulley-Run": RunState.RAN.value,
        }
        await sink.head(response.status, headers)
        await sink.chunk(response.body)

    async def _first_response(
        self, message: RunCall, limits: Limits, sink: ResponseSink
    ) -> PlainResponse:
        detail = f"no available server for route {message.route!r}"
        kind = ErrorKind.NO_BACKEND_SERVER
        for server in self.servers.live_plain_servers(message.route)[:_PLAIN_ATTEMPTS]:
            _log.write(
                f"server {server.name}",
                "the call is sent to the nearest available server",
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
                    sink,
                )
            except BackendError as error:
                detail = f"{server.name}: {error}"
                if error.sent:
                    kind = ErrorKind.BACKEND_SERVER_FAILED
        raise CallRefusedError.of(kind, detail[:300])
