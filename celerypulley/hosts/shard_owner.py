"""The owner's side of one shard: commits, promises and copies to replicas."""

import asyncio
from collections.abc import Awaitable, Callable

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.hosts.peers import Peers
from celerypulley.links.codec import to_wire
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import Acknowledged, InstallSnapshot, Replicate
from celerypulley.programs.shard import InvariantError, ShardState

__all__ = ["ShardOwner"]

_REPLICATE_TIMEOUT_MS = 1_000
_INSTALL_TIMEOUT_MS = 10_000
_RECORDS_PER_INSTALL = 64
_log = DecisionLog("shard")


class ShardOwner:
    """One shard that this host owns.

    The state changes only through `commit`, once the replica has acknowledged the
    record. The owner serves reads only while the replica's promise not to take over is
    valid.
    """

    def __init__(
        self,
        state: ShardState,
        entry: ShardEntry,
        peers: Peers,
        clock: Clock,
        commit_timeout_ms: int,
    ) -> None:
        """Own `state` under `entry`; commits fail after `commit_timeout_ms`."""
        self.state = state
        self.entry = entry
        self.peers = peers
        self.clock = clock
        self.commit_timeout_ms = commit_timeout_ms
        self.promise_until_ms = NEVER_MS
        self.replica_failing_since_ms: float | None = None
        self.superseded = False
        self._commit_lock = asyncio.Lock()
        self._replication_lock = asyncio.Lock()
        self._entry_changed = asyncio.Event()

    @property
    def shard(self) -> str:
        """Return the shard's name, `domain/index`."""
        return str(self.state.shard)

    def holds_promise(self) -> bool:
        """Return whether the replica's promise rules out a takeover."""
        if self.superseded:
            return False
        return self.clock.now_ms() < self.promise_until_ms

    def require_promise(self) -> None:
        """Raise CallRefusedError unless this host is certain to own the shard."""
        if not self.holds_promise():
            raise CallRefusedError.of(
                ErrorKind.OWNER_UNREACHABLE,
                f"shard {self.shard} has no valid promise from its replica",
            )

    def supersede(self, reason: str) -> None:
        """Stop owning the shard and refuse the commits in progress."""
        if not self.superseded:
            _log.write("shard ownership ended", reason, shard=self.shard)
        self.superseded = True
        self._notify_entry_changed()

    def set_entry(self, entry: ShardEntry) -> None:
        """Apply a newer entry that still names this host as owner."""
        if entry.replica != self.entry.replica:
            self.replica_failing_since_ms = None
        self.entry = entry
        self._notify_entry_changed()

    def set_replica_reachable(self, is_reachable: bool) -> None:
        """Record whether the replica responds and, if it does not, since when."""
        if is_reachable:
            self.replica_failing_since_ms = None
            return
        if self.replica_failing_since_ms is None:
            self.replica_failing_since_ms = self.clock.now_ms()

    async def commit(self, record: object) -> None:
        """Apply a record to the state once the replica holds it.

        Raise CallRefusedError if no replica acknowledges the record in time. The
        replica may still hold the record then, but this owner never acts on it.
        """
        await self.build_and_commit(lambda: record)

    async def build_and_commit(self, build_record: Callable[[], object]) -> None:
        """Commit the record that `build_record` returns.

        `build_record` sees the state after all earlier commits, so it can check
        preconditions and raise CallRefusedError.
        """
        async with self._commit_lock:
            record = build_record()
            deadline_ms = self.clock.now_ms() + self.commit_timeout_ms
            while True:
                self._require_ownership()
                if await self._replicate(record):
                    return
                remaining_ms = deadline_ms - self.clock.now_ms()
                if remaining_ms <= 0:
                    raise CallRefusedError.of(
                        ErrorKind.REPLICA_UNREACHABLE,
                        f"no replica of shard {self.shard} acknowledged in time",
                    )
                await self._wait_for_entry_change(min(remaining_ms, 100.0))

    async def install(
        self, target: str, update_entry: Callable[[], Awaitable[ShardEntry | None]]
    ) -> bool:
        """Copy the whole state to `target`, then call `update_entry`.

        No commit runs between the first copied record and the change of the entry.
        Return whether the entry was changed. Raise PeerLinkError if the copy fails.
        """
        async with self._replication_lock:
            if self.superseded:
                return False
            await self._copy_state(target)
            entry = await update_entry()
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

    async def _replicate(self, record: object) -> bool:
        async with self._replication_lock:
            replica = self.entry.replica
            if replica is None or self.superseded:
                return False
            message = Replicate(
                self.shard, self.entry.epoch, self.state.sequence + 1, to_wire(record)
            )
            try:
                reply = await self.peers.request(
                    replica, message, _REPLICATE_TIMEOUT_MS
                )
            except PeerLinkError as error:
                _log.write("replica did not respond", str(error), shard=self.shard)
                self.set_replica_reachable(False)
                return False
            return self._handle_reply(reply, record)

    def _handle_reply(self, reply: object, record: object) -> bool:
        if not isinstance(reply, Acknowledged):
            raise InvariantError(
                f"unexpected reply {reply!r:.100} for {type(record).__name__}"
            )
        self.set_replica_reachable(True)
        if reply.state == "ok":
            self.state.apply(record)
            return True
        if reply.state == "stale":
            self.supersede(f"the replica has seen epoch {reply.epoch}")
            return False
        if reply.state == "invalid":
            raise InvariantError(
                f"the replica rejected {type(record).__name__} as invalid"
            )
        self.set_replica_reachable(False)
        return False

    async def _copy_state(self, target: str) -> None:
        batch: list[list] = []
        first = True
        for record in self.state.snapshot_records():
            batch.append(to_wire(record))
            if len(batch) < _RECORDS_PER_INSTALL:
                continue
            await self._send_batch(target, batch, first, last=False)
            batch = []
            first = False
        await self._send_batch(target, batch, first, last=True)

    async def _send_batch(
        self, target: str, batch: list[list], first: bool, last: bool
    ) -> None:
        message = InstallSnapshot(
            self.shard, self.entry.epoch, first, last, self.state.sequence, batch
        )
        reply = await self.peers.request(target, message, _INSTALL_TIMEOUT_MS)
        if isinstance(reply, Acknowledged) and reply.state == "ok":
            return
        raise PeerLinkError(
            f"{target} rejected a copy of {self.shard}: {reply}", sent=True
        )

    async def _wait_for_entry_change(self, timeout_ms: float) -> None:
        changed = self._entry_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_ms / 1000)
        except TimeoutError:
            return

    def _notify_entry_changed(self) -> None:
        self._entry_changed.set()
        self._entry_changed = asyncio.Event()
