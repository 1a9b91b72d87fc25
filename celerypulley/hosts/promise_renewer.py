"""Renewal of replicas' promises: one request per period to each replica host."""

from collections import defaultdict

from mode import Service

from celerypulley.clock import Clock
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.shard_owner import ShardOwner
from celerypulley.hosts.shards import Shards
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import PromiseReplies, RenewPromises

__all__ = ["PromiseRenewer"]

_RENEWALS_PER_PROMISE = 3
_MIN_TIMEOUT_MS = 300.0


class PromiseRenewer(Service):
    """Request each replica host's promises to this host once per period."""

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        configuration: ConfigurationFollower,
        clock: Clock,
    ) -> None:
        """Renew the promises for the shards that this host owns.

        Each exchange also tells both sides which version of `configuration` the other
        has.
        """
        super().__init__()
        self.shards = shards
        self.peers = peers
        self.configuration = configuration
        self.clock = clock
        self._pending_replicas: set[str] = set()

    @property
    def _promise_ms(self) -> int:
        return self.shards.settings.promise_ms

    @Service.task
    async def _renew_all(self) -> None:
        while not self.should_stop:
            for replica, owners in self._owners_by_replica().items():
                if replica not in self._pending_replicas:
                    self.add_future(self._renew_at(replica, owners))
            await self.sleep(self._promise_ms / 1000 / _RENEWALS_PER_PROMISE)

    def _owners_by_replica(self) -> dict[str, list[ShardOwner]]:
        owners_by_replica: dict[str, list[ShardOwner]] = defaultdict(list)
        for owner in self.shards.owned.values():
            if owner.superseded or owner.entry.replica is None:
                continue
            owners_by_replica[owner.entry.replica].append(owner)
        return owners_by_replica

    async def _renew_at(self, replica: str, owners: list[ShardOwner]) -> None:
        self._pending_replicas.add(replica)
        try:
            await self._request_promises(replica, owners)
        except PeerLinkError:
            for owner in owners:
                if owner.entry.replica == replica:
                    owner.set_replica_reachable(False)
        finally:
            self._pending_replicas.discard(replica)

    async def _request_promises(self, replica: str, owners: list[ShardOwner]) -> None:
        requested_ms = self.clock.now_ms()
        epochs = [owner.entry.epoch for owner in owners]
        items = [[owner.shard, owner.entry.epoch] for owner in owners]
        message = RenewPromises(
            items,
            self._promise_ms,
            self.configuration.version,
            _encode_age_ms(self.configuration.confirmed_ago_ms()),
        )
        timeout_ms = max(_MIN_TIMEOUT_MS, self._promise_ms / 2)
        reply = await self.peers.request(replica, message, timeout_ms)
        if not isinstance(reply, PromiseReplies):
            raise PeerLinkError(
                f"{replica} answered {reply!r:.80} instead of promises", sent=True
            )
        self.configuration.observe_peer_version(
            replica, reply.version, reply.confirmed_ago_ms
        )
        for owner, epoch, state in zip(owners, epochs, reply.states, strict=True):
            if owner.entry.epoch != epoch or owner.entry.replica != replica:
                continue
            self._apply_state(owner, state, requested_ms)

    def _apply_state(self, owner: ShardOwner, state: str, requested_ms: float) -> None:
        if state == "ok":
            owner.set_replica_reachable(True)
            until_ms = requested_ms + self._promise_ms
            owner.promise_until_ms = max(owner.promise_until_ms, until_ms)
            return
        if state == "stale":
            owner.supersede("the replica has given its promise to a newer owner")
            return
        owner.set_replica_reachable(False)


def _encode_age_ms(value_ms: float) -> int:
    if value_ms == float("inf"):
        return -1
    return int(value_ms)
