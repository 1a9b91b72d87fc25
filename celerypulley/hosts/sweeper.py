"""Periodic removal of idle programs, expired records and unused engine caches."""

from mode import Service

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.hosts.cache_release import CacheRelease
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.program_locks import ProgramLocks
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.backend_link import BackendError, BackendLink
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import OpenPrograms, QueryPrograms
from celerypulley.programs.identifier import ProgramId
from celerypulley.programs.program import CallState, Program
from celerypulley.programs.records import (
    CallRemoved,
    ProgramClosed,
    ProgramRemoved,
)

__all__ = ["Sweeper"]

_SWEEP_PERIOD_S = 5.0
_CLOSED_RETENTION_MS = 600_000
_OWNER_REQUEST_TIMEOUT_MS = 2_000.0
_READ_TIMEOUT_S = 2.0
_log = DecisionLog("sweeper")


class Sweeper(Service):
    """Close idle programs, remove expired records and release unused engine caches.

    Each engine is swept by one host of its failure domain. The host reads which
    programs the engine holds, queries their owners and releases the programs that have
    ended.
    """

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        servers: BackendServers,
        link: BackendLink,
        cache_release: CacheRelease,
        configuration: ConfigurationFollower,
        locks: ProgramLocks,
        clock: Clock,
    ) -> None:
        """Sweep the shards that this host owns and the engines assigned to it."""
        super().__init__()
        self.shards = shards
        self.peers = peers
        self.servers = servers
        self.link = link
        self.cache_release = cache_release
        self.configuration = configuration
        self.locks = locks
        self.clock = clock

    def open_programs(self, program_ids: list) -> list[str]:
        """Return the programs that are open here or whose state is unknown."""
        open_ids = []
        for text in program_ids:
            try:
                program_id = ProgramId.parse(str(text))
            except ValueError:
                continue
            owner = self.shards.owned.get(program_id.shard)
            if owner is None or not owner.holds_promise():
                open_ids.append(text)
                continue
            program = owner.state.programs.get(text)
            if program is not None and program.closed_ms is None:
                open_ids.append(text)
        return open_ids

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(_SWEEP_PERIOD_S)
            for owner in list(self.shards.owned.values()):
                if not owner.holds_promise():
                    continue
                try:
                    await self._sweep_shard(owner)
                except CallRefusedError as error:
                    _log.write("shard not swept", str(error), shard=owner.shard)
            for engine in list(self.servers.engines.values()):
                if self._is_assigned_here(engine):
                    await self._sweep_engine(engine)

    async def _sweep_shard(self, owner: ShardOwner) -> None:
        now_ms = self.clock.wall_ms()
        for program in list(owner.state.programs.values()):
            if self.locks.is_held(program.program_id):
                continue
            await self._sweep_program(owner, program, now_ms)
        for call in list(owner.state.calls.values()):
            if call.state == CallState.BEGUN and self.locks.is_held(call.call_id):
                continue
            if now_ms - call.begun_ms > self._retention_ms():
                await owner.commit(CallRemoved(call.call_id))

    async def _sweep_program(
        self, owner: ShardOwner, program: Program, now_ms: int
    ) -> None:
        if program.closed_ms is not None:
            if now_ms - program.closed_ms > _CLOSED_RETENTION_MS:
                await owner.commit(ProgramRemoved(program.program_id))
            return
        configuration = self.configuration.current
        if configuration is None:
            return
        idle_ms = (
            configuration.organisation_limits(program.organisation).program_idle_s
            * 1000
        )
        if now_ms - program.last_used_ms > idle_ms:
            await owner.commit(ProgramClosed(program.program_id, now_ms))
            _log.write(
                f"closed {program.program_id}", f"idle for {idle_ms / 1000:.0f} s"
            )

    def _retention_ms(self) -> float:
        configuration = self.configuration.current
        if configuration is None:
            return float("inf")
        return configuration.declaration.defaults.call_retention_s * 1000

    def _is_assigned_here(self, engine: EngineState) -> bool:
        members = self.shards.view.members.values()
        names = [each.name for each in members if each.domain == engine.domain]
        return rendezvous(engine.name, names) == self.shards.own_member.name

    async def _sweep_engine(self, engine: EngineState) -> None:
        try:
            held = await self.link.read_json(
                engine.address, "/sessions", _READ_TIMEOUT_S
            )
            ended = await self._ended_programs(list(held))
            for program, fence in ended.items():
                await self.cache_release.release(engine, program, fence)
        except BackendError as error:
            _log.write("engine not swept", str(error), server=engine.name)

    async def _ended_programs(self, program_ids: list[str]) -> dict[str, int]:
        by_owner: dict[str, list[str]] = {}
        ended: dict[str, int] = {}
        for text in program_ids:
            try:
                program_id = ProgramId.parse(text)
            except ValueError:
                continue
            owner = self.shards.owner_of(program_id.shard)
            if owner is not None:
                by_owner.setdefault(owner, []).append(text)
        for owner, requested in by_owner.items():
            open_ids = await self._request_open_programs(owner, requested)
            if open_ids is None:
                continue
            for text in set(requested) - open_ids:
                shard = ProgramId.parse(text).shard
                ended[text] = self.shards.view.entries[shard].epoch
        return ended

    async def _request_open_programs(
        self, owner: str, program_ids: list[str]
    ) -> set[str] | None:
        if owner == self.shards.own_member.name:
            return set(self.open_programs(program_ids))
        try:
            reply = await self.peers.request(
                owner, QueryPrograms(program_ids), _OWNER_REQUEST_TIMEOUT_MS
            )
        except PeerLinkError:
            return None
        if not isinstance(reply, OpenPrograms):
            return None
        return set(reply.programs)
