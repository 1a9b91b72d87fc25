"""Dispatch of the requests of peers: one handler for each type of message."""

from collections.abc import Awaitable, Callable

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.call_runner import CallRunner
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.meters import Meters
from celerypulley.hosts.program_manager import ProgramManager
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.shard_handback import ShardHandback
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.sweeper import Sweeper
from celerypulley.hosts.turn_runner import TurnRunner
from celerypulley.links import peer_messages as messages
from celerypulley.links.peer_server import PeerCall
from celerypulley.links.response_sink import CallerDisconnectedError

__all__ = ["PeerDispatcher"]


class PeerSink:
    """The response to a caller, sent through the peer that it called."""

    def __init__(self, call: PeerCall) -> None:
        """Reply to `call`."""
        self.call = call

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        await self._send(messages.Head(status, headers))

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(messages.Chunk(data))

    async def reserve_response(self, length: int) -> None:
        """Do not wait, since nothing is charged here."""

    def hold_response(self, count: int) -> None:
        """Charge nothing: the host that the caller called does."""

    async def _send(self, message: object) -> None:
        try:
            await self.call.reply(message)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None


class PeerDispatcher:
    """Pass each peer request to the service that handles it."""

    def __init__(
        self,
        shards: Shards,
        turn_runner: TurnRunner,
        call_runner: CallRunner,
        program_manager: ProgramManager,
        meters: Meters,
        configuration: ConfigurationFollower,
        committer: RecordCommitter,
        sweeper: Sweeper,
        shard_handback: ShardHandback,
        servers: BackendServers,
    ) -> None:
        """Handle requests with the services of this host."""
        self.shards = shards
        self.turn_runner = turn_runner
        self.call_runner = call_runner
        self.program_manager = program_manager
        self.meters = meters
        self.configuration = configuration
        self.committer = committer
        self.sweeper = sweeper
        self.shard_handback = shard_handback
        self.servers = servers
        self._handlers: dict[type, Callable[[PeerCall], Awaitable[None]]] = {
            messages.RunTurn: self._run_turn,
            messages.RunCall: self._run_call,
            messages.OpenProgram: self._open_program,
            messages.DrawBudget: self._draw_budget,
            messages.ReadProgram: self._read_program,
            messages.CloseProgram: self._close_program,
            messages.AcquireAllowance: self._acquire_allowance,
            messages.RequestLoan: self._request_loan,
            messages.Replicate: self._replicate,
            messages.InstallSnapshot: self._install,
            messages.RenewPromises: self._renew_promises,
            messages.HandBackRecord: self._accept_handback,
            messages.CommitRecord: self._commit,
            messages.QueryPrograms: self._query_programs,
            messages.QueryTurn: self._query_turn,
            messages.FetchConfiguration: self._fetch_configuration,
            messages.LoadReports: self._apply_load_reports,
        }

    async def dispatch(self, call: PeerCall) -> None:
        """Handle one request; raise CallRefusedError."""
        handler = self._handlers.get(type(call.message))
        if handler is None:
            name = type(call.message).__name__
            raise CallRefusedError.of(ErrorKind.BAD_REQUEST, f"{name} is not a request")
        await handler(call)

    async def _run_turn(self, call: PeerCall) -> None:
        await self.turn_runner.run(call.message, PeerSink(call))
        await call.reply(messages.End())

    async def _run_call(self, call: PeerCall) -> None:
        await self.call_runner.run(call.message, PeerSink(call))
        await call.reply(messages.End())

    async def _open_program(self, call: PeerCall) -> None:
        await call.reply(await self.program_manager.open(call.message))

    async def _draw_budget(self, call: PeerCall) -> None:
        await call.reply(await self.program_manager.draw_budget(call.message))

    async def _read_program(self, call: PeerCall) -> None:
        await call.reply(await self.program_manager.read(call.message))
        await call.reply(messages.End())

    async def _close_program(self, call: PeerCall) -> None:
        await call.reply(await self.program_manager.close(call.message))
        await call.reply(messages.End())

    async def _acquire_allowance(self, call: PeerCall) -> None:
        await call.reply(self.meters.handle_acquire_allowance(call.message))

    async def _request_loan(self, call: PeerCall) -> None:
        await call.reply(self.meters.handle_loan_request(call.message, call.peer))

    async def _replicate(self, call: PeerCall) -> None:
        await call.reply(self.shards.apply_record(call.message))

    async def _install(self, call: PeerCall) -> None:
        await call.reply(self.shards.apply_install(call.message))

    async def _renew_promises(self, call: PeerCall) -> None:
        message = call.message
        self.configuration.observe_peer_version(
            call.peer, message.version, message.confirmed_ago_ms
        )
        states = self.shards.grant_promises(message)
        ago_ms = self.configuration.confirmed_ago_ms()
        await call.reply(
            messages.PromiseReplies(
                states,
                self.configuration.version,
                -1 if ago_ms == float("inf") else int(ago_ms),
            )
        )

    async def _accept_handback(self, call: PeerCall) -> None:
        await self.shard_handback.accept(call.message)
        await call.reply(messages.Committed(""))

    async def _commit(self, call: PeerCall) -> None:
        await call.reply(await self.committer.handle_commit(call.message, call.peer))

    async def _query_turn(self, call: PeerCall) -> None:
        running = self.committer.running_turns.is_running(call.message.program)
        await call.reply(messages.TurnState(running))

    async def _query_programs(self, call: PeerCall) -> None:
        open_ids = self.sweeper.open_programs(call.message.programs)
        await call.reply(messages.OpenPrograms(open_ids))

    async def _apply_load_reports(self, call: PeerCall) -> None:
        self.servers.apply_reports(call.message)

    async def _fetch_configuration(self, call: PeerCall) -> None:
        await call.reply(self.configuration.handle_fetch(call.message))
