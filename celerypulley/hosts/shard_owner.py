"""The owner's side of one shard: commits, promises and copies to replicas."""

import asyncio
from collections.abc import Awaitable, Callable

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.hosts.peers import Peers
from celerypulley.links.codec import to_wire
from celerypulley.links.peer_link import LinkError
from celerypulley.links.peer_messages import Acknowledged, Install, Replicate
from celerypulley.programs.shard import InvariantError, ShardState

__all__ = ["ShardOwner"]

_ATTEMPT_MS = 1_000
_INSTALL_TIMEOUT_MS = 10_000
_INSTALL_RECORDS = 64
_log = DecisionLog("shard")


class ShardOwner:
    """One shard that this host owns.

    Its state changes only by `commit`, after the replica has the record. The
    owner serves reads only while it holds the replica's promise not to take
    over.
    """

    def __init__(
        self,
        state: ShardState,
        entry: ShardEntry,
        peers: Peers,
        clock: Clock,
        commit_timeout_ms: int,
    ) -> None:
        """Own `state` under `entry`."""
        self.state = state
        self.entry = entry
        self.peers = peers
        self.clock = clock
        self.commit_timeout_ms = commit_timeout_ms
        self.promise_until_ms = 0.0
        self.replica_failing_since_ms: float | None = None
        self.superseded = False
        self._order = asyncio.Lock()
        self._wire = asyncio.Lock()
        self._entry_changed = asyncio.Event()

    @property
    def shard(self) -> str:
        """Return the shard's name."""
        return str(self.state.shard)

    def holds_promise(self) -> bool:
        """Return whether no other host can have taken over."""
        if self.superseded:
            return False
        return self.clock.now_ms() < self.promise_until_ms

    def require_promise(self) -> None:
        """Raise CallRefusedError unless this host certainly still owns the shard."""
        if not self.holds_promise():
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE,
                f"shard {self.shard} waits for its replica's promise",
            )

    def supersede(self, reason: str) -> None:
        """Stop owning the shard; commits under way are refused."""
        if not self.superseded:
            _log.write("stop owning", reason, shard=self.shard)
        self.superseded = True
        self._wake()

    def set_entry(self, entry: ShardEntry) -> None:
        """Take in a newer entry that still names this host as owner."""
        if entry.replica != self.entry.replica:
            self.replica_failing_since_ms = None
        self.entry = entry
        self._wake()

    def note_replica(self, answered: bool) -> None:
        """Remember since when the replica has not answered."""
        if answered:
            self.replica_failing_since_ms = None
            return
        if self.replica_failing_since_ms is None:
            self.replica_failing_since_ms = self.clock.now_ms()

    async def commit(self, record: object) -> None:
        """Make a record part of the state once the replica holds it.

        Raise CallRefusedError where no replica acknowledged it in time. The
        replica may then still hold it, but this owner will never act on it.
        """
        await self.commit_built(lambda: record)

    async def commit_built(self, build: Callable[[], object]) -> None:
        """Commit the record that `build` returns.

        `build` sees the state as of all earlier commits, so it can check what
        must hold and raise CallRefusedError.
        """
        async with self._order:
            record = build()
            deadline_ms = self.clock.now_ms() + self.commit_timeout_ms
            while True:
                self._require_ownership()
                if await self._attempt(record):
                    return
                left_ms = deadline_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise CallRefusedError.of(
                        ErrorKind.REPLICA_UNREACHABLE,
                        f"no replica of {self.shard} acknowledged in time",
                    )
                await self._wait_entry(min(left_ms, 100.0))

    async def install(
        self, member: str, switch: Callable[[], Awaitable[ShardEntry | None]]
    ) -> bool:
        """Copy the whole state to `member`, then let `switch` change the entry.

        No commit runs from the first record until the entry is settled. Return
        whether the entry was changed. Raise LinkError where the copy failed.
        """
        async with self._wire:
            if self.superseded:
                return False
            await self._copy(member)
            entry = await switch()
            if entry is None:
                return False
            if entry.owner == self.entry.owner:
                self.set_entry(entry)
                return True
            self.supersede(f"handed over to {entry.owner}")
            return True

    def _require_ownership(self) -> None:
        if self.superseded:
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE, f"shard {self.shard} has a new owner"
            )

    async def _attempt(self, record: object) -> bool:
        async with self._wire:
            replica = self.entry.replica
            if replica is None or self.superseded:
                return False
            message = Replicate(
                self.shard, self.entry.epoch, self.state.sequence + 1, to_wire(record)
            )
            try:
                reply = await self.peers.request(replica, message, _ATTEMPT_MS)
            except LinkError as error:
                _log.write("replica silent", str(error), shard=self.shard)
                self.note_replica(False)
                return False
            return self._take_reply(reply, record)

    def _take_reply(self, reply: object, record: object) -> bool:
        if not isinstance(reply, Acknowledged):
            raise InvariantError(f"{reply!r:.100} for {type(record).__name__}")
        self.note_replica(True)
        if reply.state == "ok":
            self.state.apply(record)
            return True
        if reply.state == "stale":
            self.supersede(f"the replica knows epoch {reply.epoch}")
            return False
        if reply.state == "invalid":
            raise InvariantError(f"the replica refused {type(record).__name__}")
        self.note_replica(False)
        return False

    async def _copy(self, member: str) -> None:
        batch: list[list] = []
        first = True
        for record in self.state.images():
            batch.append(to_wire(record))
            if len(batch) < _INSTALL_RECORDS:
                continue
            await self._send_part(member, batch, first, last=False)
            batch = []
            first = False
        await self._send_part(member, batch, first, last=True)

    async def _send_part(
        self, member: str, batch: list[list], first: bool, last: bool
    ) -> None:
        part = Install(
            self.shard, self.entry.epoch, first, last, self.state.sequence, batch
        )
        reply = await self.peers.request(member, part, _INSTALL_TIMEOUT_MS)
        if isinstance(reply, Acknowledged) and reply.state == "ok":
            return
        raise LinkError(f"{member} took no copy of {self.shard}: {reply}", sent=True)

    async def _wait_entry(self, timeout_ms: float) -> None:
        changed = self._entry_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_ms / 1000)
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._entry_changed.set()
        self._entry_changed = asyncio.Event()
