"""Requests that run at the owner of their shard, on this host or at a peer."""

import asyncio
import random
from collections.abc import Callable

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, RunState
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.program_manager import decode_refusal
from celerypulley.hosts.shards import Shards
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import Chunk, End, Head, ProgramReport, Refused
from celerypulley.links.response_sink import ResponseSink
from celerypulley.links.response_status import (
    StatusKind,
    bounded_detail,
    classify_status,
)
from celerypulley.programs.identifier import ShardId

__all__ = ["OwnerRouter"]

_OWNER_WAIT_MS = 15_000.0
_OWNER_POLL_S = 0.15
_STREAM_IDLE_TIMEOUT_MS = 150_000.0
_log = DecisionLog("owner-router")


class OwnerRouter:
    """Find the owner of a shard, wait for one, and forward requests to it."""

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        configuration: ConfigurationFollower,
        clock: Clock,
    ) -> None:
        """Look up owners in `shards` and reach them over `peers`."""
        self.shards = shards
        self.peers = peers
        self.configuration = configuration
        self.clock = clock
        self._random = random.Random()

    async def fetch_report(
        self, shard: ShardId, message: object, run_locally: Callable
    ) -> bytes:
        """Return the owner's report in reply to `message`.

        `run_locally` makes the report if this host is the owner. Raise
        CallRefusedError.
        """
        sink = _ReportSink()

        async def run(_message: object, _sink: ResponseSink) -> None:
            report = await run_locally(message)
            await sink.chunk(report.report)

        await self.run(shard, message, sink, run)
        return b"".join(sink.chunks)

    async def run(
        self,
        shard: ShardId,
        message: object,
        sink: ResponseSink,
        run_locally: Callable,
    ) -> None:
        """Run a message at the owner of its shard; raise CallRefusedError.

        Wait for an owner while none responds. A message may reach two owners; each type
        of message is recognised when it is repeated. `run_locally` runs the message if
        this host is the owner.
        """
        deadline_ms = self.clock.now_ms() + _OWNER_WAIT_MS
        while True:
            try:
                await self._run_once(shard, message, sink, run_locally)
                return
            except CallRefusedError as error:
                refusal = error.refusal
                should_wait = refusal.kind is ErrorKind.OWNER_UNREACHABLE
                if not should_wait or refusal.run is not RunState.NOT_RUN:
                    raise
                failure: CallRefusedError = error
            except PeerLinkError as error:
                run = RunState.UNKNOWN if error.sent else RunState.NOT_RUN
                failure = CallRefusedError.of(
                    ErrorKind.OWNER_UNREACHABLE, f"owner of {shard}: {error}", run
                )
            if self.clock.now_ms() > deadline_ms:
                raise failure
            await asyncio.sleep(_OWNER_POLL_S * self._random.uniform(0.7, 1.3))

    async def _run_once(
        self, shard: ShardId, message: object, sink: ResponseSink, run_locally: Callable
    ) -> None:
        owner = self.shards.owner_of(shard)
        if owner is None:
            if not self._shard_may_exist(shard):
                raise CallRefusedError.of(
                    ErrorKind.UNKNOWN_PROGRAM, f"there is no shard {shard}"
                )
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE, f"there is no owner of shard {shard}"
            )
        if owner == self.shards.own_member.name:
            await run_locally(message, sink)
            return
        forwarded = False
        try:
            async for reply in self.peers.stream(
                owner, message, _STREAM_IDLE_TIMEOUT_MS
            ):
                if isinstance(reply, Refused):
                    raise CallRefusedError(decode_refusal(reply))
                if isinstance(reply, End):
                    return
                await _forward_reply(reply, sink)
                forwarded = True
        except PeerLinkError as error:
            if not forwarded:
                raise
            raise CallRefusedError.of(
                ErrorKind.OUTCOME_UNKNOWN, f"the owner's response was cut off: {error}"
            ) from None

    def _shard_may_exist(self, shard: ShardId) -> bool:
        configuration = self.configuration.current
        return configuration is None or shard.domain in configuration.domains


class _ReportSink:
    def __init__(self) -> None:
        self.chunks: list[bytes] = []

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Ignore the head: a report has none."""

    async def chunk(self, data: bytes) -> None:
        """Append a part of the report."""
        self.chunks.append(data)

    async def reserve_response(self, length: int) -> None:
        """Do not wait, since nothing is charged here."""

    def hold_response(self, count: int) -> None:
        """Charge nothing: reports are small."""


async def _forward_reply(reply: object, sink: ResponseSink) -> None:
    if isinstance(reply, Chunk):
        await sink.chunk(reply.data)
        return
    if isinstance(reply, Head):
        if classify_status(reply.status) is not StatusKind.FINAL:
            detail = bounded_detail(f"status {reply.status!r} from the owner")
            _log.write("invalid response", detail)
            raise CallRefusedError.of(ErrorKind.OUTCOME_UNKNOWN, detail)
        await sink.head(reply.status, reply.headers)
        return
    if isinstance(reply, ProgramReport):
        await sink.chunk(reply.report)
        return
    raise CallRefusedError.of(
        ErrorKind.OUTCOME_UNKNOWN, f"unexpected reply {type(reply).__name__}"
    )
