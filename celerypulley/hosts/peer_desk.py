"""Answers to the requests of peers: one function for each kind of message."""

from collections.abc import Awaitable, Callable

from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.call_runner import CallRunner
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.meters import Meters
from celerypulley.hosts.program_desk import ProgramDesk
from celerypulley.hosts.record_committer import RecordCommitter
from celerypulley.hosts.returned_shards import ReturnedShards
from celerypulley.hosts.shards import Shards
from celerypulley.hosts.sweeper import Sweeper
from celerypulley.hosts.turn_runner import TurnRunner
from celerypulley.links import peer_messages as messages
from celerypulley.links.answer_sink import CallerGoneError
from celerypulley.links.peer_server import PeerCall

__all__ = ["PeerDesk"]


class PeerSink:
    """The way back to a caller by the peer that it called."""

    def __init__(self, call: PeerCall) -> None:
        """Answer `call`."""
        self.call = call

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        await self._send(messages.Head(status, headers))

    async def chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(messages.Chunk(data))

    async def _send(self, item: object) -> None:
        try:
            await self.call.reply(item)
        except OSError as error:
            raise CallerGoneError(str(error)) from None


class PeerDesk:
    """Hand each peer request to the part that answers it."""

    def __init__(
        self,
        shards: Shards,
        turns: TurnRunner,
        calls: CallRunner,
        desk: ProgramDesk,
        meters: Meters,
        configuration: ConfigurationFollower,
        committer: RecordCommitter,
        sweeper: Sweeper,
        returned: ReturnedShards,
        servers: BackendServers,
    ) -> None:
        """Answer with the parts of this host."""
        self.shards = shards
        self.turns = turns
        self.calls = calls
        self.desk = desk
        self.meters = meters
        self.configuration = configuration
        self.committer = committer
        self.sweeper = sweeper
        self.returned = returned
        self.servers = servers
        self._answers: dict[type, Callable[[PeerCall], Awaitable[None]]] = {
            messages.RunTurn: self._run_turn,
            messages.RunCall: self._run_call,
            messages.OpenProgram: self._open,
            messages.DrawBudget: self._draw,
            messages.ReadProgram: self._read,
            messages.CloseProgram: self._close,
            messages.TakeAllowance: self._take_allowance,
            messages.Lend: self._lend,
            messages.Replicate: self._replicate,
            messages.Install: self._install,
            messages.RenewPromises: self._promise,
            messages.ReturnImage: self._take_back,
            messages.CommitRecord: self._commit,
            messages.AskPrograms: self._ask_programs,
            messages.AskTurn: self._ask_turn,
            messages.FetchConfiguration: self._fetch_configuration,
            messages.LoadReports: self._take_reports,
        }

    async def answer(self, call: PeerCall) -> None:
        """Answer one request; raise CallRefusedError."""
        answer = self._answers.get(type(call.message))
        if answer is None:
            name = type(call.message).__name__
            raise CallRefusedError.of(ErrorKind.BAD_REQUEST, f"{name} is no request")
        await answer(call)

    async def _run_turn(self, call: PeerCall) -> None:
        await self.turns.run(call.message, PeerSink(call))
        await call.reply(messages.End())

    async def _run_call(self, call: PeerCall) -> None:
        await self.calls.run(call.message, PeerSink(call))
        await call.reply(messages.End())

    async def _open(self, call: PeerCall) -> None:
        await call.reply(await self.desk.open(call.message))

    async def _draw(self, call: PeerCall) -> None:
        await call.reply(await self.desk.draw(call.message))

    async def _read(self, call: PeerCall) -> None:
        await call.reply(await self.desk.read(call.message))
        await call.reply(messages.End())

    async def _close(self, call: PeerCall) -> None:
        await call.reply(await self.desk.close(call.message))
        await call.reply(messages.End())

    async def _take_allowance(self, call: PeerCall) -> None:
        await call.reply(self.meters.answer_take(call.message))

    async def _lend(self, call: PeerCall) -> None:
        await call.reply(self.meters.answer_lend(call.message, call.peer))

    async def _replicate(self, call: PeerCall) -> None:
        await call.reply(self.shards.take_record(call.message))

    async def _install(self, call: PeerCall) -> None:
        await call.reply(self.shards.take_part(call.message))

    async def _promise(self, call: PeerCall) -> None:
        message = call.message
        self.configuration.hear(call.peer, message.version, message.confirmed_ago_ms)
        states = self.shards.take_promises(message)
        ago_ms = self.configuration.confirmed_ago_ms()
        await call.reply(
            messages.Promises(
                states,
                self.configuration.version,
                -1 if ago_ms == float("inf") else int(ago_ms),
            )
        )

    async def _take_back(self, call: PeerCall) -> None:
        await self.returned.take_back(call.message)
        await call.reply(messages.Committed(""))

    async def _commit(self, call: PeerCall) -> None:
        await call.reply(await self.committer.answer_commit(call.message, call.peer))

    async def _ask_turn(self, call: PeerCall) -> None:
        running = self.committer.running.is_running(call.message.program)
        await call.reply(messages.TurnState(running))

    async def _ask_programs(self, call: PeerCall) -> None:
        live = self.sweeper.live_programs(call.message.programs)
        await call.reply(messages.LivePrograms(live))

    async def _take_reports(self, call: PeerCall) -> None:
        self.servers.take_reports(call.message)

    async def _fetch_configuration(self, call: PeerCall) -> None:
        await call.reply(self.configuration.answer_fetch(call.message))
