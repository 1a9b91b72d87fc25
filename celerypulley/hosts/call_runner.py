"""Calls that must not be repeated: recorded, sent at most once, outcome stored."""

import asyncio
import hashlib

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.program_rules import find_program, require_configuration
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.backend_link import BackendError, BackendLink, PlainResponse
from celerypulley.links.peer_messages import RunCall
from celerypulley.links.response_sink import ResponseSink
from celerypulley.programs.identifier import ProgramId, ShardId
from celerypulley.programs.program import CallRecord, CallState
from celerypulley.programs.records import CallBegun, CallEnded

__all__ = ["CallRunner", "call_id"]

_MAX_STORED_BODY_BYTES = 256 * 1024
_log = DecisionLog("at-most-once")


def call_id(organisation: str, route: str, program: str, key: str) -> str:
    """Return the identifier of a call: a digest of its scope and idempotency key."""
    scope = "\0".join((organisation, route, program, key))
    return hashlib.sha256(scope.encode()).hexdigest()[:32]


@attrs.frozen
class _DispatchResult:
    response: PlainResponse | None
    state: str
    detail: str


class CallRunner:
    """Run the non-repeatable calls whose records this host owns."""

    def __init__(
        self,
        shards: Shards,
        configuration: ConfigurationFollower,
        servers: BackendServers,
        link: BackendLink,
        committer: RecordCommitter,
        locks: ProgramLocks,
        clock: Clock,
    ) -> None:
        """Record calls in `shards` and send them over `link`."""
        self.shards = shards
        self.configuration = configuration
        self.servers = servers
        self.link = link
        self.committer = committer
        self.locks = locks
        self.clock = clock
        self.active = 0

    async def run(self, message: RunCall, sink: ResponseSink) -> None:
        """Run the call once, or replay its recorded outcome.

        The call continues if the caller disconnects, so that a retry finds its outcome.
        Raise CallRefusedError.
        """
        task = self.committer.spawn(self._run_locked(message))
        record, replayed = await asyncio.shield(task)
        headers = {
            "Content-Type": record.content_type or "application/octet-stream",
            "X-Celerypulley-Run": CallState.RAN,
        }
        if replayed:
            headers["X-Celerypulley-Replayed"] = "true"
        await sink.head(record.status, headers)
        await sink.chunk(record.body)

    async def _run_locked(self, message: RunCall) -> tuple[CallRecord, bool]:
        self.active += 1
        try:
            async with self.locks.lock(message.program or message.call):
                return await self._run_once(message)
        finally:
            self.active -= 1

    async def _run_once(self, message: RunCall) -> tuple[CallRecord, bool]:
        shard = ShardId.parse(message.shard)
        owner = self.shards.require_owned(shard)
        owner.require_promise()
        fingerprint = _fingerprint(message)
        known = owner.state.calls.get(message.call)
        if known is not None:
            return self._replay(known, fingerprint), True
        configuration = require_configuration(self.configuration)
        self._check_program_open(owner, message)
        self._check_no_records_lost(owner, message, configuration)
        begun = CallBegun(message.call, fingerprint, self.clock.wall_ms())
        await owner.commit(begun)
        dispatch = await self._dispatch(message, configuration)
        await self._store_outcome(owner, message, dispatch)
        if dispatch.response is not None:
            response = dispatch.response
            record = CallRecord(message.call, fingerprint, begun.begun_ms)
            record.status = response.status
            record.content_type = response.content_type
            record.body = response.body
            return record, False
        if dispatch.state == CallState.NOT_RUN:
            raise CallRefusedError.of(ErrorKind.NO_BACKEND_SERVER, dispatch.detail)
        raise CallRefusedError.of(ErrorKind.OUTCOME_UNKNOWN, dispatch.detail)

    def _replay(self, known: CallRecord, fingerprint: bytes) -> CallRecord:
        if known.fingerprint != fingerprint:
            raise CallRefusedError.of(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "this idempotency key was used for another request",
            )
        if known.state == CallState.RAN:
            _log.write(
                "response replayed", "the call has already run", call=known.call_id
            )
            return known
        raise CallRefusedError.of(
            ErrorKind.OUTCOME_UNKNOWN,
            "the call was sent once and its outcome is unknown; it is not sent again",
        )

    def _check_program_open(self, owner: ShardOwner, message: RunCall) -> None:
        if not message.program:
            return
        program_id = ProgramId.parse(message.program)
        program = find_program(owner, program_id, message.organisation)
        if program.closed_ms is not None:
            raise CallRefusedError.of(
                ErrorKind.PROGRAM_CLOSED, f"{program_id} is closed"
            )

    def _check_no_records_lost(
        self, owner: ShardOwner, message: RunCall, configuration: Configuration
    ) -> None:
        if not owner.entry.lost_epoch or message.program:
            return
        limits = configuration.organisation_limits(message.organisation)
        since_lost_ms = self.clock.wall_ms() - owner.entry.lost_ms
        if since_lost_ms > limits.call_retention_s * 1000:
            return
        raise CallRefusedError.of(
            ErrorKind.OUTCOME_UNKNOWN,
            "records of this shard were lost; the call may have run before",
        )

    async def _dispatch(
        self, message: RunCall, configuration: Configuration
    ) -> _DispatchResult:
        limits = configuration.organisation_limits(message.organisation)
        detail = f"no available server for route {message.route!r}"
        for server in self.servers.live_plain_servers(message.route):
            _log.write(
                f"server {server.name}",
                "the call is sent to the nearest available server",
                call=message.call,
                organisation=message.organisation,
            )
            try:
                response = await self.link.call_plain(
                    server.address,
                    message.path,
                    message.body,
                    message.content_type,
                    message.request_id,
                    limits.turn_timeout_s,
                )
            except BackendError as error:
                detail = f"{server.name}: {error}"
                if error.sent:
                    return _DispatchResult(None, CallState.UNKNOWN, detail[:300])
                continue
            return _DispatchResult(response, CallState.RAN, "")
        return _DispatchResult(None, CallState.NOT_RUN, detail[:300])

    async def _store_outcome(
        self, owner: ShardOwner, message: RunCall, dispatch: _DispatchResult
    ) -> None:
        response = dispatch.response or PlainResponse(0, "", b"")
        state = dispatch.state
        body = response.body
        if len(body) > _MAX_STORED_BODY_BYTES:
            state = CallState.UNKNOWN
            body = b""
        ended = CallEnded(
            message.call, state, response.status, response.content_type, body
        )
        try:
            await self.committer.commit(owner, ended)
        except CallRefusedError as error:
            _log.write("outcome not stored", str(error), call=message.call)


def _fingerprint(message: RunCall) -> bytes:
    hasher = hashlib.sha256()
    for field in (message.path, message.content_type):
        hasher.update(field.encode())
        hasher.update(b"\0")
    hasher.update(message.body)
    return hasher.digest()[:16]
